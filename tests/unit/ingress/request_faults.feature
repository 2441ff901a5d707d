Feature: Unexpected errors while a request is handled

  Scenario Outline: the caller of a request that hits an unexpected error <when> gets an answer that is true
    Given a VM whose code fails <when>
    When a caller sends a request
    Then the caller gets <status> with "ran" set to "<ran>"
    And the log has an error line with the request's id, and the fault is counted

    Examples:
      | when                       | status | ran     |
      | when it picks a server     | 503    | no      |
      | after it sent the request  | 502    | unknown |

  Scenario: a VM on which requests fail in a row leaves the look-up answers for a time
    Given a VM whose code fails when it picks a server
    When a caller sends a request
    Then the VM is ready
    When 2 more callers send a request
    Then the VM is not ready
    And it is ready again 5 seconds later

  Scenario Outline: service times of <ms> ms are no cause of an error in any decision
    Given a VM with servers that answer in <ms> ms
    Then it picks a server, a retry delay and a queue limit for the next request

    Examples:
      | ms         |
      | 0          |
      | 1          |
      | 1000000000 |

  Scenario: amounts, rates and weights of any size are no cause of an error in any decision
    Then decisions on random amounts, rates, weights and latencies give finite results

  Scenario: an error in one background task leaves the daemon and its other tasks running
    Given a background task that fails twice
    When it runs beside another one
    Then it is started again each time, and the other one is not cancelled
    And the log names the task and its error

  Scenario: the daemon outlives the reader of its log
    When nobody reads standard output any more
    Then lines are written without an error, and none are kept

  Scenario: a VM that was suspended while it waited for tokens does not spend them
    Given a VM that asks two owners for tokens
    When it is suspended for 5 s until the first owner's grant arrives
    Then the grant is not used

  Scenario Outline: a datagram <of> is dropped, and the next one is handled
    When a VM receives a datagram <of> and then a digest
    Then the digest is handled, and the first datagram is counted as rejected

    Examples:
      | of                                   |
      | of random bytes                      |
      | that names a host that is no address |
      | whose sender's host is no address    |
      | with an amount that is no number     |
      | that its handler fails on            |
