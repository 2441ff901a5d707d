Feature: Log lines on servers that are taken for silent

  Scenario: a line names the request, the server, the time that is left and what follows
    When a request finds a server silent for 250 ms with 2750 ms left and no retry credit
    Then the log has one line with its request id, the server, both times and the reason

  Scenario: a fleet of silent servers does not flood the log
    When 1000 requests within 10 s find their server silent
    Then the log has at most 100 lines
    And the last line counts the dropped ones
