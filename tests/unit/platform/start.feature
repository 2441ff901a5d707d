Feature: Start of the daemon on the platform

  Scenario: an unreadable settings file is reported without importing the argument parser
    When the daemon is started with the platform's command, but without a settings file
    Then it exits with code 2, prints the file name and a hint, and has not imported cyclopts

  # SIGHUP ended a VM that was still importing its argument parser.
  Scenario Outline: SIGHUP is ignored before anything of <command> is imported
    When the daemon is started as <command>, and its disposition of SIGHUP is read at each import
    Then SIGHUP is ignored at the import of berylbankd._internal and at each one after it

    Examples:
      | command                                   |
      | berylbankd steer                          |
      | berylbankd steer --settings absent.toml   |
      | berylbankd --settings absent.toml --check |
