@fleet
Feature: Requests through real processes

  Scenario: each kind of invalid request gets its own refusal
    When one request of each invalid kind is sent
    Then the responses equal the golden file "bad_input.txt"

  Scenario: a series of operator commands
    When the operator commands are run
    Then their output equals the golden file "operator.txt"

  Scenario: spoofed headers do not reach a backend server
    When a request with spoofed identity headers is sent
    Then the backend server received only the organisation of the key

  Scenario: a withdrawn key is refused on connections that are already open
    Given a caller with an open connection and its own key
    When the operator withdraws that key
    Then the next request on that connection is refused as "unknown_key"

  Scenario: a truncated response aborts the caller's connection
    When every lookup server truncates its responses
    Then the caller's connection is aborted before the response is complete

  Scenario: a booking whose server stops answering is sent once and reported as unknown
    When every booking server stops answering
    And a caller books with the idempotency key "silent-1"
    Then the request is refused as "deadline" with "ran" set to "unknown"
    And no booking server executed "silent-1" more than once

  Scenario: a lookup that fails on one server is answered by another
    When one lookup server closes its connections after each response
    Then 60 lookups in a row are answered

  Scenario: a shed booking goes to another server and runs once
    When two booking servers shed load
    And a caller books with the idempotency key "shed-1"
    Then the booking is answered
    And exactly one booking server executed "shed-1" once

  Scenario: logs and metrics contain no secrets
    When the logs and metrics of every VM are read
    Then none of them contains a key or an operator's token

  Scenario: an operator asks why a request was refused
    When a refused request and a served one are sent with request ids
    Then "berylctl explain" shows the cause of the first and the server of the second

  Scenario: "berylctl doctor" finds no problem in a healthy fleet, and names the part that fails
    Then "berylctl doctor" exits with 0
    When the store is unavailable
    Then "berylctl doctor" exits with 4

  Scenario: the token that can only read the status can't make changes
    When an operator with the look token tries to make a change
    Then the change is forbidden and the status is shown

  Scenario: backend servers stop responding on open connections while new ones work
    Given lookups have opened connections to every lookup server
    When the servers stop responding on those connections
    Then 30 lookups in a row are answered

  Scenario: a refusal after several attempts has "ran" set to "no" only if no attempt may have run
    When the nearest lookup server drops requests and the others shed them
    Then a lookup is refused with "ran" set to "unknown"

  # Issue 40: a request on a reused connection was taken back after a third of its timeout.
  Scenario: a lookup whose server is at work gets its answer though no other has room
    Given lookups have opened connections to every lookup server
    When the nearest lookup server works for 700 ms and the others shed requests
    Then a lookup is answered by the nearest lookup server
