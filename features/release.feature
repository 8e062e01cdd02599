Feature: Sign-off and roll have one right result or a numbered code
  Operators race, answers are lost, the table goes away at any step.

  Background:
    Given an empty platform

  Scenario: The second of two sign-offs learns who won
    When anna signs off while bela is between reading and writing
    Then bela is refused with 2001 naming "anna"
    And 1 version is signed off

  Scenario: The second of two rolls learns who won and at which version
    Given versions 1 and 2 are signed off
    When anna rolls 2 while bela rolls 1
    Then bela is refused with 2002 naming "anna won; rolled 2"
    And version 2 is rolled

  Scenario: An older version is not rolled over a newer one
    Given versions 1 and 2 are signed off
    And version 2 is rolled by anna
    When bela rolls 1
    Then bela is refused with 2004 naming "anna rolled 2"

  Scenario: A version without a sign-off is not rolled
    When bela rolls 5
    Then bela is refused with 2003 naming "5"

  Scenario: Undoing is a new version with older content
    Given versions 1 and 2 are signed off
    And version 2 is rolled by anna
    When anna signs off the content of version 1 again
    Then version 3 has the content of version 1

  Scenario Outline: A write whose answer is lost is settled
    Given versions 1 and 2 are signed off
    And the next write is <fate>
    When bela rolls 2
    Then version 2 is rolled once by bela

    Examples:
      | fate                                 |
      | carried out without an answer        |
      | lost on its way                      |

  Scenario: A copy that arrives late does nothing
    Given versions 1 and 2 are signed off
    And the next write is lost on its way
    When bela rolls 1
    And anna rolls 2
    And the write that was lost arrives after all
    Then version 2 is rolled

  Scenario: An outage right after the write leaves the outcome unknown, and it is resumed
    Given versions 1 and 2 are signed off
    And the next write is carried out and then the platform is down
    When bela rolls 2 as operation op-1
    Then bela is refused with 2006 naming "--operation-id op-1"
    When the platform is back
    And bela rolls 2 as operation op-1
    Then version 2 is rolled once by bela

  Scenario: An outage at any step leaves the state unchanged or the result right
    Then a roll that is hit by an outage at any call is told what is true

  Scenario: Any interleaving of operators, lost answers, outages and crashes
    Then any sequence agrees with the sequential model
