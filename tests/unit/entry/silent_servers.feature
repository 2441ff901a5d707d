Feature: Servers of the own interface that are silent for a while

  # As in issue 40: a server at work was given up after a guess, and the caller got 504.
  Scenario Outline: a slow server on a reused connection answers its caller though another <other>
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server answers in 1200 ms from now on
    And another server that <other>
    When a caller sends a lookup
    Then the caller gets the answer of the first server
    And the first server was not broken off while it worked on the caller's first attempt
    And one success of the first server is recorded
    And no slot, connection or task is left over

    Examples:
      | other                   |
      | has no free slot        |
      | gets no retry           |
      | refuses connections     |
      | sheds the request       |
      | closes the connection   |
      | answers with status 500 |
      | answers in 2400 ms      |

  Scenario: a reused connection that died without a word costs a caller a second attempt only
    Given a service with a timeout of 6000 ms and a first server that has answered on a connection
    And the first server is silent from now on
    And another server that answers in 0 ms
    When a caller sends a lookup
    Then the caller gets the answer of the other server within 1000 ms
    And one success of the other server is recorded
    And no slot, connection or task is left over

  Scenario: two silent servers end a request at the service's timeout and not later
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server usually answers in 200 ms
    And the first server is silent from now on
    And another server that is silent
    When a caller sends a lookup
    Then the caller is refused with "deadline" and "ran" set to "unknown" after 3000 ms
    And no slot, connection or task is left over

  Scenario: a silent server that breaks off is followed by an attempt at a server that has got a free slot
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server closes the connection after 1400 ms from now on
    And another server that has no free slot for 1200 ms
    When a caller sends a lookup
    Then the caller gets the answer of the other server within 2500 ms
    And no slot, connection or task is left over

  Scenario: a silent server's failure does not end the attempt beside it
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server closes the connection after 600 ms from now on
    And another server that answers in 1200 ms
    When a caller sends a lookup
    Then the caller gets the answer of the other server within 2500 ms
    And no slot, connection or task is left over

  Scenario: a server error is the caller's answer once no other attempt is left
    Given a service with a timeout of 1500 ms and a first server that has answered on a connection
    And the first server is silent from now on
    And another server that answers with status 500
    When a caller sends a lookup
    Then the caller gets status 500 from the other server
    And no slot, connection or task is left over

  Scenario: two attempts that still run when the grace time of a stop ends are answered as one that may have run
    Given a service with a timeout of 6000 ms and a first server that has answered on a connection
    And the first server is silent from now on
    And another server that is silent
    When the grace time of a stop ends 700 ms after a caller has sent a lookup
    Then the caller is refused with "deadline" and "ran" set to "unknown" within 1500 ms
    And no slot, connection or task is left over

  Scenario: a caller that leaves while two attempts run leaves nothing behind
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server is silent from now on
    And another server that is silent
    When a caller's request is cancelled after 700 ms
    Then no slot, connection or task is left over

  Scenario: a key that is withdrawn while a server is silent ends the request as before
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server is silent from now on
    And another server that answers in 0 ms
    When a caller sends a lookup whose key is withdrawn after 100 ms
    Then the caller is refused with "key_withdrawn" and "ran" set to "unknown" within 1000 ms
    And no slot, connection or task is left over

  Scenario: a key that is withdrawn before its server responds is refused, not cut off
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server answers in 200 ms from now on
    And another server that answers in 0 ms
    When a caller sends a lookup whose key is withdrawn after 50 ms
    Then the caller is refused with "key_withdrawn" and "ran" set to "unknown" within 1000 ms
    And no slot, connection or task is left over

  Scenario: a booking at a slow server is sent once and answered
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server answers in 1200 ms from now on
    And another server that answers in 0 ms
    When a caller sends a booking once
    Then the caller gets the answer of the first server
    And the first server was not broken off while it worked on the caller's first attempt
    And the servers got 1 request
    And no slot, connection or task is left over

  Scenario: a booking at a silent server is sent once and refused at the service's timeout
    Given a service with a timeout of 1500 ms and a first server that has answered on a connection
    And the first server is silent from now on
    And another server that answers in 0 ms
    When a caller sends a booking once
    Then the caller is refused with "deadline" and "ran" set to "unknown" after 1500 ms
    And the servers got 1 request
    And no slot, connection or task is left over
