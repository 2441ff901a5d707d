Feature: Cached rows never go back to an older revision

  Scenario: an older row after a newer one is ignored
    Given a table with row "a" at revision 5
    When row "a" arrives at revision 4
    Then row "a" is the one of revision 5

  Scenario: a snapshot removes missing rows, unless it is older
    Given a table with row "a" at revision 5
    When a snapshot at revision 4 without it arrives
    Then row "a" is the one of revision 5
    When a snapshot at revision 6 without it arrives
    Then row "a" is removed

  Scenario: a row missing from a stale snapshot is restored by the next one
    Given a table with row "a" at revision 5
    When a snapshot at revision 9 without it arrives
    And a snapshot at revision 10 with row "a" at revision 5 arrives
    Then row "a" is present
    And another VM that knew the removal restores the row too

  Scenario Outline: a registration with <fault> adds no server and changes no other
    Given a routing state with a server in "a"
    When a registration with <fault> arrives
    Then only the first server is known

    Examples:
      | fault                       |
      | no address                  |
      | an unknown state            |
      | slots as text               |
      | bytes that are not JSON     |
      | a list instead of an object |
      | very deep nesting           |
      | deep nesting in a field     |
      | an infinite warm-up time    |
      | a warm-up time of 400 digits |
      | slots of 400 digits         |
      | negative slots              |
      | a start time of 5000 digits |
      | a start time that is infinite |
      | a port out of range         |
      | a host name as its address  |
      | an address of another type  |
      | a service that no text can hold |
      | a line break in its id      |

  # Reported by other operators: VMs that read one odd entry ended again and again, or no longer followed the list.
  Scenario Outline: entries after one with <fault> are followed, from the store and from other VMs
    Given a VM that follows the backend servers
    When a registration with <fault> is written between two others
    Then the VM knows the two other servers, and follows a later change
    And a VM that fetches from it knows them too, and requests are placed on them

    Examples:
      | fault                       |
      | bytes that are not JSON     |
      | very deep nesting           |
      | an infinite warm-up time    |
      | slots of 400 digits         |
      | a port out of range         |
      | a line break in its id      |

  Scenario: entries of any content add no server that a decision cannot handle
    Then registrations of random content leave placement, digests and requests working

  Scenario: a value that the store hands out in another encoding spoils no other row of the page
    Then a page of three rows with one that is not base64 gives two readable ones

  Scenario: a row whose handling fails unexpectedly stops no other row
    Given a routing state with a server in "a"
    When 3 rows arrive and the handling of the second one fails
    Then the servers of the first and the third one are known, and the log has an error line

  # Issue 43: a row that could not be applied counted as known, so no VM ever sent it again.
  Scenario: a row whose handling failed is applied later
    Given a routing state with a server in "a"
    When 3 rows arrive and the handling of the second one fails
    And the handling of rows works again, and the failed ones are tried again
    Then the servers s0, n0, n1, n2 are known

  Scenario: a row whose handling failed does not replace a newer one
    Given a routing state with a server in "a"
    When 3 rows arrive and the handling of the second one fails
    And a newer row of the same server arrives before the failed one is tried again
    Then the servers s0, n0, n2 are known

  Scenario: servers whose registrations are lost in a store outage are kept for two seconds
    Given a routing state with a server in "a"
    When the store comes back without its registration
    Then the server is used for 2000 ms and then removed

  Scenario Outline: the delay from the news of a server's departure to the last request is reported
    Given a routing state with a server in "a"
    When its draining state arrives at 1000 ms, and its last request was sent at <sent> ms
    Then <delay> ms are reported as the delay of its departure, once, from 6000 ms on

    Examples:
      | sent | delay |
      | 900  | 0     |
      | 1030 | 30    |

  Scenario: a new version gets no requests before its release is ordered
    Given a routing state with a server in "a"
    When a server of version "v2" registers
    Then version "v1" gets the requests

  # Review, case 8: a restarted VM took the version with the most servers, or the first by name, and kept it.
  Scenario Outline: a VM that starts while two versions are registered sends requests to <stable>, where <case>
    Given servers of version "v9" that started first, and as many of "v10" that started later
    When <case>
    Then in any order of arrival version "<stable>" gets the requests

    Examples:
      | case                                          | stable |
      | no release is ordered yet                     | v9     |
      | a release to "v10" is ordered                 | v9     |
      | a release to "v10" has been rolled back       | v9     |
      | a release to "v10" has succeeded              | v10    |
      | a release to "v9" succeeded before            | v9     |
      | a server of "v10" states no start             | v9     |

  Scenario: a version keeps its requests when its servers restart after those of a new version started
    Given a routing state with a server in "a"
    When a server of version "v2" registers
    And every server of version "v1" starts again
    Then version "v1" gets the requests

  Scenario: a version keeps its requests when all of its servers are away during a release of another one
    Given a routing state with a server in "a"
    When a server of version "v2" registers
    And a release to version "v2" is ordered, and every server of version "v1" is away and then starts again
    Then version "v1" gets the requests
