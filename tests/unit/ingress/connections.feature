Feature: Idle connections to backend servers

  Scenario: a stale connection lowers the idle limit of its server, and live ones raise it again
    Given a pool with a connection that has been idle for 2000 ms
    Then it is reused
    When a connection turned out to be stale after 400 ms of idling
    Then a connection that has been idle for 250 ms is not reused
    And a connection that has been idle for 150 ms is reused
    When 12 connections turned out to be live after idling
    Then a connection that has been idle for 2000 ms is reused
