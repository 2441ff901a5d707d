@fleet
Feature: Bookings run at most once

  Scenario: a retry on another VM gets the first answer
    When a caller books "flitch 7" with the token "again" on "north-1a"
    Then the booking is answered
    When a caller books "flitch 7" with the token "again" on "mid-1a"
    Then the booking is answered again, marked as replayed
    And exactly one booking server executed "again" once

  Scenario: the same key with another body is refused
    When a caller books "flitch 8" with the token "other" on "north-1a"
    And a caller books "flitch 9" with the token "other" on "mid-1a"
    Then the refusal is "idempotency_key_reused" and says that it ran "no"
    And exactly one booking server executed "other" once

  Scenario: nine callers with one key at once
    When every booking server takes 150 ms
    And callers book with the token "at-once" on every VM at once
    Then each caller got the one answer or a truthful refusal
    And exactly one booking server executed "at-once" once

  Scenario: the store loses the answer to the claim
    When the store loses the answer to the next write
    And a caller books "flitch 10" with the token "lost" on "north-1a"
    Then the booking is answered
    And exactly one booking server executed "lost" once

  Scenario: the store is down
    When the store is down for bookings
    And a caller books "flitch 11" with the token "down" on "north-1a"
    Then the refusal is "claims_unavailable" and says that it ran "no"
    When the store is up for bookings
    And a caller books "flitch 11" with the token "down" on "mid-1a"
    Then the booking is answered
    And exactly one booking server executed "down" once

  Scenario: a VM dies between dispatch and answer
    When every booking server takes 800 ms
    And a VM dies while it books with the token "died"
    And a caller books "die" with the token "died" on "mid-1a"
    Then the refusal is "earlier_in_progress" and says that it ran "unknown"
    And exactly one booking server executed "died" once
