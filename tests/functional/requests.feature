@fleet
Feature: Requests through real processes

  Scenario: every kind of bad input gets its own refusal
    When the session of bad requests is sent
    Then the answers equal the golden file "bad_input.txt"

  Scenario: a whole session of an operator
    When the operator's session is run
    Then its output equals the golden file "operator.txt"

  Scenario: spoofed headers do not reach a backend server
    When a request with spoofed identity headers is sent
    Then the backend server saw the organisation of the key only

  Scenario: a key that is withdrawn dies on open connections
    Given a caller with an open connection and a key of its own
    When the operator withdraws that key
    Then the next request on that connection is refused as "unknown_key"

  Scenario: a truncated answer breaks the caller's connection
    When every lookup server truncates its answers
    Then the caller's connection breaks before the answer is whole

  Scenario: a booking whose server goes silent is sent once and reported as unknown
    When every booking server stops answering
    And a caller books with the idempotency key "silent-1"
    Then the request is refused as "deadline" and reported as ran "unknown"
    And no booking server executed "silent-1" more than once

  Scenario: a lookup that fails on one server is answered by another
    When one lookup server closes its connections after each answer
    Then 60 lookups in a row are answered

  Scenario: a shed booking goes to another server and runs once
    When two booking servers shed load
    And a caller books with the idempotency key "shed-1"
    Then the booking is answered
    And exactly one booking server executed "shed-1" once

  Scenario: no key stands in logs, metrics or errors
    When the logs and metrics of every VM are read
    Then none of them holds a key or an operator's token

  Scenario: an operator asks why a request was refused
    When a refused request and a served one carry ids
    Then "berylctl explain" tells the cause of the first and the server of the second

  Scenario: the doctor finds nothing in a sound fleet, and names what is wrong
    Then "berylctl doctor" exits with 0
    When the store is out for the doctor
    Then "berylctl doctor" exits with 4

  Scenario: the two roles of operators
    When somebody with the look token tries to change something
    Then the change is forbidden and the status is shown

  Scenario: open connections to backend servers go silent while new ones work
    Given lookups have opened connections to every server
    When those connections go silent
    Then 30 lookups in a row are answered

  Scenario: a refusal after several tries says "not run" only if none of them was sent
    When the nearest lookup server drops requests and the others shed
    Then a lookup is refused and says that it ran "unknown"
