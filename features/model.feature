Feature: Load patterns on a virtual clock
  The daemon's own gate, choice and retries against model targets.

  Scenario: The same seed gives the same figures
    Given the load "lasting-overload" for 1 s
    When it is played twice with seed 3
    Then both results are the same

  Scenario: A standing queue does not form under lasting overload
    Given the load "lasting-overload" for 3 s
    When it is played with seed 1
    Then at least 74 % of "read" end within their goal
    And at least 96 % of "order" end within their goal
    And callers that are refused were held for 40 ms at most on average

  Scenario: Nested calls do not all go to the target that is slow
    Given the load "short-of-inner-targets" for 3 s
    When it is played with seed 1
    Then at least 62 % of "read" end within their goal
    And at least 60 % of "order" end within their goal

  Scenario: Callers that came back do not push aside those in time
    With the share of failed calls told as longer work, 79.9 % of the reads
    end within their goal, and with it told apart 86.8 %.
    Given the load "set-that-refuses" for 8 s
    When it is played with seed 1
    Then at least 83 % of "read" end within their goal
    And at least 73 % of "order" end within their goal

  Scenario: Late calls are served once a burst is over
    Given the load "burst" for 4 s
    When it is played with seed 1
    Then at most 9 % of "read" are refused in the end

  Scenario: A request that ends targets costs the others next to nothing
    With nothing held back 18 targets end, and 24 % of the reads end within
    their goal.
    Given the load "request-that-ends-targets" for 10 s
    When it is played with seed 1
    Then at most 4 targets end
    And at least 94 % of "read" end within their goal
    And at most 1 % of "read" are refused in the end

  Scenario: Targets that end for a cause of their own are held against nobody
    With nothing held back 94 % of the very same request, and 90 % of the
    others, end within their goal.
    Given the load "targets-that-end" for 10 s
    When it is played with seed 1
    Then at most 7 targets end
    And at least 90 % of "same" end within their goal
    And at least 87 % of "read" end within their goal

  Scenario: A load pattern that is malformed is refused with a code
    Given a load pattern with a rate of 0
    When it is loaded
    Then it is refused with code 1005 and names "rate_per_s"

  Scenario: An experiment shows each kind of callers over all seeds
    Given the load "burst" for 1 s
    When 2 seeds of it are compared
    Then there is a row for "read" with its shares, which add up to 1

  Scenario: An experiment with a load that is malformed plays nothing
    Given a load pattern with a rate of 0
    When 2 seeds of it are compared
    Then it is refused with code 1005 and names "rate_per_s"

  Scenario Outline: A small fleet that is short of places asks few hosts
    Of what its daemons sent, three of four messages were questions for a free
    place to targets that had just told of a queue, and their refusals: 3.3 to
    3.6 calls for each try, where one for the place and one or two inner calls
    are needed.
    Given the load "<load>" for 4 s
    When it is played with seed <seed>
    Then at most 3 calls between hosts are sent for each try

    Examples: each caller asks for the first time, and more than can be served
      | load                   | seed |
      | lasting-overload       | 1    |
      | lasting-overload       | 2    |
      | short-of-inner-targets | 1    |
