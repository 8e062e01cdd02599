Feature: What targets state about themselves in their answers
  A target in need states how many requests a second it takes from all callers
  together.  A target that is leaving states that.

  Background:
    Given a mesh with two calendar hosts
    And a third host without a target of the set

  # Guards against a target that gets its usual load although it states a limit.
  Scenario: The limit that a target states bounds the calls of all daemons
    Given the target of the first host states a limit of "10"
    When callers of all hosts ask for 5 s
    Then the first target gets no more than its limit allows
    And every caller is answered
