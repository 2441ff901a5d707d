@alone
Feature: Callers that send or hold too much do not harm a VM

  # Each VM has little memory, few descriptors and low limits for its callers, so that a small crowd
  # is enough to exceed them.
  Background:
    Given a VM with 128 MB of memory and 400 descriptors, whose callers have low limits

  Scenario Outline: callers that send <what> without end to the <port> port are refused
    When 4 callers send <what> without end to the <port> port
    Then an ordinary request is answered while they stay connected
    And the VM has refused each of them
    And the VM lives, within its memory and descriptors

    Examples: callers' port
      | what               | port    |
      | head lines         | callers |
      | a header name      | callers |
      | a header value     | callers |
      | a request target   | callers |
      | empty lines        | callers |
      | trailer lines      | callers |
      | a trailer value    | callers |
      | a chunk extension  | callers |
      | a body in chunks   | callers |
      | a body by length   | callers |

    Examples: other ports
      | what           | port      |
      | head lines     | look-up   |
      | head lines     | readiness |
      | head lines     | rows      |
      | head lines     | metrics   |
      | empty lines    | look-up   |
      | empty lines    | readiness |
      | a body for one | look-up   |

  Scenario Outline: <count> callers that send <what> ahead and read no answer leave the VM to others
    When <count> callers send <what> ahead to the <port> port and read nothing
    Then an ordinary request is answered while they stay connected
    And the VM lives, within its memory and descriptors

    Examples:
      | count | what                  | port      |
      | 10    | bare request lines    | callers   |
      | 10    | requests with a host  | callers   |
      | 10    | posts without headers | callers   |
      | 10    | complete requests     | callers   |
      | 10    | bare request lines    | look-up   |
      | 10    | bare request lines    | readiness |

  Scenario: callers that send requests ahead and read the answers leave the VM to others
    When 4 callers send many bare request lines ahead to the callers port and read all
    Then an ordinary request is answered while they stay connected
    And the VM lives, within its memory and descriptors
