Feature: Claims of idempotency keys while the store fails

  Scenario: two writes of one row never share a transaction
    When two requests claim one key through one VM at the same moment
    Then exactly one of them acquires the claim

  Scenario Outline: random failures of the store never let a key run twice
    When <count> random histories run in which VMs stop, and the store fails before or after commits
    Then no history ran the key twice, unless the first claim was released as not run

    Examples:
      | count |
      | 400   |
