Feature: Limits on callers' connections

  Scenario: a download that takes longer than every idle timeout is not cut off
    Given a server whose idle timeouts are 1 second
    When a caller downloads for 3 seconds without sending anything
    Then the download is complete

  Scenario: the connection of a caller that never finishes its headers is closed
    Given a server whose idle timeouts are 1 second
    When a caller sends half of its headers and waits
    Then its connection is closed
