Feature: Requests of a connection arrive as they were sent, one after the other

  Scenario Outline: a request that offers <offer>, with a body <framing>, keeps its body
    When a caller sends a request that offers <offer>, with a body <framing>, and another one after it
    Then both arrived with their bodies, and both were answered in order

    Examples:
      | offer     | framing                       |
      | h2c       | with a length                 |
      | h2c       | in chunks                     |
      | h2c       | with a length, a moment later |
      | websocket | with a length                 |
      | websocket | in chunks                     |

  Scenario: a request to open a tunnel is refused
    When a caller sends "CONNECT a.example:443 HTTP/1.1"
    Then it is refused with status 400, and nothing arrived

  Scenario: a request whose target is no URL is refused
    When a caller sends "GET gopher://[::1 HTTP/1.1"
    Then it is refused with status 400, and nothing arrived

  # Issue 50: the route was that of the header's host, and the target's authority was dropped.
  Scenario: a request whose target names another host than its header is refused
    When a caller sends "GET http://other.example/x HTTP/1.1"
    Then it is refused with status 400, and nothing arrived

  Scenario: a request whose target names the host of its header is served
    When a request has the target "http://A/x?u=http://other"
    Then it arrived with the path "/x"

  Scenario: requests that are cut at any place arrive unchanged and in order
    Then any requests, sent in any parts, arrive unchanged and are answered in order

  Scenario: a field of a trailer section does not replace a header
    When a caller sends a chunked request whose trailer section has the name of a header
    Then the header arrived as it was in the head

  Scenario: a caller that sends more than is allowed after its response gets no second one
    When a caller sends more of a body than is allowed after the response to its request
    Then its connection ends without another response

  Scenario: a refusal of a request on a kept connection does not speak of the one before it
    When a caller sends a long body, and a malformed head after the response
    Then the refusal says that the request did not run

  Scenario: a half body that gives way to a new connection is reported once
    When a caller with half a body gives way to a new connection
    Then it was refused with status 503, and reported once
