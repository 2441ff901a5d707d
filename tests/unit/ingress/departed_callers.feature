Feature: Callers that leave before their requests are handled

  # Faner inc2: a busy VM sent on requests whose callers had left while the requests waited unread.
  Scenario Outline: a request whose caller left while the VM was busy is not sent on <connection>
    Given a VM with <connection> to a backend server
    When 20 callers send a request and leave while the VM is busy
    Then no backend server received their requests

    Examples:
      | connection          |
      | an idle connection  |
      | no connection       |

  Scenario: a request whose caller leaves during the wait for a rate limit token is not sent
    Given a VM with an idle connection to a backend server
    When a caller sends a request and leaves while it waits for a token and the VM is busy
    Then no backend server received their requests

  Scenario: a burst of callers that leave together reaches no backend server later
    Given a VM with an idle connection to a backend server
    And each request takes the VM 5 ms of work
    When 200 callers send a request at once and leave after 200 ms
    Then no backend server received a request later than 500 ms after that

  Scenario: callers that stay are served
    Given a VM with an idle connection to a backend server
    When 20 callers send a request while the VM is busy and wait for the response
    Then all of them are served
