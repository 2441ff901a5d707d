@fleet
Feature: Releases in a fleet of real processes

  Scenario: a version that runs but was not released gets no requests
    When 40 images are requested
    Then all were answered by the server "images-v1"

  Scenario: a release of a failing version is undone
    Given the server "images-v2" fails
    When a release of images from "v1" to "v2" runs under load
    Then the operator's command reports "undone" and exits with code 3
    And the server "images-v2" got at most 2 percent of the traffic
    When 40 images are requested
    Then all were answered by the server "images-v1"

  Scenario: a release of a working version gets all requests
    Given the server "images-v2" works
    When a release of images from "v1" to "v2" runs under load
    Then the operator's command reports "done" and exits with code 0
    When 40 images are requested
    Then all were answered by the server "images-v2"
