Feature: The times of a VM's stop

  Scenario Outline: with a grace time of <grace> ms and requests of <longest> ms a VM starts requests for <start> ms
    When a stop with a grace time of <grace> ms is planned, and requests take up to <longest> ms
    Then requests are started for <start> ms, on connections that were accepted 100 ms earlier
    And running requests end in the last sixth of the grace time, and their callers have some time to read

    Examples:
      | grace | longest | start |
      | 2000  | 0       | 1000  |
      | 2000  | 1000    | 760   |
      | 6000  | 0       | 2900  |
      | 6000  | 3000    | 2280  |
      | 6000  | 9000    | 0     |
      | 10000 | 0       | 2900  |
      | 10000 | 7000    | 1800  |
