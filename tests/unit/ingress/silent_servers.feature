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
