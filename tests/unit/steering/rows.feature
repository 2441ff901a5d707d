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

  Scenario: servers whose registrations are lost in a store outage are kept for two seconds
    Given a routing state with a server in "a"
    When the store comes back without its registration
    Then the server is used for 2000 ms and then removed

  Scenario: a new version gets no requests before its release is ordered
    Given a routing state with a server in "a"
    When a server of version "v2" registers
    Then version "v1" gets the requests
