Feature: Releases over all VMs

  Scenario: a good version takes over in time
    Given 9 VMs, 300 requests a second and a release within 12 s
    When the new version is good
    Then it has succeeded within 12 s
    And no VM used the old version when it was told

  Scenario Outline: a version that is bad <how> gets a small part of the requests
    Given 9 VMs, 300 requests a second and a release within 14 s
    When the new version is bad <how>
    Then it is rolled back
    And it got at most a tenth of the requests and 50
    And nothing was sent to it 5 s after its 50th bad answer

    Examples:
      | how           |
      | at once       |
      | after 3 s     |
      | after 8 s     |
      | under load    |
      | on one route  |
      | by being slow |

  Scenario: failures of both versions alike take nothing back
    Given 9 VMs, 300 requests a second and a release within 12 s
    When a third of the answers of both versions fail
    Then it has succeeded within 12 s

  Scenario: the driver dies in the middle
    Given 9 VMs, 300 requests a second and a release within 12 s
    When the driver is killed at each step
    Then it has succeeded within 12 s

  Scenario: a request that was under way when the order came is not counted by the release
    Given a VM with a request under way
    When a release is ordered and the request ends
    Then the VM reports no requests on the old version
