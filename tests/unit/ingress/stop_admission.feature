Feature: Requests that wait to be admitted while a VM stops

  # Issue 40: such a request was read, and its connection ended with the process.
  Scenario Outline: a request that waits for <what> when a stop ends is refused as not run
    Given a VM where a request waits for <what> for 10000 ms
    When a request arrives at the stopping VM, and the stop ends 100 ms later
    Then the stopping VM answers 503 with "ran" set to "no" within 1000 ms of it

    Examples:
      | what           |
      | processor time |
      | a token        |

  Scenario: a request that comes after the last start of a stop is refused at once
    Given a VM where a request waits for a token for 10000 ms
    When a request arrives at the VM after the last start of its stop
    Then the stopping VM answers 503 with "ran" set to "no" within 1000 ms of it
