Feature: Telling calls of callers from calls of the local target
  Whether a caller or a target waits decides the priority of a call.

  Scenario: Callers who state no more time than their route's timeout
    Given an idle target
    When 5 callers state 1200 ms, one each 10 ms
    Then all are taken as callers

  Scenario: A daemon starts beside a target that is never idle
    Given a target at work on calls of 1200 ms that began 30 ms ago
    When 5 callers state 1200 ms, one each 10 ms
    Then all are taken as callers

  Scenario: Nested calls whose stated time never varies
    Given a target at work on calls of 1200 ms that began 30 ms ago
    When 200 nested calls state 200 ms, one each 1 ms
    Then all are taken as calls of the target

  Scenario: A nested call that outlives its parent does not change its route
    Given an idle target
    When 1 nested calls state 200 ms, one each 1 ms
    And the target is at work on calls of 1200 ms
    And 100 nested calls state 200 ms, one each 1 ms
    Then the last 50 are taken as calls of the target

  Scenario: A caller that retries states less time
    Given an idle target
    When 5 callers state 1200 ms, one each 10 ms
    And 1 callers state 900 ms, one each 10 ms
    Then the last 1 are taken as returning

  Scenario: First tries with varying timeouts are not taken for retries
    Four of five first tries counted as retries on routes with timeouts of 85
    to 100 % of the longest one. Up to 15 % of the longest time was taken off
    their goal (0.15 s of 0.4 s), so they were refused or sent to remote targets
    as late.
    Given an idle target
    When 40 callers state 1200, 1140, 1080 and 1030 ms in turn
    Then the last 20 are taken as callers
    When 1 callers state 840 ms, one each 10 ms
    Then the last 1 are taken as returning
    And it has waited 230 to 290 ms

  Scenario: With a uniform timeout, a shorter one marks a retry
    Given an idle target
    When 40 callers state 1200 ms, one each 10 ms
    And 1 callers state 1140 ms, one each 10 ms
    Then the last 1 are taken as returning
    And it has waited 60 to 60 ms

  Scenario: Statistics of removed routes are dropped
    Given an idle target
    When 5 callers state 1200 ms, one each 10 ms
    And the route is removed and added again
    And 1 callers state 900 ms, one each 10 ms
    Then the last 1 are taken as callers

  Scenario Outline: A stated timeout is ASCII digits only
    Given a mesh with two calendar hosts
    When a caller states the time "<text>"
    Then it is answered <status>

    Examples:
      | text   | status |
      | 1000   | 200    |
      | 1_000  | 400    |
      | +1000  | 400    |
      | -5     | 400    |
      | 1e3    | 400    |
      | ١٠٠٠   | 400    |
