Feature: The soak's checks find what breaks a promise

  Scenario Outline: <evidence> is found
    Given a soak that saw nothing wrong
    Then no promise is broken
    When it also sees <evidence>
    Then one promise is broken: <words>

    Examples:
      | evidence                                        | words                     |
      | a booking that ran twice                        | ran 2 times               |
      | a booking refused with 503 that ran             | was refused with 503      |
      | an answer to another request                    | not its own               |
      | a key at a backend server                       | saw the key               |
      | an answer with 500                              | got 500                   |
      | a request that ran 3 s after its key went       | after its key went        |
      | a request at a server 3 s after it drained      | after draining            |
      | a request cut by a graceful stop                | was cut by the stop       |

  Scenario: a VM that was paused is not held to bounds on time
    Given a soak that saw nothing wrong
    When its VM was paused
    And it also sees a request that ran 3 s after its key went
    Then no promise is broken

  Scenario: a seed gives the same faults each time
    Then two schedules of one seed are the same, and those of two seeds are not
