Feature: When refused callers come back

  Scenario: callers of one burst come back spread over a service time, not in one wave
    Given 100 callers that are refused at one moment, at 300 ms a request
    Then they come back within 450 ms, at most 13 in any 30 ms

  Scenario: callers of a fast service still make a pause
    Given 10 callers that are refused at one moment, at 20 ms a request
    Then they come back within 50 ms, at most 10 in any 50 ms
