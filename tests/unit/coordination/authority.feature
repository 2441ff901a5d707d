Feature: Authority of one VM

  Scenario: a lease counts from before its request
    Given a VM that began to read the head at 1000 ms
    When the answer comes at 1900 ms
    Then the VM may act at 2999 ms
    And the VM may not act at 3000 ms

  Scenario: an answer that comes after its lease would have ended gives none
    Given a VM that began to read the head at 1000 ms
    When the answer comes at 3100 ms
    Then the VM may not act at 3100 ms

  Scenario: a VM that hears of a newer head stops until it has the content
    Given a VM that began to read the head at 1000 ms
    When the answer comes at 1010 ms
    And the VM hears of the next head
    Then the VM may not act at 1020 ms

  Scenario: a VM confirms nobody before it may vouch
    Given a VM that has just started
    When another VM asks it about head 7
    Then it does not confirm

  Scenario: a late answer of an older round counts nothing
    Given a VM that began to read the head at 1000 ms
    When the answer comes at 1010 ms
    And the store stops answering and two rounds begin
    And two VMs answer the first round only
    Then the lease is as it was

  Scenario: the founder of a fleet may die once others are settled
    Given a settled fleet of 4 VMs
    When the VM that held the first seat dies
    Then the fleet is whole again without it

  Scenario: a VM that restarts while the store is down serves once a majority vouches
    Given a settled fleet of 5 VMs
    When the store goes down
    And one VM restarts
    Then it serves again within 5000 ms
    And it minted nothing before 2000 ms

  Scenario: all VMs of a majority restart while the store is down
    Given a settled fleet of 5 VMs
    When the store goes down
    And three VMs restart
    Then no VM acts after 6000 ms
    When the store comes back
    Then the fleet is whole again

  Scenario: the writer of a change dies, the store goes down, and one VM alone has the content
    Given a settled fleet of 5 VMs
    When a change reaches one other VM, its writer dies and the store goes down
    Then all VMs that live act on the change within 5000 ms

  Scenario: a majority of the VMs is lost for good
    Given a settled fleet of 5 VMs
    When three VMs die for good
    Then the others cannot give up their seats by themselves
    When an operator declares them ended
    Then the fleet is whole again

  Scenario: every VM restarts at once
    Given a settled fleet of 5 VMs
    When every VM restarts
    Then the fleet is whole again
    And the store was read less than 200 times a second

  Scenario: a region cut off without the store refuses, the others go on
    Given a settled fleet of 6 VMs
    When the region "south" is cut off without the store
    Then after 3000 ms only VMs outside "south" act
    When the cut heals
    Then the fleet is whole again
