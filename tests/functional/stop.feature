@steering @small_buffers
Feature: A stop on the users' platform, while callers read slowly

  # Issue 37: answers that the VM had from the server were cut when its process ended.
  Scenario Outline: responses of <size> bytes that callers read at <rate> bytes per second are whole when the VM has exited
    Given every server sends <size> bytes
    When a VM gets SIGTERM while callers read responses at <rate> bytes per second through slow links
    Then every caller got its whole response
    And the VM exits with code 0

    Examples:
      | size    | rate    |
      | 400000  | 240000  |
      | 900000  | 650000  |
      | 1100000 | 640000  |

  Scenario: a second SIGTERM and a SIGHUP during the stop cut no response
    Given every server sends 900000 bytes
    When a VM gets SIGTERM again and again while callers read responses at 650000 bytes per second through slow links
    Then every caller got its whole response
    And the VM exits with code 0

  Scenario: a caller that reads nothing does not keep a stopping VM beyond its grace time
    Given every server sends 900000 bytes
    When a VM gets SIGTERM while a caller reads nothing of its response
    Then the VM has exited with code 0 within its grace time
    And the VM's log names the response that the caller has not got, and how much of it

  Scenario: what callers have not read at the end of the grace time still reaches them from the kernel
    Given every server sends 500000 bytes
    When a VM gets SIGTERM while callers read responses at 170000 bytes per second through slow links
    Then every caller got its whole response
    And the VM exits with code 0

  Scenario: connections that wait to be accepted when a stopping VM stops listening are answered
    When a VM gets SIGTERM and callers keep connecting until it has exited
    Then every caller whose connection was opened got a response or a close, never a reset

  Scenario: a silent server's response is awaited by a stopping VM, although other servers refuse
    Given only the first server of object 7 serves, after 1500 ms without a byte
    When a VM gets SIGTERM 100 ms after a caller has asked for object 7
    Then the caller gets 200 with the signature of its first server
    And the VM exits with code 0

  Scenario: a stopping VM starts no request whose response its caller could not read in the grace time
    Given every server sends 400000 bytes
    And a caller has read a response of the VM at 300000 bytes per second through a slow link
    When the VM gets SIGTERM and callers ask every 100 ms, who read 300000 bytes per second through slow links
    Then every caller got its whole response or was refused as not run
    And the VM exits with code 0

  Scenario: a caller whose body is still incomplete when the grace time ends is refused as not run
    When the VM gets SIGTERM while a caller has sent half of its body
    Then every caller was refused as not run
    And the VM exits with code 0

  Scenario: a VM that gets SIGTERM every millisecond until it is gone exits cleanly
    When the VM gets SIGTERM every millisecond until it has exited
    Then the VM exits with code 0

  Scenario: a VM that gets SIGHUP while it starts goes on starting
    When a VM is stopped, and gets SIGHUP every 50 ms while it starts again
    Then that VM becomes ready and serves requests
