Feature: Limits on callers' connections

  Scenario: a download that outlasts every idle limit is not cut
    Given a server whose idle limits are 1 second
    When a caller downloads for 3 seconds without a word of its own
    Then the download is whole

  Scenario: a caller that never ends its headers is closed
    Given a server whose idle limits are 1 second
    When a caller sends half of its headers and waits
    Then its connection is closed
