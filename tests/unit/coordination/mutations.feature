Feature: Mutations of the rules of coordination are detected
  A history that violates no invariant violates one after a mutation disables one rule.

  Scenario Outline: "<history>" violates an invariant when <mutation>
    When the history "<history>" runs
    Then no invariant is violated
    When the history "<history>" runs with the mutation that <mutation>
    Then an invariant is violated

    Examples:
      | history                       | mutation                                  |
      | VM without head updates       | a VM confirms leases on older heads       |
      | restart in the majority       | a restarted VM confirms leases at once    |
      | restart after acknowledging   | a restarted VM counts lease votes at once |
      | slow store answers            | a lease starts at the answer              |
      | lender loses its seat         | rights are assigned before loans expire   |
      | lender restarts               | a restarted VM uses its own share at once |
      | bucket after an expired lease | tokens survive an expired lease           |

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
      | a borrower keeps a loan past its term |
      | a lender also uses what it lent       |
