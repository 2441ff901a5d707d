@fleet
Feature: Releases through real processes

  Scenario: a version that was only started beside the old one gets nothing
    When 40 images are asked for
    Then all were answered by "images-v1"

  Scenario: a bad version is taken back
    Given the server "images-v2" fails
    When a release of images from "v1" to "v2" runs under traffic
    Then the operator is told "undone" with exit code 3
    And the server "images-v2" got at most 2 percent of the traffic
    When 40 images are asked for
    Then all were answered by "images-v1"

  Scenario: a good version is moved over
    Given the server "images-v2" works
    When a release of images from "v1" to "v2" runs under traffic
    Then the operator is told "done" with exit code 0
    When 40 images are asked for
    Then all were answered by "images-v2"
