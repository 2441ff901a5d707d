Feature: Backend servers that repeat responses or send bytes without end

  Scenario Outline: a refusal that a server repeats on a connection in use is not taken for the next request's
    Given a server that answers a first request and then repeats a refusal <with> before it answers
    When a booking is sent on the connection of the first request
    Then the caller gets <status> and is not told that the booking did not run

    Examples:
      | with              | status |
      | of the first one  | 200    |
      | without an id     | 502    |

  Scenario: a refusal without an id on a new connection is a refusal of the request
    Given a server that refuses without an id
    When a booking is sent on a new connection
    Then the caller gets 503 and is told that the booking did not run

  Scenario Outline: a server that sends <what> without end does not hold a booking or its memory
    Given a server that sends <what> without end
    When a booking is sent on a new connection
    Then the caller gets <status> before its deadline
    And at most 1 MiB was read

    Examples:
      | what                       | status |
      | headers                    | 502    |
      | informational responses    | 502    |
      | the body of a refusal      | 502    |

  Scenario: the body of a success that never ends is cut at the caller's deadline, and not ended as complete
    Given a server that sends the body of a success without end
    When a booking is sent on a new connection
    Then the caller's response was started and never completed
    And it took no longer than the caller's deadline

  # Reported by other operators: a head that broke off became a 200 with an empty body, framed as whole.
  Scenario Outline: a response with <framing> that breaks off anywhere by a <end> is never passed on as a success
    Given a server that breaks off a response with <framing> by a <end>
    When a booking is sent for each byte at which it can break off
    Then no caller gets a success before byte <first> of the response

    Examples:
      | framing        | end   | first          |
      | a length       | close | the last       |
      | a length       | reset | the last       |
      | chunks         | close | the last       |
      | chunks         | reset | the last       |
      | no length      | close | the body's     |
      | no length      | reset | after the last |
      | an early hint  | close | the last       |
