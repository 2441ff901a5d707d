Feature: Keys that go while a request is under way

  Scenario Outline: a request whose key <change> while it waits for a token is not sent
    Given a VM whose organisation alder holds the key of a request
    When the key <change> while the request waits for a token
    Then the caller gets 401 and no server was asked for

    Examples:
      | change                        |
      | is withdrawn                  |
      | goes to another organisation  |
