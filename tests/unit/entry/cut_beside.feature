Feature: Servers of the own interface at work beside another attempt, or beside an expired connection

  # Issue 40: the head of the other server's response ended the wait, and its body never came.
  Scenario Outline: a server at work is not given up for the head of a response that <breaks off>
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server answers in 1200 ms from now on
    And the other server sends the head of a response and <breaks off>
    When a caller sends a lookup
    Then the caller gets the answer of the first server

    Examples:
      | breaks off           |
      | closes               |
      | is silent for 1000 ms, and closes |

  # Issue 40: as above, where the first server's response breaks off.
  Scenario: another server at work is not given up for the head of a silent server's late response
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server sends the head of a response after 500 ms, and closes after 200 ms
    And another server that answers in 800 ms
    When a caller sends a lookup
    Then the caller gets the answer of the other server within 2000 ms
    And no slot, connection or task is left over

  Scenario: a response that has begun beside a silent server goes on after the service's timeout
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server usually answers in 200 ms
    And the first server is silent from now on
    And the other server sends 100 bytes, and as many after 2500 ms
    When a caller sends a lookup
    Then the caller gets 200 bytes and an end
    And one success of the other server is recorded
    And no slot, connection or task is left over

  Scenario: a response that is too long to be held back ends the wait for a server at work
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server answers in 1200 ms from now on
    And the other server sends 200000 bytes, and as many after 2000 ms
    When a caller sends a lookup
    Then the caller gets 400000 bytes and an end
    And one success of the other server is recorded
    And no slot, connection or task is left over

  # Issue 40: connections to be closed were chosen before those ahead of them were closed.
  Scenario: a connection that is reused while another expired one is being closed stays open
    Given two connections whose deadlines have expired
    When the second one carries another request before the first one is closed
    Then only the first one was closed

  # Issue 40: as above.
  Scenario: a connection that is released while another expired one is being closed stays open
    Given two connections whose deadlines have expired
    When the second one is released before the first one is closed
    Then only the first one was closed

  # Issue 40: as above, at the end of a stop.
  Scenario: a connection whose response begins while another one is ended at a stop stays open
    Given two connections whose deadlines have expired
    When the second one's response begins before the first one is closed for a stop
    Then only the first one was closed
