Feature: A store that comes back from a copy

  # Seen with a stand-in store: a VM that was at a higher revision than the copy followed no change for good.
  Scenario Outline: a change that is written after the return is in force at once, where the VM <when>
    Given a VM that follows a store whose last 12 changes are not in its copy
    When the store comes back from the copy, and the VM <when>
    Then it uses a configuration, a server and an evacuation that are written then

    Examples:
      | when                                                |
      | reads before they are written                       |
      | reads after they are written                        |
      | reads when as many changes have been written again  |
      | hears of the new era from another VM                |
      | was frozen while the store came back twice          |

  Scenario Outline: <what> stays in force until the copy is certain
    Given a VM that knows of <what>, which the copy <lacks>
    When the store comes back from the copy, and the VM reads it
    Then the VM knows <first> after the return
    And <ms> ms later it knows <last>

    Examples:
      | what                               | lacks                 | first              | ms   | last                    |
      | configuration 3                    | has in version 2      | configuration 3    | 8000 | configuration 3         |
      | a configuration without a key      | has with the key      | the key refused    | 8000 | the key refused         |
      | an evacuation                      | lacks                 | it evacuated       | 3000 | it evacuated            |
      | an evacuation                      | lacks                 | it evacuated       | 8000 | it not evacuated        |
      | the end of an evacuation           | lacks                 | it evacuated       | 8000 | it evacuated            |
      | a server that registered           | lacks                 | the server in use  | 2000 | the server in use       |
      | a server that registered           | lacks                 | the server in use  | 3000 | the server not in use   |
      | a server that drains               | has as ready          | it not in use      | 5000 | it not in use           |
      | a server that left                 | has as ready          | it not in use      | 5000 | it not in use           |
      | a server that left                 | has as ready          | it not in use      | 8000 | it in use               |

  Scenario: rows that another VM sends are checked as those of the store are
    Given a VM that knows of a server that left, which the copy has as ready
    When the store comes back from the copy, and a VM that starts then sends it its rows
    Then the VM knows it not in use after the return

  Scenario Outline: an answer <which> changes nothing
    Given a client of a store that names eras
    When it gets an answer <which>
    Then the call fails, and the client stays in the newest era

    Examples:
      | which                                |
      | of an older era                      |
      | whose pages are of two eras          |
      | whose era is no number               |

  Scenario Outline: a write under a condition from before the change does not succeed, where <when>
    Given a client of a store that names eras, with a row at the revision that a row of the copy gets
    When it writes the row under that condition, and <when>
    Then the condition fails

    Examples:
      | when                                      |
      | it knows of the new era                   |
      | the write tells it of the new era         |

  Scenario Outline: a release that was rolled back is not resumed, where its order is <how>
    Given a VM that drives a release which was rolled back
    When the store comes back from a copy <how> its order and without its state
    Then the release is still rolled back, and known by the order's new revision
    And its state is written again

    Examples:
      | how     |
      | with    |
      | without |

  Scenario: another order for the same version is a release of its own
    Given a VM that drives a release which was rolled back
    When the store comes back from a copy with its order and without its state
    And operators order the same version again
    Then the release is not rolled back

  Scenario: a release does not go on while VMs may know its order by two revisions
    Given a VM that drives a release whose last step has lasted long enough
    When the store comes back from a copy with its order and without its state
    Then the release is complete only 3000 ms later

  Scenario: a VM whose row the copy lacks registers again
    Given a reader that has registered with the store
    When the store comes back from a copy without its row
    Then its row is in the store again
