Feature: Releases and moves

  Scenario Outline: a release that is <behaviour> ends <state>
    When 3 releases run that are "<behaviour>"
    Then each is "<state>" within its time
    And the target got at most <percent> percent of the requests
    And no run of requests passed the share of its step
    And the target got nothing 2 seconds after the evidence

    Examples:
      | behaviour        | state  | percent |
      | good             | done   | 100     |
      | failing          | undone | 1       |
      | slow             | undone | 1       |
      | bad later        | undone | 5       |
      | bad under load   | undone | 20      |
      | bad on one route | undone | 1       |

  Scenario: a release that turns bad after it is done is undone
    When a release is done and then turns bad
    Then it is undone at once

  Scenario Outline: a release holds while <fault>, and ends well after
    When a good release meets the fault "<fault>"
    Then it did not advance meanwhile
    And it is done in the end

    Examples:
      | fault                |
      | measurements stop    |
      | the store is down    |

  Scenario: operators race to start two shifts of one service
    When two operators start shifts of one service
    Then one is told that the other is running

  Scenario: a shift that is not over in time is undone
    When a release gets too little traffic for its time
    Then it is "undone" for the reason "not over in time"

  Scenario Outline: without its rule, a release breaks a promise because <mutation>
    When 3 releases run that are "<behaviour>" although <mutation>
    Then a promise of releases is broken

    Examples:
      | behaviour | mutation                            |
      | good      | credit is not spent                 |
      | failing   | nobody cuts before the row is written |
