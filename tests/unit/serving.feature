Feature: Limits on callers' connections

  Scenario: a download that takes longer than every idle timeout is not cut off
    Given a server whose idle timeouts are 1 second
    When a caller downloads for 3 seconds without sending anything
    Then the download is complete

  Scenario: the connection of a caller that never finishes its headers is closed
    Given a server whose idle timeouts are 1 second
    When a caller sends half of its headers and waits
    Then its connection is closed

  # As in issue 40: a request that was passed on to a server lost its connection at the stop.
  Scenario: requests that arrive on idle connections while a server stops are answered or not passed on
    Given a server with 60 idle connections of callers
    When the server stops while a request arrives on each of them
    Then every request that the application got was answered
    And no connection was reset

  Scenario: connections that wait to be accepted when a server stops are served
    Given a server with 0 idle connections of callers
    When 20 callers connect and send a request, and the server stops before it has accepted them
    Then every caller got a response

  Scenario: a request that still runs at the end of the grace time gets the application's response
    Given a server with 1 idle connections of callers
    When a request runs until the grace time of 300 ms ends
    Then the caller gets the application's response

  Scenario Outline: a request <state> when the process ends is refused, and states whether it ran
    Given a server with 0 idle connections of callers
    When the process ends while a request of the own interface <state>
    Then the caller is told "<cause>" with "ran" set to "<ran>"

    Examples:
      | state                | cause       | ran     |
      | waits for a slot     | vm_stopping | no      |
      | was sent to a server | deadline    | unknown |
