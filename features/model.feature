Feature: Simulation of load patterns
  The daemon's own admission control, target choice and retries run against
  simulated targets in simulated time.

  Scenario: The same seed gives the same results
    Given the load "lasting-overload" for 1 s
    When it is played twice with seed 3
    Then both results are the same

  Scenario: No standing queue forms under sustained overload
    Given the load "lasting-overload" for 3 s
    When it is played with seed 1
    Then at least 74 % of "read" end within their goal
    And at least 96 % of "order" end within their goal
    And refused attempts take at most 40 ms on average

  Scenario: Nested calls do not concentrate on the slow target
    Given the load "short-of-inner-targets" for 3 s
    When it is played with seed 1
    Then at least 62 % of "read" end within their goal
    And at least 60 % of "order" end within their goal

  Scenario: Retries do not displace callers that can still meet their goal
    If load reports include the share of failed calls in the processing time,
    79.9 % of the reads end within their goal. If they report it separately,
    86.8 % do.
    Given the load "set-that-refuses" for 8 s
    When it is played with seed 1
    Then at least 83 % of "read" end within their goal
    And at least 73 % of "order" end within their goal

  Scenario: Late calls are served after a burst
    Given the load "burst" for 4 s
    When it is played with seed 1
    Then at most 9 % of "read" are refused at their last attempt

  Scenario: A request that crashes targets hardly affects other requests
    If no suspected request is held back, 18 targets crash, and 24 % of the
    reads end within their goal.
    Given the load "request-that-ends-targets" for 10 s
    When it is played with seed 1
    Then at most 4 targets crash
    And at least 94 % of "read" end within their goal
    And at most 1 % of "read" are refused at their last attempt

  Scenario: Unrelated crashes of targets are not blamed on requests
    If no suspected request is held back, 94 % of the identical requests and
    90 % of the others end within their goal.
    Given the load "targets-that-end" for 10 s
    When it is played with seed 1
    Then at most 7 targets crash
    And at least 90 % of "same" end within their goal
    And at least 87 % of "read" end within their goal

  Scenario: An invalid load pattern is refused with an error code
    Given a load pattern with a rate of 0
    When it is loaded
    Then it is refused with code 1005 and names "rate_per_s"

  Scenario: An experiment has one row per kind of callers over all seeds
    Given the load "burst" for 1 s
    When an experiment runs it with 2 seeds
    Then the row for "read" has shares that add up to 1

  Scenario: An experiment with an invalid load pattern simulates nothing
    Given a load pattern with a rate of 0
    When an experiment runs it with 2 seeds
    Then it is refused with code 1005 and names "rate_per_s"

  Scenario Outline: An overloaded small fleet sends few requests for free slots
    Guards against requests for a free slot that go to targets which have just
    reported a queue, and are refused. Three of four messages between daemons
    were such requests and their refusals. They led to 3.3 to 3.6 calls for
    each attempt, where one call for the slot and one or two nested calls are
    needed.
    Given the load "<load>" for 4 s
    When it is played with seed <seed>
    Then at most 3 calls between hosts are sent for each try

    Examples: arrivals of new callers exceed the capacity
      | load                   | seed |
      | lasting-overload       | 1    |
      | lasting-overload       | 2    |
      | short-of-inner-targets | 1    |
