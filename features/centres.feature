Feature: Calls stay in their data centre if all data centres are saturated
  If no data centre has spare capacity, a call that leaves its own takes the
  slot of a local call elsewhere.

  Scenario Outline: A data centre is saturated once its gates report so
    Given 8 gates near that report a demand of <reported> %
    When <age> ms have passed
    Then the data centre is <state>

    Examples:
      | reported | age  | state         |
      | 90       | 0    | not saturated |
      | 180      | 0    | saturated     |
      | 180      | 2000 | not saturated |

  Scenario: A data centre without reports does not count as saturated
    Given 8 gates near that report a demand of 180 %
    Then another data centre is not saturated

  Scenario: A removed target set is forgotten
    Given 8 gates near that report a demand of 180 %
    When the set is removed
    Then the data centre is not saturated

  Scenario: With too little capacity everywhere few answers cross data centres
    Without this rule each call went to any target with a free slot.  52 % of
    the bytes of answers crossed data centres, and as many callers were served
    in time (65 % of the look-ups).
    Given the load "short-everywhere" for 4 s
    When it is played with seed 1
    Then at least 60 % of "look-up" end within their goal
    And at most 20 % of the bytes of answers cross data centres
