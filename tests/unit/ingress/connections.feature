Feature: Idle connections to backend servers

  Scenario: a server that forgets idle connections soon has its others rest for less
    Given a pool with a connection that has rested for 2000 ms
    Then it is used again
    When a connection was gone after a rest of 400 ms
    Then a connection that has rested for 250 ms is not used again
    And a connection that has rested for 150 ms is used again
    When 12 connections were still there after their rest
    Then a connection that has rested for 2000 ms is used again
