Feature: The start on the platform

  Scenario: the platform's start parses no arguments and names a settings file that can't be read
    When the daemon is started as the platform does, without its settings file
    Then it ends with code 2, names the file and the remedy, and has imported no argument parser
