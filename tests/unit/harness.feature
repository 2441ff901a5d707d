Feature: Concurrent test processes

  Scenario: no two test processes reserve the same port
    When 4 processes with the same process id reserve 600 ports each at once
    Then no port is reserved twice
