Feature: Tokens of organisations that are new

  Scenario: an owner that does not know an organisation yet does not refuse its requests
    Given a VM that asks two owners for tokens
    When the first owner does not know the organisation and the second one grants a token
    Then the request is admitted, and the first owner is asked again for the next one

  Scenario: an owner that does not answer is passed over for a second
    Given a VM that asks two owners for tokens
    When the first owner does not answer and the second one grants a token
    Then the request is admitted, and the first owner is not asked for the next one
