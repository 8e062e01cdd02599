Feature: Calls stay where leaving serves nobody
  Where all data centres are short of room, whoever leaves takes the place of
  a caller elsewhere.

  Scenario Outline: A data centre is short once its gates tell so
    Given 8 gates near that tell a demand of <told> %
    When <age> ms have gone by
    Then the data centre is <state> of room

    Examples:
      | told | age  | state     |
      | 90   | 0    | not short |
      | 180  | 0    | short     |
      | 180  | 2000 | not short |

  Scenario: Nothing is known of a data centre that told nothing
    Given 8 gates near that tell a demand of 180 %
    Then another data centre is not short of room

  Scenario: A set that is gone is forgotten
    Given 8 gates near that tell a demand of 180 %
    When the set goes
    Then the data centre is not short of room

  Scenario: With too little room everywhere few answers cross data centres
    52 % of the bytes of answers crossed data centres, as each call went to
    whoever happened to have a place, and as many callers were served in time
    (65 % of the look-ups).
    Given the load "short-everywhere" for 4 s
    When it is played with seed 1
    Then at least 60 % of "look-up" end within their goal
    And at most 20 % of the bytes of answers cross data centres
