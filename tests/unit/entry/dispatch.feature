Feature: What a caller is told after several tries

  Scenario Outline: tries that end <ends> are refused as having run "<ran>"
    When the tries of an idempotent request end <ends>
    Then the refusal says that it ran "<ran>"

    Examples:
      | ends                        | ran     |
      | failed, unreachable         | unknown |
      | failed, shed                | unknown |
      | failed, shed, unreachable   | unknown |
      | shed, unreachable           | no      |
      | shed, failed                | unknown |
      | failed, withdrawn           | unknown |
