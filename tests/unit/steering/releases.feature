Feature: Releases over all VMs

  Scenario: a good version gets all requests in time
    Given 9 VMs, 300 requests a second and a release within 12 s
    When the new version is good
    Then it has succeeded within 12 s
    And no VM used the old version when success was reported

  Scenario Outline: a version that is bad <how> gets a small part of the requests
    Given 9 VMs, 300 requests a second and a release within 14 s
    When the new version is bad <how>
    Then it is rolled back
    And it got at most a tenth of the requests plus 50
    And nothing was sent to it 5 s after its 50th bad response

    Examples:
      | how           |
      | at once       |
      | after 3 s     |
      | after 8 s     |
      | under load    |
      | on one route  |
      | by being slow |

  Scenario: equal failures of both versions do not roll the release back
    Given 9 VMs, 300 requests a second and a release within 12 s
    When a third of the responses of both versions fail
    Then it has succeeded within 12 s

  Scenario: the driving VM is killed during the release
    Given 9 VMs, 300 requests a second and a release within 12 s
    When the driving VM is killed at each step
    Then it has succeeded within 12 s

  Scenario: a request in flight when a release is ordered is not counted for that release
    Given a VM with a request in flight
    When a release is ordered and the request ends
    Then the VM reports no requests on the old version
