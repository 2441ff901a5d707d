Feature: What ends a response of the own interface

  Scenario: a caller that reads each part for longer than the service's timeout gets the whole response
    Given a service with a timeout of 200 ms whose server responds with 5 parts at once
    When a caller takes 500 ms to read each part
    Then the caller got all 5 parts, and an end

  Scenario: a server that is silent between two parts for longer than the timeout ends the response
    Given a service with a timeout of 200 ms whose server is silent after 2 parts
    When a caller takes 10 ms to read each part
    Then the response was aborted

  Scenario: a request whose server is at work when the grace time of a stop ends is answered as one that may have run
    Given a service with a timeout of 60000 ms whose server is silent
    When the grace time of a stop ends while a caller waits
    Then the request is refused with "deadline", and "ran" set to "unknown"
