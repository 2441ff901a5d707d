Feature: Settings and lists are checked before anything starts

  Scenario Outline: a wrong setting is refused with its key and a remedy
    When the settings have <key> set to <value>
    Then they are refused, naming "<named>"

    Examples:
      | key                     | value            | named                    |
      | vm.callers              | "example:80"     | $.vm.callers             |
      | vm.channel              | "127.0.0.1"      | $.vm.channel             |
      | timing.lease_ms         | "two seconds"    | $.timing.lease_ms        |
      | timing.renew_every_ms   | 1500             | $.timing.renew_every_ms  |
      | timing.loan_ms          | -1               | $.timing.loan_ms         |
      | vm.colour               | "red"            | $.vm.colour              |
      | fleet.key_file          | "/no/such/file"  | /no/such/file            |
      | platform.table          | "10.0.0.1:80"    | $.platform.table         |

  Scenario: the examples are valid
    Then the lists of "faner" and "diop" are valid at the sizes of the brief

  Scenario: any document either parses or is refused with a typed error
    Then 300 random documents are parsed or refused

  Scenario: any bytes between VMs are a message or a typed error
    Then 300 random and broken messages are read or refused

  Scenario: any bytes in the head row are a head or a typed error
    Then 300 random head rows are read or refused
