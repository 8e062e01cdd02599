Feature: Where requests were lost
  From the lines that daemons write.

  Background:
    Given the gathered log of two daemons, features/traces/losses.log

  Scenario: Losses by window, route, code, reason, tries and hop
    When losses are told in windows of 2 s
    Then the rows are
      | from_s | lost | code       | tries | hop    | reason          | route   |
      | 0.0    | 1    | SDG-5001   | 0     | caller |                 |         |
      | 2.0    | 2    | SDG-5008   | 2     | gate   | shed            | booking |
      | 2.0    | 1    | SDG-5008   | 0     | caller |                 | browse  |
      | 4.0    | 1    | SDG-5006   | 1     | way    | connection lost | booking |
      | 4.0    | 1    | status 504 | 1     | target |                 | browse  |
      | 4.0    | 1    | SDG-5007   | 1     | target | awaited         | upload  |
    And 7 requests are lost, and 3 lines dropped

  Scenario: Only a span is looked at
    When losses are told from second 2 to second 4
    Then 3 requests are lost, and 0 lines dropped

  Scenario: Without a time before each line, seconds count from the first one
    When losses are told of the same lines without what is before them
    Then 7 requests are lost, and 3 lines dropped
    And the first row begins at second 0

  Scenario: The program tells a table, and the same as JSON
    When "sedgering losses" is run on the log
    Then its table has 6 rows and its JSON the same

  Scenario: Windows without a length are refused
    When losses are told in windows of 0 s
    Then that is refused with code 1005
