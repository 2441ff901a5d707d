Feature: Idle connections to backend servers

  Scenario: a stale connection lowers the idle limit of its server, and live ones raise it again
    Given a pool with a connection that has been idle for 2000 ms
    Then it is reused
    When a connection turned out to be stale after 400 ms of idling
    Then a connection that has been idle for 250 ms is not reused
    And a connection that has been idle for 150 ms is reused
    When 12 connections turned out to be live after idling
    Then a connection that has been idle for 2000 ms is reused

  # Issue 40: two requests had one connection, or the pool closed one that a request was using.
  Scenario: connections are taken once while the pool closes unusable ones
    Given a pool with 2 idle connections to a server, and one that is too old to be reused
    When a request takes a connection while the pool closes unusable ones, and others take the rest
    Then no connection is taken twice, and none that was taken is closed
    And 2 connections were taken

  Scenario: connections to a silent server are closed while the pool closes unusable ones
    Given a pool with 2 idle connections to a server, and one to another that is too old
    When the pool closes the idle connections to the server while it closes unusable ones
    Then no connection is taken twice, and none that was taken is closed
    And every connection that was idle is closed

  Scenario: a connection that is returned while the pool closes others is not lost
    Given a pool with 2 idle connections to a server, and one to another that is too old
    When requests return connections to the server while the pool closes unusable ones
    Then each connection is either closed or idle in the pool

  Scenario: a connection that is returned while the pool closes all of them does not stop that
    Given a pool with 2 idle connections to a server, and one to another that is too old
    When a request returns a connection to a new server while the pool closes all connections
    Then every connection that was idle is closed
