Feature: Requests that a VM and a backend server could read differently

  # Issue 50: of two request ids the VM took the last and sent both; a server that echoes the first one was not believed.
  Scenario Outline: a request with a second <name> is refused
    When a request has a second <name>, which says <value>
    Then it is refused as malformed, and no server gets it

    Examples:
      | name          | value         |
      | x-request-id  | r9            |
      | x-request-id  | r0            |
      | host          | other.example |
      | x-key         | other         |
      | x-deadline-ms | 50            |
