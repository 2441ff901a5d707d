Feature: A request's backend server

  Scenario: requests for one object stay on one server, alike on every VM
    Given 6 servers of 4 slots in 2 failure domains
    When 200 requests for 20 objects are placed one at a time
    Then each object went to one server

  Scenario: an object whose server is full goes to the next in its rank, always the same
    Given 6 servers of 4 slots in 2 failure domains
    When the first server of an object is full
    Then its requests go to one other server

  Scenario Outline: an object of a burst is handled by <servers> servers where it has <ranks> ranks
    Given 6 servers of 4 slots in 2 failure domains
    When 60 requests for one object arrive at once, with <ranks> ranks
    Then <servers> servers got some, and none got more than slots and queue

    Examples:
      | ranks | servers |
      | 2     | 2       |
      | 3     | 3       |

  Scenario: objects stay where they were when a server joins
    Given 6 servers of 4 slots in 2 failure domains
    When a server joins
    Then at most 40% of 200 objects moved, all of them to the new server

  Scenario: downloads stay in their failure domain while it has room
    Given 6 servers of 4 slots in 2 failure domains
    When 50 downloads of 50 objects from "a" are placed one at a time
    Then all went to servers in "a"

  Scenario: nothing is placed beyond slots and queue
    Given 2 servers of 2 slots in 1 failure domains
    When requests are placed that never end, with 0.5 waiting for each slot
    Then 6 were placed and the next had no room

  Scenario: a server much slower than the others gets fewer requests
    Given 6 servers of 4 slots in 2 failure domains
    When one server answers 10 times slower than the others
    Then it counts as less than 1 slot

  Scenario: ejected servers are used again when most would be
    Given 4 servers of 4 slots in 1 failure domains
    When 3 of them fail three times in a row
    Then all 4 are usable
    When a second passes and one fails three times in a row
    Then 3 are usable
