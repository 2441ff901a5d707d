Feature: Refusals after several attempts

  Scenario Outline: attempts that end as <outcomes> are refused with "ran" set to "<ran>"
    When the attempts of an idempotent request end as <outcomes>
    Then the refusal has "ran" set to "<ran>"

    Examples:
      | outcomes                    | ran     |
      | failed, unreachable         | unknown |
      | failed, shed                | unknown |
      | failed, shed, unreachable   | unknown |
      | shed, unreachable           | no      |
      | shed, failed                | unknown |
      | failed, withdrawn           | unknown |

  # Issue 40: 503 promises that the request did not run, and got a time after which to retry.
  Scenario Outline: attempts of which an early one may have run and that end as <outcomes> get no 503
    When the attempts of an idempotent request end as <outcomes>
    Then the refusal is "backend_failed" with status 502, and "ran" set to "unknown"

    Examples:
      | outcomes                  |
      | failed, unreachable       |
      | failed, shed              |
      | failed, shed, unreachable |
      | shed, failed, shed        |

  # As in review/1: only the buffered part of a long body can be sent again.
  Scenario Outline: a PUT with <size> bytes whose server <failure> is <repeated>
    Given a PUT with a body of <size> bytes that was sent to a server
    When the server <failure>
    Then the attempt is <repeated>

    Examples:
      | size   | failure               | repeated     |
      | 300    | refuses it            | repeated     |
      | 300    | closes the connection | repeated     |
      | 200000 | refuses it            | not repeated |
      | 200000 | closes the connection | not repeated |

  # As in review/3: bytes without end must not be read for ever.
  Scenario: the body of a refusal that does not end is not read for longer than its limit
    Given a PUT with a body of 300 bytes that was sent to a server
    When the server refuses it with a body without end
    Then the attempt is repeated
    And at most 66 KiB were read before the connection was closed

  # Issue 43: the wait for a connection is followed by a look at what is known.
  Scenario Outline: a request is not sent to a server that <change> while the connection to it was opened
    Given a request that gets a slot of a server of the own interface
    When the server <change> while the connection to it is opened
    Then nothing is sent, and another server may be tried

    Examples:
      | change                   |
      | is drained               |
      | gets another address     |
      | leaves the configuration |
