Feature: Lease of a VM, and recovery of a fleet of VMs

  Scenario: the term of a lease starts when its request was sent
    Given a VM that started to read the head at 1000 ms
    When the answer arrives at 1900 ms
    Then the VM may act at 2999 ms
    And the VM may not act at 3000 ms

  Scenario: an answer that arrives after its lease would have expired gives no lease
    Given a VM that started to read the head at 1000 ms
    When the answer arrives at 3100 ms
    Then the VM may not act at 3100 ms

  Scenario: a VM that hears of a newer head doesn't act until it has its content
    Given a VM that started to read the head at 1000 ms
    When the answer arrives at 1010 ms
    And the VM hears of the next head
    Then the VM may not act at 1020 ms

  Scenario: a VM confirms no lease before it has an answer of the store or a majority
    Given a VM that has just started
    When another VM asks it to confirm head 7
    Then it does not confirm

  Scenario: a late reply to an older confirm round is ignored
    Given a VM that started to read the head at 1000 ms
    When the answer arrives at 1010 ms
    And the store stops answering and two confirm rounds start
    And two VMs reply to the first round only
    Then the lease is unchanged

  Scenario: the VM that held the first seat dies after other VMs were seated
    Given a settled fleet of 4 VMs
    When the VM that held the first seat dies
    Then every running VM is seated and acts again without the failed one

  Scenario: a VM that restarts while the store is down acts once a majority confirms its lease
    Given a settled fleet of 5 VMs
    When the store goes down
    And one VM restarts
    Then it acts again within 5000 ms
    And it held no share of a rate before 2000 ms

  Scenario: a majority of the VMs restarts while the store is down
    Given a settled fleet of 5 VMs
    When the store goes down
    And three VMs restart
    Then no VM acts after 6000 ms
    When the store is available again
    Then every running VM is seated and acts again

  Scenario: the writer of a change dies, the store goes down, and only one VM has the content
    Given a settled fleet of 5 VMs
    When a change reaches one other VM, its writer dies and the store goes down
    Then all running VMs act on the change within 5000 ms

  Scenario: a majority of the VMs fails permanently
    Given a settled fleet of 5 VMs
    When three VMs fail permanently
    Then the other VMs can't remove their seats
    When an operator declares the failed VMs ended
    Then every running VM is seated and acts again

  Scenario: every VM restarts at once
    Given a settled fleet of 5 VMs
    When every VM restarts
    Then every running VM is seated and acts again
    And the store was read fewer than 200 times a second

  Scenario: VMs of a region cut off from the store stop acting, the other VMs go on
    Given a settled fleet of 6 VMs
    When the region "south" is cut off from the other regions and the store
    Then after 3000 ms only VMs outside "south" act
    When the region is connected again
    Then every running VM is seated and acts again
