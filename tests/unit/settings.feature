Feature: Settings, lists, messages and head rows are validated when they are read

  Scenario Outline: an invalid setting is rejected with its key and a remedy
    When the settings have <key> set to <value>
    Then the settings are rejected, naming "<named>"

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
    Then the lists of "faner" and "diop" are valid and have the expected backend servers

  Scenario: a document either parses or is rejected with a typed error
    Then 300 random documents are parsed or rejected

  Scenario: bytes from another VM decode to a message or a typed error
    Then 300 random and corrupted messages are decoded or rejected

  Scenario: bytes of the head row decode to a head or a typed error
    Then 300 random head rows are decoded or rejected
