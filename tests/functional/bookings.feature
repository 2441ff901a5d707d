@fleet
Feature: Bookings with an idempotency key run at most once

  Scenario: a retry on another VM gets the stored first response
    When a caller books "flitch 7" with the idempotency key "again" on "north-1a"
    Then the booking is answered
    When a caller books "flitch 7" with the idempotency key "again" on "mid-1a"
    Then the booking gets the stored response, marked as replayed
    And exactly one booking server executed "again" once

  Scenario: a key that is reused with another body is refused
    When a caller books "flitch 8" with the idempotency key "other" on "north-1a"
    And a caller books "flitch 9" with the idempotency key "other" on "mid-1a"
    Then the request is refused as "idempotency_key_reused" with "ran" set to "no"
    And exactly one booking server executed "other" once

  Scenario: nine callers send bookings with the same key at once
    When every booking server takes 150 ms
    And callers book with the idempotency key "at-once" on every VM at once
    Then each caller is answered, or refused because the first request is in progress
    And exactly one booking server executed "at-once" once

  Scenario: the store writes the claim but does not confirm it
    When the store does not confirm the next write
    And a caller books "flitch 10" with the idempotency key "lost" on "north-1a"
    Then the booking is answered
    And exactly one booking server executed "lost" once

  Scenario: a booking is refused without being sent while the store is down
    When the store is down for bookings
    And a caller books "flitch 11" with the idempotency key "down" on "north-1a"
    Then the request is refused as "claims_unavailable" with "ran" set to "no"
    When the store is up for bookings
    And a caller books "flitch 11" with the idempotency key "down" on "mid-1a"
    Then the booking is answered
    And exactly one booking server executed "down" once

  Scenario: a VM is killed after it sent a booking and before it answered
    When every booking server takes 800 ms
    And a VM is killed while it handles a booking with the idempotency key "died"
    And a caller books "die" with the idempotency key "died" on "mid-1a"
    Then the request is refused as "earlier_in_progress" with "ran" set to "unknown"
    And exactly one booking server executed "died" once
