Feature: Claims of idempotency keys under faults of the store

  Scenario: two writes of one row never share a transaction
    When two requests claim one key through one VM at the same moment
    Then exactly one of them holds the claim

  Scenario Outline: random faults of the store never let a key run twice
    When <count> random histories of claims, deaths, lost answers and outages run
    Then no key was ever held twice, unless it was released as not run

    Examples:
      | count |
      | 400   |
