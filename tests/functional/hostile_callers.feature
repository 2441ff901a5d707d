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

  Scenario Outline: callers that go on to send <what> to the <port> port and read <reading> hold up nobody
    When 40 callers go on to send <what> to the <port> port and read <reading>
    Then ordinary requests are answered while they send
    And the VM lives, within its memory and descriptors

    Examples:
      | what                 | port    | reading |
      | bare request lines   | callers | nothing |
      | requests with a host | callers | nothing |
      | requests with a host | callers | all     |
      | bare request lines   | look-up | nothing |

  Scenario Outline: a single request with <what> that fills the limits is served
    When a caller sends a request with <what> that fills the limits
    Then it is answered as an ordinary one

    Examples:
      | what                          |
      | a head of short lines         |
      | a head with one long value    |
      | a body by length              |
      | a body in chunks of one byte  |
      | a body in chunks and trailers |

  Scenario: a request for rows after a digit that is no decimal is refused, and no fault is logged
    When a caller asks for rows after a digit that is no decimal
    Then it is refused with status 400
    And the log of the VM has no traceback

  Scenario: limits of a new configuration hold on connections that are open
    Given a caller has had a request with a head of short lines answered on its connection
    When a configuration allows heads of half that size, and the caller sends the same again
    Then it is refused with status 431

  Scenario Outline: more callers with <what> than the VM has descriptors keep nobody out
    When 500 callers hold connections to the <port> port with <what>
    Then an ordinary request is answered while they stay connected
    And an ordinary look-up is answered while they stay connected
    And the VM lives, within its memory and descriptors

    Examples:
      | what          | port    |
      | half a head   | callers |
      | no byte       | callers |
      | half a body   | callers |
      | half a head   | look-up |
      | no byte       | look-up |

  Scenario: half bodies of many callers stay within the memory of the VM
    Given a VM with 128 MB of memory and 4100 descriptors, whose callers have low limits
    When 400 callers hold connections to the callers port with most of a body
    Then an ordinary request is answered while they stay connected
    And the VM lives, within its memory and descriptors

  Scenario Outline: a connection with <what> is closed once the limit of the operators has passed
    When 4 callers hold connections to the callers port with <what>
    Then the VM closes the connection of each of them
    And an ordinary request is answered

    Examples:
      | what                     |
      | half a head              |
      | no byte                  |
      | one request answered     |
      | a long answer not read   |
      | a body of a byte a while |
