Feature: Each rule of coordination is needed
  A history that holds with all rules breaks a promise once one rule is taken away.

  Scenario Outline: without its rule, "<history>" breaks a promise because <mutation>
    When the history "<history>" runs
    Then every promise held
    When the history "<history>" goes on although <mutation>
    Then a promise broke

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
  Scenario: random schedules keep every promise
    When 60 random schedules of 30 steps run
    Then every promise held

  @shard10
  Scenario Outline: random schedules find that <mutation>
    When 120 random schedules of 40 steps go on although <mutation>
    Then a promise broke

    Examples:
      | mutation                              |
      | a head is accepted without a majority |
      | a head is in force once accepted      |
      | a loan outlives its term              |
      | a lender keeps what it lent           |
