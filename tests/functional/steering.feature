@steering
Feature: Requests on the users' platform, with real processes

  Scenario: a request is served, and its backend server never receives the API key
    When a caller reads object 5
    Then the caller gets 200 with the signature of a server
    And the server received organisation "alder", a deadline no later than the caller's and no key

  Scenario Outline: <case> is refused with <status>
    When a caller sends <case>
    Then the caller gets <status> without a signature
    And no backend server received the request

    Examples:
      | case                    | status |
      | a path without a route  | 404    |
      | a host without a route  | 404    |
      | an unknown key          | 401    |
      | a request without an id | 400    |

  Scenario Outline: a read is retried at another server if its first server <fault>
    Given the first server of object 7 <fault>
    When a caller reads object 7
    Then the caller gets 200 with the signature of another server

    Examples:
      | fault                     |
      | truncates its responses   |
      | sheds every request       |
      | answers as another server |
      | fails every request       |
      | is no longer reachable    |
      | hangs                     |

  # Issue 40: reads ended as hung while their servers were at work.
  Scenario: a read whose server is at work gets its answer though all others are slow too
    Given a VM got SIGTERM and has just started again
    And every server takes 1700 ms for a request
    When a caller reads object 7
    Then the caller gets the answer of the server that got the request first

  Scenario: a download whose server is at work gets its answer though no other has room
    Given a VM got SIGTERM and has just started again
    And the first server of object 7 works for 1700 ms
    And every other server sheds every request
    When a caller downloads object 7
    Then the caller gets the answer of the server that got the request first

  Scenario: a booking that may have run is not retried
    Given the first server of object 7 truncates its responses
    When a caller books object 7
    Then the caller gets 502 without a signature
    And the booking ran once

  Scenario: a booking that a server shed is retried at another server
    Given the first server of object 7 sheds every request
    When a caller books object 7
    Then the caller gets 200 with the signature of another server
    And the booking ran once

  Scenario: a request that every server sheds is refused as not run
    Given every server sheds every request
    When a caller reads object 5
    Then the caller gets 503 without a signature
    And the caller is told when to retry

  Scenario: a read that may have run is not reported as not run when the next server sheds it
    Given the first server of object 7 truncates its responses
    And every other server sheds every request
    When a caller reads object 7
    Then the caller gets 502 without a signature

  Scenario: a booking at a hung server is refused at its deadline
    Given the first server of object 7 hangs
    When a caller books object 7 with 800 ms to wait
    Then the caller gets 504 without a signature

  Scenario: a request is cancelled at the server when its caller disconnects
    Given the first server of object 7 hangs
    When a caller books object 7 and disconnects after 200 ms
    Then the request is cancelled at the server

  Scenario: a draining server gets no more requests from any VM
    When the first server of object 9 drains
    Then eventually no VM sends requests to that server

  Scenario: an evacuated failure domain gets no requests until its evacuation ends
    When failure domain "one-a" is evacuated
    Then eventually no VM sends requests to its servers
    When the evacuation of failure domain "one-a" ends
    Then eventually every VM in its region sends requests to its servers again

  Scenario: a configuration change is in force on every VM, with few calls to the store
    When the operator withdraws the key
    Then eventually every VM refuses the key with 401
    And the store had at most 12 calls for this change

  Scenario: a VM that restarts while the store is down gets the rows from other VMs
    Given the store refuses every call
    When a VM is killed and started again
    Then that VM becomes ready and serves requests

  Scenario: a stopping VM leaves the look-up, serves open connections and exits cleanly
    When a VM gets SIGTERM while a caller keeps sending requests over one connection
    Then no request of the caller was interrupted
    And the VM is not ready, and no look-up names it
    And the VM exits with code 0

  Scenario: the log has the cause of a refusal under the id of its request
    When a caller sends an unknown key
    Then the VM's log has a line for that request with cause "unknown_key"

  Scenario: a stopping VM accepts no request that it could not finish
    Given every server takes 600 ms for a request
    When a VM gets SIGTERM while callers keep opening new connections
    Then every request that the VM read was served
    And the VM exits with code 0

  Scenario: a request that cannot finish within the grace time is answered as one that may have run
    Given every server takes 2900 ms for a request
    When a VM gets SIGTERM and a booking 100 ms later
    Then the booking is answered with 504
    And the VM exits with code 0

  # Reported by other operators: late in the grace time requests were passed on and cut at its end.
  Scenario Outline: a stopping VM cuts no <kind> that it started, whatever the connection, at <ms> ms a request
    Given every server takes <ms> ms for a request, which the VMs know
    When a VM gets SIGTERM while callers send <kind> on open and new connections until it has exited
    Then each of them was served, refused as not run, or never read by the VM
    And no server ran a request whose caller got no whole response
    And the VM exits with code 0

    Examples:
      | kind     | ms   |
      | reads    | 700  |
      | bookings | 700  |
      | bookings | 1300 |
