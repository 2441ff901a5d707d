Feature: A fleet whose store comes back from a copy, or moves, with real processes

  Scenario: what was acknowledged before the store went away holds, and what is written after its return is in force
    Given six VMs that serve requests, whose store is copied
    When a key is withdrawn, a server drains, another one leaves and a third one registers
    And the store is away for 1500 ms and comes back from the copy
    And 500 ms later the operators and the servers write theirs again, with another route
    Then every VM serves the new route within 2500 ms
    And from 2500 ms after the changes on no request was served with the withdrawn key, or reached the servers that left
    And every VM of its region sends requests to the server that registered

  # Review, case 9: no VM called the new address, and old routes and withdrawn keys stayed in use.
  Scenario: a store that moves to another address is followed there
    Given six VMs that serve requests, whose store is copied
    When the settings of all VMs name another address of the store, and 2000 ms later it answers only there
    And the operators and the servers write theirs again, with another route
    Then every VM serves the new route within 2500 ms
