Feature: Keys that change while a request is in progress

  Scenario Outline: a request whose key <change> while it waits for a token is not sent
    Given a VM on which organisation alder owns the key of a request
    When the key <change> while the request waits for a token
    Then the caller gets 401 and no backend server was picked

    Examples:
      | change                              |
      | is withdrawn                        |
      | is given to another organisation    |
