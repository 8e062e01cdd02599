Feature: Report on where requests were lost
  It is made from the log lines of the daemons.

  Background:
    Given the collected log of two daemons, features/traces/losses.log

  Scenario: Losses are counted by window, route, code, reason, tries and hop
    When losses are reported in windows of 2 s
    Then the rows are
      | from_s | lost | code       | tries | hop    | reason          | route   |
      | 0.0    | 1    | SDG-5001   | 0     | caller |                 |         |
      | 2.0    | 2    | SDG-5008   | 2     | gate   | shed            | booking |
      | 2.0    | 1    | SDG-5008   | 0     | caller |                 | browse  |
      | 4.0    | 1    | SDG-5006   | 1     | way    | connection lost | booking |
      | 4.0    | 1    | status 504 | 1     | target |                 | browse  |
      | 4.0    | 1    | SDG-5007   | 1     | target | awaited         | upload  |
    And 7 requests are lost, and 3 lines dropped

  Scenario: A report can be restricted to a time range
    When losses are reported from second 2 to second 4
    Then 3 requests are lost, and 0 lines dropped

  Scenario: Without time prefixes, seconds count from the first line
    When losses are reported for the same lines without their prefixes
    Then 7 requests are lost, and 3 lines dropped
    And the first row begins at second 0

  Scenario: The program prints a table, or the same as JSON
    When "sedgering losses" is run on the log
    Then its table and its JSON have 6 rows each

  Scenario: Windows of length 0 are refused
    When losses are reported in windows of 0 s
    Then that is refused with code 1005
