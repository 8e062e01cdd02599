Feature: Report on the burn rate of the error budget
  It is computed from two scrapes of the metrics of the daemons.

  Background:
    Given scrapes of two hosts before and after

  Scenario: Requests between two scrapes are counted by outcome
    When "hall-1" has answered 90 requests in 100 ms and 10 in 1000 ms
    And "hall-2" has answered 40 requests in 100 ms and 0 in 1000 ms
    And "hall-2" has refused 10 requests with code 5008
    Then of 150 requests 130 are good, 10 late, 0 failed and 10 refused
    And the burn rate is 13.3
    And the report names SDG-5008

  Scenario: Failures of targets count as bad
    When "hall-1" has answered 90 requests in 100 ms and 0 in 1000 ms
    And "hall-1" has forwarded 10 failures of targets
    Then of 100 requests 90 are good, 0 late, 10 failed and 0 refused

  Scenario: Requests before the first scrape do not count
    When "hall-1" had answered 50 requests in 1000 ms before
    And "hall-1" has answered 10 requests in 100 ms and 0 in 1000 ms
    Then of 10 requests 10 are good, 0 late, 0 failed and 0 refused

  Scenario: The counters of a restarted daemon start from zero
    When "hall-1" had answered 50 requests in 1000 ms before
    And "hall-1" is restarted
    And "hall-1" has answered 10 requests in 100 ms and 0 in 1000 ms
    Then of 10 requests 10 are good, 0 late, 0 failed and 0 refused

  Scenario: Without requests the burn rate is 0
    Then of 0 requests 0 are good, 0 late, 0 failed and 0 refused
    And the burn rate is 0

  Scenario Outline: Invalid input is refused
    When the report is made with <fault>
    Then it is refused as an invalid setting with code <code>

    Examples:
      | fault              | code |
      | a goal of 123 ms   | 1005 |
      | an objective of 1  | 1005 |
      | an empty folder    | 1001 |
      | a malformed scrape | 1001 |
