Feature: Requests whose outcome is known when their deadline passes

  # review/2: the deadline of a frozen VM passed while it closed the connection of a booking that had
  # run; the response was dropped, and the caller was told that the booking had not run.
  Scenario Outline: a response that was read is passed on although <event> before its connection is put away
    Given a server whose response is <response>
    When a <method> is sent, and <event> as soon as the response was read
    Then the caller gets <status> of the server

    Examples:
      | response                           | method | event                 | status |
      | one that closes the connection     | POST   | the deadline passes   | 200    |
      | one that closes the connection     | GET    | the deadline passes   | 200    |
      | one that closes the connection     | POST   | the VM ends its stop  | 200    |
      | followed by a second one           | POST   | the deadline passes   | 200    |
      | on one of too many connections     | POST   | the deadline passes   | 200    |
      | one that ends with its connection  | POST   | the deadline passes   | 200    |
      | a failure that closes              | POST   | the deadline passes   | 500    |
      | a failure that closes              | GET    | the deadline passes   | 500    |

  Scenario: a refusal that was read is still a refusal when the deadline passes before the connection is closed
    Given a server whose response is a refusal that closes
    When a POST is sent, and the deadline passes as soon as the response was read
    Then the caller is told that the request did not run

  Scenario: an unexpected error after a response was read does not make the request one that did not run
    Given a server whose response is one that closes the connection
    When a POST is sent, and the VM's code fails as soon as the response was read
    Then the caller is not told that the request did not run

  # The deadline of a request to a silent server passed while its idle connections were being closed.
  Scenario: all idle connections to a silent server are closed although the task is cancelled meanwhile
    Given a pool with 4 idle connections to a silent server
    When the task that closes them is cancelled
    Then none of them is left open
