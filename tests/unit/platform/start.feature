Feature: Start of the daemon on the platform

  Scenario: an unreadable settings file is reported without importing the argument parser
    When the daemon is started with the platform's command, but without a settings file
    Then it exits with code 2, prints the file name and a hint, and has not imported cyclopts
