Feature: Placement of requests on backend servers

  Scenario: requests for one object go to one server, the same from every VM
    Given 6 servers of 4 slots in 2 failure domains
    When 200 requests for 20 objects are placed one at a time
    Then each object went to one server

  Scenario: requests for an object whose first server is full go to the next in its ranking
    Given 6 servers of 4 slots in 2 failure domains
    When the first server of an object is full
    Then its requests go to one other server

  Scenario Outline: a burst for one object is handled by <servers> servers where <allowed> are allowed
    Given 6 servers of 4 slots in 2 failure domains
    When 60 requests for one object arrive at once, with <allowed> servers allowed
    Then <servers> servers got requests, none beyond its slots and queue

    Examples:
      | allowed | servers |
      | 2       | 2       |
      | 3       | 3       |

  Scenario: most objects keep their server when a server is added
    Given 6 servers of 4 slots in 2 failure domains
    When a server is added
    Then at most 40% of 200 objects moved, all of them to the new server

  Scenario: downloads stay in their failure domain while it has free slots
    Given 6 servers of 4 slots in 2 failure domains
    When 50 downloads of 50 objects from "a" are placed one at a time
    Then all went to servers in "a"

  Scenario: no request is placed beyond a server's slots and queue
    Given 2 servers of 2 slots in 1 failure domains
    When requests that never end are placed, with 0.5 queued per slot
    Then 6 were placed and the next was not

  Scenario: a server much slower than the others gets fewer requests
    Given 6 servers of 4 slots in 2 failure domains
    When one server answers 10 times slower than the others
    Then it counts as less than 1 slot

  Scenario: ejected servers are used again when more than half are ejected
    Given 4 servers of 4 slots in 1 failure domains
    When 3 of them fail three times in a row
    Then all 4 are usable
    When a second passes and one fails three times in a row
    Then 3 are usable
