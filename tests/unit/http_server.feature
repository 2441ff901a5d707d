Feature: Connections of callers end only after their responses

  Scenario Outline: a caller that still sends its body gets the whole response of <size> bytes that ends its connection
    Given a server that responds with <size> bytes and closes, without reading the body
    When a caller sends a body of 3000000 bytes and reads <rate> bytes per second through a slow link
    Then the caller got the whole response

    Examples:
      | size   | rate   |
      | 200    | 100000 |
      | 150000 | 300000 |

  Scenario: a caller whose request is malformed gets the whole refusal although it sends on
    Given a server that responds with 100 bytes
    When a caller sends a malformed head and 1000000 bytes after it
    Then the caller got status 400 and its whole body

  Scenario: connections that the kernel has opened when a server stops accepting are served
    Given a server that responds with 100 bytes
    When 20 callers connect, the server stops accepting, and the callers send requests
    Then every caller got the whole response

  Scenario: a request that has arrived when a server closes its idle connections is answered
    Given a server that responds with 100 bytes
    When callers on 20 kept connections send requests just before the server stops
    Then every caller got the whole response

  Scenario: a caller that never stops sending does not hold its connection
    Given a server that responds with 100 bytes and closes, without reading the body
    And connections are kept for their callers' rest of a body for 300 ms
    When a caller sends a body without end
    Then its connection ends within 2 seconds

  Scenario: a stop takes no time where callers have read their responses
    Given a server that responds with 100 bytes
    When 20 callers have read their responses on kept connections, and the server stops with a grace time of 5 seconds
    Then the stop takes less than 200 ms
