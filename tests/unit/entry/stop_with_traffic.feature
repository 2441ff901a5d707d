Feature: A stop of the own interface while callers go on sending

  # Issue 40: the end of the grace time ended the requests that had just begun, and served later ones.
  Scenario: requests that begin shortly before the grace time ends get their answers
    Given a service with a timeout of 3000 ms and a first server that has answered on a connection
    And the first server answers in 400 ms from now on
    When a VM stops with a grace time of 1000 ms while a caller sends a lookup every 150 ms
    Then every lookup that was sent until then has its answer
