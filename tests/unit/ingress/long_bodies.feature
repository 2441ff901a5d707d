Feature: Request bodies that are sent more than once

  # review/1: a booking of 600,000 bytes that a first server refused ran at a second one with the buffered
  # part of its body as the whole, and the caller got a success.
  Scenario Outline: a <method> with <size> bytes <encoding> never reaches a server with another body after <failure>
    Given two servers of which the first to get a request answers with <failure>
    When a <method> with a body of <size> bytes <encoding> is sent
    Then every request that ran had the whole body
    And the caller gets <status>

    Examples:
      | method | size   | encoding      | failure           | status |
      | POST   | 600000 | with a length | a refusal         | 503    |
      | POST   | 600000 | in chunks     | a refusal         | 503    |
      | POST   | 600000 | with a length | another server    | 503    |
      | PUT    | 600000 | with a length | a reset           | 502    |
      | PUT    | 600000 | in chunks     | a server error    | 500    |
      | POST   | 300000 | with a length | a refusal         | 200    |
      | POST   | 262145 | with a length | a refusal         | 200    |
      | POST   | 262144 | in chunks     | a refusal         | 200    |
      | POST   | 393216 | with a length | a refusal         | 503    |
      | POST   | 300    | with a length | a refusal         | 200    |
      | POST   | 300    | in chunks     | a refusal         | 200    |
      | PUT    | 300    | in chunks     | a reset           | 200    |

  Scenario Outline: a long body <encoding> of which nothing was sent yet goes to another server
    Given two servers of which the first to get a request accepts no connection
    When a POST with a body of 600000 bytes <encoding> is sent
    Then every request that ran had the whole body
    And the caller gets 200

    Examples:
      | encoding      |
      | with a length |
      | in chunks     |

  Scenario: a caller that leaves after its long body was sent does not hold the server
    Given a server that works on each request for 3 s
    When a caller sends a body of 600000 bytes and leaves 100 ms later
    Then the server's connection is closed within 500 ms
