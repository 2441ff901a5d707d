Feature: Rate limits apply to the sum of grants over all VMs

  Scenario Outline: callers on <spread> of five VMs get their rate and no more
    Given a settled fleet of 5 VMs
    When callers send requests to <spread> VMs at <part> of the rate for 20 s
    Then no window of time was granted more than rate and burst allow
    And at most <refused> in a thousand were refused after warm-up

    Examples:
      | spread | part | refused |
      | 1      | 0.9  | 1       |
      | 2      | 0.9  | 1       |
      | 5      | 0.9  | 1       |
      | 1      | 5.0  | 1000    |
      | 3      | 5.0  | 1000    |

  Scenario: a burst at one VM is served with the shares of all VMs
    Given a settled fleet of 5 VMs
    When a burst of 12 requests arrives at one idle VM
    Then at least 11 of them are granted within 250 ms
    And no window of time was granted more than rate and burst allow

  Scenario: a lender's reply that arrives twice or late adds nothing
    Given a borrower that sent two loan requests
    When the reply to the first request arrives
    Then the borrower holds nothing
    When the reply to the second request arrives twice
    Then the borrower holds the loan once

  Scenario: an organisation that is removed and added again gets no second burst
    Given a settled fleet of 5 VMs
    When an organisation is removed and added again while its shares are lent
    Then no window of time was granted more than rate and burst allow
