Feature: The times of a VM's stop

  Scenario Outline: with a grace time of <grace> ms a VM starts requests for <start> ms
    When a stop with a grace time of <grace> ms is planned
    Then requests are started for <start> ms, on connections that were accepted 100 ms earlier
    And running requests end in the last sixth of the grace time, and their callers have some time to read

    Examples:
      | grace | start |
      | 2000  | 1000  |
      | 6000  | 2900  |
      | 10000 | 2900  |

  # One slow service kept a VM from starting requests of all services, also those that would have
  # ended by their deadline in any case.
  Scenario Outline: with a grace time of <grace> ms, requests of up to <longest> ms with <deadline> ms left are started for <start> ms
    When a stop with a grace time of <grace> ms is planned
    Then requests that take up to <longest> ms, and have <deadline> ms left, are started for <start> ms

    Examples:
      | grace | longest | deadline | start |
      | 2000  | 0       | 20000    | 1000  |
      | 2000  | 1000    | 20000    | 760   |
      | 2000  | 1000    | 600      | 1000  |
      | 2000  | 2000    | 1000     | 760   |
      | 2000  | 2000    | 2000     | -1    |
      | 6000  | 0       | 20000    | 2900  |
      | 6000  | 3000    | 20000    | 2280  |
      | 6000  | 3000    | 2000     | 2900  |
      | 6000  | 9000    | 20000    | -1    |
      | 6000  | 9000    | 3000     | 2280  |
      | 10000 | 0       | 20000    | 2900  |
      | 10000 | 7000    | 20000    | 1800  |
      | 10000 | 7000    | 5000     | 2900  |

  Scenario Outline: by a guess that is <guess> times what requests take, none is ended or refused that must not be
    When requests arrive throughout stops with grace times from 2 to 10 s, with 1 to 20 s left, and the guess is <guess> times what they take
    Then each that is ended was sent within 3 s after the signal, and its server was at work in the last sixth of the grace time
    And none is refused whose deadline comes before the end, except those that arrive after the last start
    And none is ended if the guess was not too low

    Examples:
      | guess |
      | 0     |
      | 0.5   |
      | 1     |
      | 10    |
