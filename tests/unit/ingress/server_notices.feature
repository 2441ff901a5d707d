Feature: What backend servers say of themselves in their responses

  Scenario Outline: a server that says in <response> that it leaves gets no further request from this VM
    Given two servers, the first of which says in <response> that it leaves
    When 30 callers read one after another
    Then the first server got 1 request
    And every caller was served by the second server or got the first one's response

    Examples:
      | response    |
      | a success   |
      | a refusal   |
      | an error    |

  Scenario: requests are refused as not run rather than sent to a server that leaves
    Given one server, which says in a success that it leaves
    When 5 callers read one after another
    Then the first server got 1 request
    And the other callers got 503 and were told that their requests did not run

  Scenario: a leaving server is not used even if most servers of the service leave
    Given 5 known servers, 4 of which have said that they leave
    Then 100 picks at 0 ms use only the fifth server

  Scenario: a server that started again under its id is used again, an older registration changes nothing
    Given 2 known servers, 1 of which has said that they leave
    When the registration of the first one changes without a new start
    Then 100 picks at 0 ms use only the second server
    When the first one registers a new start
    Then 100 picks at 0 ms use both servers

  Scenario Outline: a server that turns a request away for <header> seconds gets none until then
    Given 2 known servers
    When the first one answers 503 with Retry-After <header> at 0 ms
    Then 100 picks at <before> ms use only the second server
    And 100 picks at <after> ms use both servers

    Examples:
      | header | before | after |
      | 2      | 1999   | 2001  |
      | 0.75   | 740    | 751   |
      | 30     | 29990  | 30001 |

  Scenario Outline: a Retry-After of "<header>" is ignored
    Given 2 known servers
    When the first one answers 503 with Retry-After <header> at 0 ms
    Then 100 picks at 1 ms use both servers

    Examples:
      | header                        |
      | soon                          |
      | -1                            |
      | nan                           |
      | 1e999                         |
      | Wed, 21 Oct 2026 07:28:00 GMT |

  Scenario: a server in a pause is not used even if most servers pause, and callers learn when to return
    Given 5 known servers
    When all of them answer 503 with Retry-After 3 at 0 ms
    Then no pick at 1000 ms finds a server
    And callers refused at 1000 ms are told to return after 2 s or later

  Scenario: a request that was connecting when its server asked for a pause is not sent there
    Given a server that answers 503 with Retry-After 5, and takes connections slowly
    When 10 callers read at once, and 10 more 100 ms later
    Then the server got at most 10 requests
