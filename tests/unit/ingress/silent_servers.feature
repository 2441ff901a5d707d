Feature: Backend servers that send nothing for some time while they work on a request

  Scenario Outline: the log tells what follows when a server is silent and the other one <other>
    Given a first server that answers after 600 ms
    And a second server that <other>
    When a caller who waits 1500 ms reads
    Then the log names the first server once, the time left, and "<next step>"

    Examples:
      | other             | next step              |
      | answers           | sent to another server |
      | has no room       | no server              |

  Scenario Outline: a server at work is not given up for one that <other>
    Given a first server that answers after 600 ms
    And a second server that <other>
    When a caller who waits 1500 ms reads
    Then the caller gets the first server's answer
    And the caller waited no longer than 800 ms
    And nothing of the request is left

    Examples:
      | other                   |
      | refuses                 |
      | refuses after 100 ms   |
      | accepts no connection  |
      | has no room            |
      | breaks off             |
      | breaks off after 100 ms |
      | fails                  |
      | answers after 1000 ms  |
      | never answers          |

  Scenario: a server at work is not given up when the retry budget is spent
    Given a first server that answers after 600 ms
    And a second server that answers
    And the retry budget is spent by another request after 100 ms
    When a caller who waits 1500 ms reads
    Then the caller gets the first server's answer
    And the second server got 0 requests
    And nothing of the request is left

  Scenario: a VM that has just started does not give up a server at work
    Given a first server that answers after 1400 ms
    And a second server that refuses
    And the VM has just started
    When a caller who waits 2000 ms reads
    Then the caller gets the first server's answer
    And nothing of the request is left

  Scenario: a second server that answers first ends the wait for a silent one
    Given a first server that never answers
    And a second server that answers after 100 ms
    When a caller who waits 1500 ms reads
    Then the caller gets the second server's answer
    And the caller waited no longer than 500 ms
    And nothing of the request is left

  Scenario: a request whose connection died is sent again as soon as there is room
    Given a first server that never answers
    And a second server that answers
    And the second server has room after 600 ms
    When a caller who waits 1500 ms reads
    Then the caller gets the second server's answer
    And the caller waited no longer than 950 ms
    And nothing of the request is left

  Scenario: a request whose second server fails goes to a third one while the first one is silent
    Given a first server that never answers
    And a second server that fails
    And a third server that answers
    And requests of up to 3 attempts
    When a caller who waits 1500 ms reads
    Then the caller gets the third server's answer
    And the caller waited no longer than 500 ms
    And nothing of the request is left

  Scenario: a failure is passed on when the silent server has failed as well
    Given a first server that breaks off after 600 ms
    And a second server that fails
    When a caller who waits 1500 ms reads
    Then the caller gets the second server's failure
    And the caller waited no longer than 800 ms
    And nothing of the request is left

  Scenario: a failure is passed on at the deadline when the other server stays silent
    Given a first server that never answers
    And a second server that fails
    When a caller who waits 1500 ms reads
    Then the caller gets the second server's failure
    And nothing of the request is left

  Scenario: a long response that is arriving is not taken for silence
    Given a first server that sends its response in parts
    And a second server that answers
    When a caller who waits 1500 ms reads
    Then the caller gets the first server's whole response
    And the second server got 0 requests
    And nothing of the request is left

  Scenario: a response that is still arriving is ended by the other server's answer
    Given a first server that stalls in its response
    And a second server that answers
    When a caller who waits 1500 ms reads
    Then the caller gets the second server's answer
    And nothing of the request is left

  Scenario Outline: a server that <sends> on a connection in use is still at work
    Given a first server that <sends>
    And a second server that has no room
    And the VM has an idle connection to the first server
    When a caller who waits 1500 ms <asks>
    Then the caller gets the first server's answer
    And nothing of the request is left

    Examples:
      | sends                                              | asks  |
      | repeats a refusal without an id before it answers  | reads |
      | repeats a refusal without an id before it answers  | books |
      | sends late responses before it answers             | reads |
      | sends late responses before it answers             | books |

  Scenario Outline: a booking is not said to be refused by a server that <sends> on a connection in use
    Given a first server that <sends>
    And a second server that answers
    And the VM has an idle connection to the first server
    When a caller who waits 900 ms books
    Then the caller gets <status> from the VM after <ms> ms
    And the second server got 0 requests
    And nothing of the request is left

    Examples:
      | sends                                          | status | ms  |
      | sends a refusal without an id and nothing else | 504    | 895 |
      | sends a refusal without an id and closes       | 502    | 100 |

  Scenario: a read is sent to another server at once after a refusal without an id on a connection in use
    Given a first server that sends a refusal without an id and nothing else
    And a second server that answers
    And the VM has an idle connection to the first server
    When a caller who waits 900 ms reads
    Then the caller gets the second server's answer
    And the caller waited no longer than 200 ms
    And nothing of the request is left

  Scenario: two silent servers end a request at its deadline, and only the one that was waited for has a failure on record
    Given a first server that never answers
    And a second server that never answers
    When a caller who waits 1500 ms reads
    Then the caller gets 504 from the VM after 1495 ms
    And the first server has 1 failure on record
    And the second server has 0 failures on record
    And the connections of all servers were closed at once
    And nothing of the request is left

  Scenario: a silent server that answers after all has no failure on record
    Given a first server that answers after 600 ms
    And a second server that has no room
    When a caller who waits 1500 ms reads
    Then the caller gets the first server's answer
    And the first server has 0 failures on record
    And the time of its answer does not count as a service time

  Scenario: a booking waits for one silent server until its deadline
    Given a first server that never answers
    And a second server that answers
    When a caller who waits 900 ms books
    Then the caller gets 504 from the VM after 895 ms
    And the second server got 0 requests
    And nothing of the request is left

  Scenario: a caller that leaves ends the requests at all servers
    Given a first server that never answers
    And a second server that never answers
    When a caller who waits 1500 ms reads and leaves after 600 ms
    Then the connections of all servers were closed at once
    And nothing of the request is left

  # The VM answered at the moment at which the server had been told to end.
  Scenario: a server ends by its own deadline before the VM answers in its place
    Given a first server that never answers
    And a second server that has no room
    When a caller who waits 900 ms reads
    Then the caller gets 504 from the VM after 895 ms
    And the first server was told to end 15 ms before the caller's answer
