Feature: Traffic shifts advance while the target is good, and are undone once it is bad

  Scenario Outline: a release whose new version is <behaviour> ends <state>
    When 3 releases run whose new version is "<behaviour>"
    Then each is "<state>" within its time limit
    And the target got at most <percent> percent of the requests
    And no run of requests exceeded the share of its step
    And the target got no requests 2 seconds after it was found bad

    Examples:
      | behaviour        | state  | percent |
      | good             | done   | 100     |
      | failing          | undone | 1       |
      | slow             | undone | 1       |
      | bad later        | undone | 5       |
      | bad under load   | undone | 20      |
      | bad on one route | undone | 1       |

  Scenario: a release is undone if its version fails after the release is done
    When a release is done and its new version then fails
    Then it is undone at once

  Scenario Outline: a release does not advance while <fault>, and is done afterwards
    When the fault "<fault>" occurs during a release of a good version
    Then it did not advance during the fault
    And it is done in the end

    Examples:
      | fault                   |
      | a VM's reports are lost |
      | the store is down       |

  Scenario: a second shift of a service is refused while one is running
    When two operators start shifts of one service
    Then the second is told that the first shift is running

  Scenario: a shift that is not finished within its time limit is undone
    When a release gets too little traffic to finish within its time limit
    Then it is "undone" for the reason "not over in time"

  Scenario Outline: the checks detect a mutation that disables a rule of releases: <mutation>
    When 3 releases of a version that is "<behaviour>" run with the mutation "<mutation>"
    Then a release exceeds a share, sends too many requests to a bad version, or does not end

    Examples:
      | behaviour | mutation                                          |
      | good      | credit is not spent                               |
      | failing   | no VM blocks the target before the row is written |
