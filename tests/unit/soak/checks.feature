Feature: Checks of the fault soak find violated guarantees

  Scenario Outline: <violation> is found
    Given evidence of a soak without violations
    Then no violation is found
    When it also contains <violation>
    Then one violation is found: <message>

    Examples:
      | violation                                          | message                     |
      | a booking that ran twice                           | ran 2 times                 |
      | a booking refused with 503 that ran                | was refused with 503        |
      | a response to another request                      | another request's           |
      | a key received by a backend server                 | received the key            |
      | a response with status 500                         | got 500                     |
      | a request that ran 3 s after its key was withdrawn | after its key was withdrawn |
      | a request at a server 3 s after it began to drain  | after draining              |
      | a request cut by a graceful stop                   | was cut by the stop         |
      | a request sent before a stop that cut it           | was cut by the stop         |

  Scenario: time limits do not apply to a VM that was paused shortly before
    Given evidence of a soak without violations
    When the VM was paused before
    And it also contains a request that ran 3 s after its key was withdrawn
    Then no violation is found

  Scenario: a seed always gives the same schedule of faults
    Then schedules of the same seed are equal, and those of different seeds differ
