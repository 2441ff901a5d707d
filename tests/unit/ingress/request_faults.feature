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
