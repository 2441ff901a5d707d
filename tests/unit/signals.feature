Feature: Signals to a VM on the users' platform

  # The time of a stop ran from when a busy event loop came to the signal; requests that were sent
  # later than 3 s after the signal were started, and ended by the VM.
  Scenario Outline: a VM whose event loop is busy for <busy> ms after SIGTERM starts no request later than 3 s after it
    Given a VM with a grace time of 6000 ms
    When it gets SIGTERM, and its event loop is busy for <busy> ms
    Then the VM starts requests until at least 2800 and at most 3000 ms after the first signal

    Examples:
      | busy |
      | 0    |
      | 400  |
      | 1500 |

  Scenario: only the first of several signals that stop a VM counts
    Given a VM with a grace time of 6000 ms
    When it gets SIGINT and 300 ms later SIGTERM, and its event loop is busy for 600 ms
    Then the VM starts requests until at least 2800 and at most 3000 ms after the first signal

  Scenario: SIGHUP reloads the settings of a running and of a stopping VM, and stops neither
    Given a VM with a grace time of 6000 ms
    When it gets SIGHUP, and later SIGTERM and SIGHUP at once
    Then it has read its settings 2 times, and was stopped once

  Scenario: signals that arrive as the signal handling ends do not end the process
    Given a VM with a grace time of 6000 ms
    When it stops to handle signals, and gets SIGTERM and SIGHUP
    Then the process goes on
