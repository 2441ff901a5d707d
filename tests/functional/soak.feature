Feature: Random faults against real daemons

  Scenario Outline: no promise is broken with seed <seed>
    When seed <seed> is played for <seconds> s
    Then nothing is broken and callers were served

    Examples:
      | seed   | seconds |
      | 7      | 8       |
      # A booking that still ran when the grace time ended was answered with 500.
      | 766415 | 12      |
      # VMs answered 504 for over 15 s beside six bench days and another soak; not seen since.
      | 45829  | 12      |
      | 920121 | 12      |
