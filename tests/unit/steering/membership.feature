Feature: Fleet membership from digests

  Scenario: a VM that falls silent is no longer live within two seconds
    Given a VM that receives digests from 8 others
    When one sends no digests for 1500 ms
    Then it is not live, but still counts in the fleet size

  Scenario: an older digest that arrives late is ignored
    Given a VM that receives digests from 8 others
    When an older digest of one arrives after a newer one
    Then its newest digest is kept

  Scenario: a VM that restarts with its clock set back is accepted again
    Given a VM that receives digests from 8 others
    When one sends no digests for 1500 ms
    And it restarts with an older incarnation
    Then it is live

  Scenario: VMs agree on the readers of the store, and another VM replaces a failed reader
    Given a VM that receives digests from 8 others
    Then all VMs choose the same 2 readers of the store
    When a reader gets no answer from the store
    Then all other VMs choose 5 readers without it 0 ms later
    And all other VMs choose 2 readers without it 3000 ms later

  Scenario: the loss of a region leaves a reader of the store
    Then the first 2 readers of 9 VMs in 3 regions are in different regions

  Scenario Outline: a datagram is decoded as it was encoded
    Then a <kind> is decoded as it was encoded

    Examples:
      | kind                              |
      | digest                            |
      | digest with sums                  |
      | token request                     |
      | token grant                       |
      | grant for an unknown organisation |

  Scenario: when a fleet starts for the first time, its VMs find the one that started first
    Given an empty table of VMs
    When 5 VMs start for the first time
    Then all but the first know the host of the first, after one call each

  Scenario: a VM that starts later finds the readers of the store
    Given a table of VMs with 2 readers
    When 1 VM starts again
    Then it knows the 2 readers, after one call

  # A VM that restarts while it is cut off would take itself for the whole fleet.
  Scenario Outline: a VM that hears no other knows the size of the fleet from the store <case>
    Given a table of VMs with the rows <rows>
    When 1 VM starts again and hears no other VM for <seconds> s
    Then it uses 1 of <size> parts of what all VMs may do together

    Examples:
      | case                       | rows                     | seconds | size |
      | as recorded                | 10.1.0.1 24              | 6       | 24   |
      | as recorded last           | 10.1.0.1 24, 10.1.0.2 48 | 6       | 48   |
      | of an earlier version      | 10.1.0.1                 | 6       | 12   |
      | with a broken row          | 10.1.0.1 24, 10.1.0.2 x  | 6       | 24   |
      | where it is the only one   | 10.0.0.0 1               | 6       | 1    |
      | where it is not sure yet   | 10.0.0.0                 | 1       | 12   |

  # When all VMs of a large fleet restarted, each refused most requests until it had heard all others.
  Scenario Outline: a VM that restarted <seconds> s ago and hears a VM of <domains> has <rates> of the rates and <rest> of the rest
    Given a table of VMs with the rows 10.1.0.1 24
    When 1 VM starts again and after <seconds> s hears a VM of <domains>
    Then it uses <rates> of the rates of organisations, and <rest> of what else VMs may do together

    Examples:
      | seconds | domains | rates | rest |
      | 2       | a       | 1/2   | 2/24 |
      | 2       | a and b | 1     | 3/24 |
      | 5       | a and b | 3/24  | 3/24 |

  Scenario: a reader records how many VMs there are, and again when that has changed
    Given an empty table of VMs
    When a reader that hears 9 VMs later hears 12
    Then the table holds its host with 10 and then 13 VMs, and no call was made without a change

  Scenario Outline: a reader that restarted and hears no other VM does not record itself as the fleet, <case>
    Given a table of VMs with the rows <rows>
    When 1 VM starts again as a reader and hears no other VM for 9 s
    Then its row in the table is <value>

    Examples:
      | case                      | rows        | value       |
      | which is known            | 10.1.0.1 24 | 10.0.0.0 24 |
      | which is not known        | 10.1.0.1    | 10.0.0.0    |
      | where it is the only one  | 10.0.0.0    | 10.0.0.0 1  |

  # Beyond a full mesh a digest with many amounts is sent every second or two.
  Scenario Outline: a VM that gets a digest every <interval> ms and then none for <silence> ms has <share> of the fleet
    Given a VM that has heard 23 others every <interval> ms for 20 s
    When nothing arrives for <silence> ms
    Then its share is <share> of the fleet

    Examples:
      | interval | silence | share |
      | 500      | 1100    | 1     |
      | 1100     | 2400    | 1     |
      | 500      | 1300    | 1/96  |
      | 1100     | 3000    | 1/96  |
      | 500      | 9000    | 1/24  |

  Scenario: VMs that are silent are introduced to one that has just appeared
    Given a VM that has not heard 3 of 9 others for 60 s
    When another VM appears
    Then the other VM knows that there may be 11 VMs, and takes the silent ones for silent

  Scenario: all of many simultaneous token requests are answered
    When a VM sends another VM 40 token requests and digests at once
    Then all 40 are answered
