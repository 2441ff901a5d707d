Feature: Backend servers that name the rate that they take from all VMs together

  Scenario Outline: a server that names <limit> a second gets no more from <vms> VMs while <event>
    Given <vms> VMs in <domains> failure domains that want to send more than a server takes
    When the server names a limit of <limit> requests a second, and <event>
    Then in no 4 s it gets more than one and a half times the limit and 5 requests
    And in the last 5 s it gets at least <least>% of the limit

    Examples:
      | vms | domains | limit | event                                        | least |
      | 12  | 6       | 0.5   | nothing else happens                         | 60    |
      | 12  | 6       | 4.4   | nothing else happens                         | 75    |
      | 82  | 9       | 4.4   | nothing else happens                         | 75    |
      | 82  | 9       | 30    | nothing else happens                         | 75    |
      | 12  | 6       | 4.4   | 6 more VMs join                              | 75    |
      | 12  | 6       | 2     | 6 more VMs join                              | 75    |
      | 82  | 9       | 4.4   | 30 more VMs join                             | 75    |
      | 12  | 6       | 4.4   | VMs restart one after the other              | 60    |
      | 82  | 9       | 4.4   | VMs restart one after the other              | 60    |
      | 12  | 6       | 2     | a VM that sends is no longer heard           | 60    |
      | 12  | 6       | 4.4   | a VM that sends is no longer heard           | 60    |
      | 82  | 9       | 8     | a VM that sends is no longer heard           | 60    |
      | 12  | 6       | 4.4   | a VM that sends is killed                    | 60    |
      | 12  | 6       | 4.4   | a VM that sends stands still for 6 s         | 60    |
      | 12  | 6       | 8     | the limit falls to a half                    | 60    |

  Scenario Outline: a limit that the server takes back ends on <vms> VMs
    Given <vms> VMs in <domains> failure domains that want to send more than a server takes
    When the server names a limit of 4 requests a second, and nothing else happens
    And the server names no limit any more
    Then within 8 s all VMs send to it without a limit

    Examples:
      | vms | domains |
      | 12  | 6       |
      | 82  | 9       |

  Scenario: a VM that restarts learns a limit from the others before it sends
    Given 12 VMs in 6 failure domains that want to send more than a server takes
    When the server names a limit of 4 requests a second, and nothing else happens
    And a VM that does not send is restarted
    Then it knows the limit within 1 s

  Scenario Outline: a limit of "<header>" is read as <limit>
    Then the header "<header>" names the limit <limit>

    Examples:
      | header | limit |
      | 4.4    | 4.4   |
      | 12     | 12    |
      | 0      | none  |
      | -3     | none  |
      | nan    | none  |
      | 1e999  | none  |
      | many   | none  |

  Scenario: a response to a request from before the limit does not end it
    Given a server whose limit of 4 was seen at 1000 ms
    When a response without a limit arrives at 1500 ms to a request sent at 900 ms
    Then the server has a limit
    When a response without a limit arrives at 1600 ms to a request sent at 1100 ms
    Then the server has no limit

  Scenario: no request queues at a limited server, other servers are used
    Given 2 servers, the first of which allows 1 request a second
    When 40 requests arrive within a second
    Then the first server gets at most 2 of them and the second one the others that find a slot
