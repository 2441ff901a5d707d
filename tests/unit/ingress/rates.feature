Feature: Rate limit tokens from several owner VMs

  Scenario: if an owner does not know a new organisation yet, the next owner is asked
    Given a VM that asks two owners for tokens
    When the first owner does not know the organisation and the second one grants a token
    Then the request is admitted, and the first owner is asked again for the next one

  Scenario: an owner that does not reply is skipped for a second
    Given a VM that asks two owners for tokens
    When the first owner does not reply and the second one grants a token
    Then the request is admitted, and the first owner is not asked for the next one
