Feature: Who is there

  Scenario: a VM that falls silent is gone within two seconds
    Given a VM that hears 8 others
    When one falls silent for 1500 ms
    Then it is not live and still counts in the size of the fleet

  Scenario: an older heartbeat that arrives late changes nothing
    Given a VM that hears 8 others
    When an older heartbeat of one arrives
    Then its newest one counts

  Scenario: a VM whose clock was set back is taken again after it restarts
    Given a VM that hears 8 others
    When one falls silent for 1500 ms
    And it restarts with an older incarnation
    Then it is live

  Scenario: VMs agree on who reads the store, and another takes over
    Given a VM that hears 8 others
    Then 2 VMs read the store, the same for all
    When a reader loses the store
    Then 2 other VMs read the store

  Scenario Outline: a datagram comes through unchanged
    Then a <kind> is read as it was written

    Examples:
      | kind        |
      | heartbeat   |
      | token ask   |
      | token grant |
      | grant that is not known |

  Scenario: VMs of a fleet that starts for the first time find the one that came first
    Given an empty table of VMs
    When 5 VMs start for the first time
    Then all but the first know where the first one is, after one call each

  Scenario: a VM that starts later finds those that read the store
    Given a table of VMs with 2 readers
    When 1 VM starts again
    Then it knows the 2 readers, after one call

  Scenario: asks that are sent at the same moment are all answered
    When a VM sends another 40 token asks and heartbeats at once
    Then all 40 are answered
