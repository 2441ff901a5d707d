Feature: Refusals after several attempts

  Scenario Outline: attempts that end as <outcomes> are refused with "ran" set to "<ran>"
    When the attempts of an idempotent request end as <outcomes>
    Then the refusal has "ran" set to "<ran>"

    Examples:
      | outcomes                    | ran     |
      | failed, unreachable         | unknown |
      | failed, shed                | unknown |
      | failed, shed, unreachable   | unknown |
      | shed, unreachable           | no      |
      | shed, failed                | unknown |
      | failed, withdrawn           | unknown |
