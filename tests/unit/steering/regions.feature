Feature: Distribution of requests to regions

  Scenario: a region with free slots keeps its requests
    Given regions with demand and slots "mid 20 54, north 30 72, south 10 18"
    Then "south" keeps all of its requests

  Scenario: requests beyond a region's capacity go to regions with free slots
    Given regions with demand and slots "mid 20 54, north 30 72, south 30 18"
    Then "south" keeps 42% of its requests
    And "north" keeps all of its requests

  Scenario: all requests of a region without servers go to other regions
    Given regions with demand and slots "mid 20 54, north 30 72, south 10 0"
    Then "south" keeps 0% of its requests

  Scenario Outline: a sudden change of demand moves at most the permitted share of requests in any 2 s
    Given a split of "south" for demand and slots "mid 5 54, north 5 72, south 5 18"
    When demand and slots become "<demand>" for 20 s
    Then no two successive windows of 2 s differ by more than 0.15

    Examples:
      | demand                             |
      | mid 5 54, north 5 72, south 60 18  |
      | mid 50 54, north 5 72, south 40 18 |

  Scenario: an object has one server in the fleet, wherever its requests come from
    Given 3 VMs that route by object, with servers "s0 a, s1 a, s2 a, s3 b"
    Then each object has one server, the same from every VM
    And about 75% of the objects are in region "one"

  Scenario: objects stay in the caller's region where others are too far for the objective
    Given 3 VMs that route by object, with servers "s0 a, s1 a, s2 b, s3 b"
    Then downloads stay in the region of each VM
    When a round trip between regions takes 110 ms, for an objective of 150
    Then each object stays in the region of each VM

  Scenario: a failure domain gets no requests once three of its servers can't be reached
    Given 3 VMs that route by object, with servers "s0 a, s1 a, s2 a, s3 a, s4 b"
    When three servers of "a" can't be reached
    Then no object is sent to "a"

  Scenario: servers that can't be reached a minute apart do not make their failure domain unreachable
    Given 3 VMs that route by object, with servers "s0 a, s1 a, s2 a, s3 a, s4 b"
    When three servers of "a" can't be reached, a minute apart
    Then the others of "a" are still used

  Scenario: objects do not spread to busy regions while their own region is full
    Given 3 VMs that route by object, with servers "s0 a, s1 a, s2 b, s3 b"
    When every server of region "one" is full while 1000 requests for objects arrive at a VM and the others have 3 of 4 slots in use
    Then at most 34 of them were sent to region "two" in place of region "one"

  Scenario: requests of a full region are not refused while another region is idle
    Given 3 VMs that route by object, with servers "s0 a, s1 a, s2 b, s3 b"
    When every server of region "one" is full while 1000 requests for objects arrive at a VM and the others have 1 of 4 slots in use
    Then all of them were sent to region "two"
