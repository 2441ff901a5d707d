Feature: Retry delays of refused callers

  Scenario: the retries after a burst are spread over a service time
    Given 100 callers refused at the same moment, with a service time of 300 ms
    Then they retry within 450 ms, at most 13 in any 30 ms

  Scenario: callers of a fast service still wait before they retry
    Given 10 callers refused at the same moment, with a service time of 20 ms
    Then they retry within 50 ms, at most 10 in any 50 ms
