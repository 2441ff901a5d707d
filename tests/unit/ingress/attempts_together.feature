Feature: Requests and attempts beside each other while backend servers are silent

  # Issue 40: the load of a server that is about to get a further attempt is not counted yet.
  Scenario: requests whose server falls silent together do not overfill the next one
    Given two servers, of which the first never answers and the second has one slot after 600 ms
    When 20 callers who wait 1500 ms read at once
    Then the second server had no more than 2 requests at a time

  # Issue 40: each look for room while servers are silent counts as a request of the release.
  Scenario: reads that wait for a silent server do not raise the share of a new version
    Given two servers, of which the first never answers and the second has the new version
    When 20 callers who wait 3000 ms read at once
    Then the second server got no more than its share of 40 attempts and one

  # Issue 40: an error in one attempt ends the others, which are at work.
  Scenario Outline: a server at work is not given up for one that sends a <header> of 5000 digits
    Given a server that answers after 600 ms, and one that sends a <header> of 5000 digits
    When a caller who waits 1500 ms reads from one of them
    Then the caller has the whole answer of a server

    Examples:
      | header        |
      | x-server-load |
      | keep-alive    |

  # Issue 40: a late response that is too long to discard ends the attempt of the next request.
  Scenario: a server that sends a long late response before it answers is still at work
    Given a server with an idle connection that sends 70000 late bytes before it answers
    When a caller who waits 1500 ms reads from one of them
    Then the caller has the answer of the server at work

  # Issue 40: an error while another server is chosen ends the attempt that is at work.
  Scenario: a server at work is not given up when another one has reported an absurd load
    Given a server that answers after 600 ms, and one that reports a load of 400 digits
    When a caller who waits 1500 ms reads from one of them
    Then the caller has the whole answer of a server

  # Review, case 7: a version that was slower than a route's timeout gave no evidence and was released to all.
  # Issue 54: so was one that was slower than its callers' own deadlines, which were shorter.
  Scenario Outline: a booking that ends unanswered at a server <counts> against its version, where <case>
    Given a server of a service that is being released, which never answers bookings
    And the old version usually responds within <usual> ms
    When <case>
    Then <count> bad responses count against its version, and none against the server

    Examples:
      | case                                               | usual | counts         | count |
      | it is given 300 ms                                 | 100   | counts         | 1     |
      | its caller gives it 300 ms of a timeout of 3000    | 100   | counts         | 1     |
      | its caller gives it 300 ms of a timeout of 3000    | 900   | does not count | 0     |
      | its caller gives it 60 ms of a timeout of 600      | 200   | does not count | 0     |
      | it is given 900 ms and its caller leaves after 300 | 100   | counts         | 1     |
      | it is given 300 ms and its caller leaves after 100 | 200   | does not count | 0     |

  # Issue 54: a server's own timeout counted in full, and a wait for a distant server that ran out as long did not.
  Scenario Outline: a server's timeout after <ms> of 300 ms counts like a wait of that time, where the old version usually takes <usual> ms
    Given a server of a service that is being released, which answers 504 after <ms> ms
    And the old version usually responds within <usual> ms
    When its caller gives it 300 ms of a timeout of 3000
    Then <count> bad responses count against its version

    Examples:
      | ms  | usual | count |
      | 280 | 100   | 1     |
      | 280 | 900   | 0     |
      | 20  | 900   | 1     |
