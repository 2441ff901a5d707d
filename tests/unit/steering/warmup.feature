Feature: Rate limits of cold backend servers

  Scenario Outline: a server that tolerates <rate> requests a second gets no more than the bound from all VMs
    Given 12 VMs and a cold server that tolerates <rate> requests a second
    When every VM has 50 requests a second for it for 4 s while <fault>
    Then no second had more requests than 1.5 times the rate plus 5

    Examples:
      | rate | fault                                 |
      | 4.6  | nothing happens                       |
      | 22   | nothing happens                       |
      | 4.6  | 2 VMs are partitioned from the others |
      | 22   | half of the VMs are killed            |
      | 4.6  | its owner is no longer heard          |
      | 22   | its owner is no longer heard          |
      | 60   | its owner is no longer heard          |

  Scenario Outline: a cold server gets the few requests of a quiet fleet of which <share> is heard
    Given a cold server that tolerates 4.6 requests a second, and its owner, which hears <share> of the fleet
    When a request for it comes every 1500 ms
    Then it gets all of them but at most the first

    Examples:
      | share |
      | 1     |
      | 0.9   |
      | 0.5   |

  Scenario: a server counts as cold after the evacuation of its failure domain ends
    Given a routing state with a server in "a"
    When "a" is evacuated
    Then the server gets no requests
    When the evacuation of "a" ends
    Then the server is cold for 2500 ms
