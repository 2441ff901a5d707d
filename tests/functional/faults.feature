@fleet
Feature: A fleet of daemon processes under faults

  Scenario: the store is unavailable during a change
    When the store of the platform goes down
    Then lookups are still answered on every VM after 3 seconds
    And a change is reported as not done
    When the store of the platform is available again
    Then the same change is in force

  Scenario: the store writes a change but does not confirm it
    When the store of the platform does not confirm the next write
    Then a change is reported as in force

  Scenario: a VM is suspended, misses a key withdrawal and resumes
    Given a second key of "alder-mill"
    When the VM "south-1a" is suspended
    And the operator withdraws the second key
    Then the withdrawal is in force within 3 seconds
    When the VM "south-1a" resumes
    Then the second key is refused on "south-1a"
    And the key of "alder-mill" works again on "south-1a"

  Scenario: a VM is killed and starts again under its old address
    When the VM "mid-1a" is killed
    Then lookups are still answered on "north-1a"
    When the VM "mid-1a" starts again
    Then lookups are answered on "mid-1a" again

  Scenario: a VM with another fleet key is never seated
    When a VM with another fleet key starts
    Then the VM is never seated

  Scenario: a graceful stop under load interrupts no request
    When the VM "south-1a" stops gracefully under load
    Then no request was interrupted or refused
    And the look-up no longer names "south-1a"
