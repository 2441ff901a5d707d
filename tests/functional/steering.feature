@steering
Feature: The way of a request on the users' platform, with real processes

  Scenario: a request is served, and its backend server never sees the key
    When a caller reads object 5
    Then it gets 200 with the signature of a server
    And the server saw organisation "alder", a deadline within the caller's and no key

  Scenario Outline: <case> is refused with <status>
    When a caller sends <case>
    Then it gets <status> without a signature
    And nothing ran

    Examples:
      | case                 | status |
      | a path of no route   | 404    |
      | a host of no route   | 404    |
      | an unknown key       | 401    |
      | a request without id | 400    |

  Scenario Outline: a read whose first server <fault> is answered by another
    Given the first server of object 7 <fault>
    When a caller reads object 7
    Then it gets 200 with the signature of another server

    Examples:
      | fault                    |
      | breaks its answers off   |
      | sheds                    |
      | answers for another      |
      | fails every request      |
      | is not there any more    |
      | hangs                    |

  Scenario: a booking that may have run is not sent again
    Given the first server of object 7 breaks its answers off
    When a caller books object 7
    Then it gets 502 without a signature
    And the booking ran once

  Scenario: a booking that a server shed is sent to another
    Given the first server of object 7 sheds
    When a caller books object 7
    Then it gets 200 with the signature of another server
    And the booking ran once

  Scenario: a request that nobody can serve is refused truthfully
    Given every server sheds
    When a caller reads object 5
    Then it gets 503 without a signature
    And it is told when to come back

  Scenario: a read that may have run is not said to be unrun when the next server sheds it
    Given the first server of object 7 breaks its answers off
    And every other server sheds
    When a caller reads object 7
    Then it gets 502 without a signature

  Scenario: a hung server costs a booking its timeout and no more
    Given the first server of object 7 hangs
    When a caller books object 7 with 800 ms to wait
    Then it gets 504 without a signature

  Scenario: a caller that leaves stops the work at the server
    Given the first server of object 7 hangs
    When a caller books object 7 and leaves after 200 ms
    Then the server is told

  Scenario: a draining server gets nothing more, from any VM
    When the first server of object 9 drains
    Then soon no VM sends to it

  Scenario: an evacuated failure domain gets nothing more, and work again when it is taken back
    When failure domain "one-a" is evacuated
    Then soon no VM sends to its servers
    When failure domain "one-a" is taken back
    Then soon every VM sends to its servers again

  Scenario: a change is in force on every VM, and costs the fleet few calls
    When the operator withdraws the key
    Then soon every VM refuses it with 401
    And the store had at most 12 calls for that

  Scenario: a VM that restarts while the store is down learns from the others
    Given the store refuses every call
    When a VM is killed and started again
    Then it becomes ready and serves

  Scenario: a stopping VM leaves the look-up, serves kept connections and ends cleanly
    When a VM gets SIGTERM while a caller goes on over one connection
    Then no request of the caller was cut
    And it is not ready, and no look-up names it
    And it ends with exit code 0

  Scenario: from a request's id to its cause
    When a caller sends an unknown key
    Then the VM's log has a line of that request with cause "unknown_key"

  Scenario: a stopping VM takes no request that it would have to give up
    Given every server works for 600 ms
    When a VM gets SIGTERM while callers open new connections all the time
    Then every request that the VM read was served
    And it ends with exit code 0

  Scenario: a request that no server finishes within the grace time is told that it may have run
    Given every server works for 2900 ms
    When a VM gets SIGTERM and a booking 100 ms later
    Then the booking is answered with 504
    And it ends with exit code 0
