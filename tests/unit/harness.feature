Feature: Test processes side by side

  Scenario: no two processes of tests are given the same port
    When 4 processes whose ids look alike take 600 ports each at once
    Then no port was given twice
