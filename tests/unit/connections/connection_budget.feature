Feature: Connections that wait for their callers give way to others, never one with an admitted request

  Scenario: a new connection gets the place of the one that has waited longest
    Given a budget of 16 connections, all taken, of which one after the other began to wait
    When a new connection is opened
    Then only the one that has waited longest was closed

  Scenario: a new connection is turned away while all others have admitted requests
    Given a budget of 16 connections, all taken, which are being served
    When a new connection is opened
    Then it is turned away and no connection was closed

  Scenario: a connection on which a request has just arrived keeps its place
    Given a budget of 16 connections, all taken, of which one after the other began to wait
    And a request has just arrived on the one that has waited longest
    When a new connection is opened
    Then only the one that has waited second longest was closed

  Scenario: a caller that has just stopped reading keeps its response
    Given a budget of 16 connections, all taken, whose callers have just stopped reading
    When a new connection is opened
    Then it is turned away and no connection was closed

  Scenario: memory comes from the connections that hold most of it and wait
    Given connections that hold all the memory of callers, some being served and some waiting
    When a request of another connection needs more
    Then connections that hold most and wait were closed, and the request is admitted

  Scenario: a request is not admitted while those being served hold all the memory
    Given connections that hold all the memory of callers, all of them being served
    When a request of another connection needs more
    Then the request is not admitted and no connection was closed

  Scenario Outline: a connection in the state <state> ends after the time for that state
    Given a connection in the state <state>
    When its caller makes no progress for <ms> ms
    Then the connection has <end>

    Examples:
      | state   | ms    | end       |
      | idle    | 14400 | not ended |
      | idle    | 15600 | ended     |
      | head    | 2400  | not ended |
      | head    | 3600  | ended     |
      | rest    | 4400  | not ended |
      | rest    | 5600  | ended     |
      | reader  | 14400 | not ended |
      | reader  | 15600 | ended     |
      | serving | 99000 | not ended |
      | body    | 99000 | not ended |

  Scenario: a caller that goes on reading keeps its connection
    Given a connection in the state reader
    When its caller reads a little every 10000 ms, 5 times
    Then the connection has not ended

  Scenario: the time in which the process did not run does not count against callers
    Given a connection in the state head
    When the process stands still for 60000 ms
    Then the connection has not ended
