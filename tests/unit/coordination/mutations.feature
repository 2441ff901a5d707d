Feature: Mutations of the rules of coordination are detected
  A history that violates no invariant violates one after a mutation disables one rule.

  Scenario Outline: "<history>" violates an invariant when <mutation>
    When the history "<history>" runs
    Then no invariant is violated
    When the history "<history>" runs with the mutation that <mutation>
    Then an invariant is violated

    Examples:
      | history                      | mutation                               |
      | ignorant VM                  | a VM confirms heads below its own      |
      | forgetful majority           | a restarted VM vouches at once         |
      | restart after acknowledging  | a restarted VM asks at once            |
      | slow answers                 | a lease counts from the answer         |
      | lender unseated              | rights are settled before loans lapse  |
      | lender restarted             | a restarted VM mints at once           |
      | lapsed bucket                | tokens survive a lapsed lease          |

  @shard9
  Scenario: random schedules violate no invariant
    When 60 random schedules of 30 steps run
    Then no invariant is violated

  @shard10
  Scenario Outline: random schedules detect that <mutation>
    When 120 random schedules of 40 steps run with the mutation that <mutation>
    Then an invariant is violated

    Examples:
      | mutation                              |
      | a head is accepted without a majority |
      | a head is in force once accepted      |
      | a loan outlives its term              |
      | a lender keeps what it lent           |
