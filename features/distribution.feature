Feature: Every proxy ends up on the version rolled, and none goes back
  Updates cross, are lost, doubled, delayed and reordered; relays die,
  data centres part, the source goes away in mid-roll.

  Background:
    Given 12 proxies in 3 data centres that hold version 1

  Scenario: A roll reaches every proxy
    When version 2 is rolled
    Then every proxy holds version 2 within 5 s
    And the progress rows say 12 of 12

  Scenario: The tree alone is quick
    Given proxies that compare versions once in 600 s
    When version 2 is rolled
    Then every proxy holds version 2 within 3 s

  Scenario: Comparison alone is enough
    Given no announcement and no acknowledgement arrives
    When version 2 is rolled
    Then every proxy holds version 2 within 20 s

  Scenario: Lost, doubled, delayed and reordered messages
    Given 30 % of the messages are lost, 30 % doubled and all delayed
    When versions 2, 3 and 4 are rolled one second apart
    Then every proxy holds version 4 within 30 s
    And no proxy ever went back

  Scenario: An old announcement that arrives late
    Given an announcement of version 1 is recorded
    When version 2 is rolled
    And every proxy holds version 2 within 5 s
    And the recorded announcement arrives everywhere
    Then every proxy holds version 2 within 5 s
    And no proxy ever went back

  Scenario: All relays of a data centre die in mid-roll
    When version 2 is rolled
    And the relays of a data centre die
    Then every proxy holds version 2 within 12 s
    And the progress rows say 9 of 9 within 20 s

  Scenario: A data centre that was apart catches up
    Given a data centre that can reach neither others nor the platform
    When version 2 is rolled
    And 20 s pass
    Then the proxies apart hold version 1
    When the data centre is back
    Then every proxy holds version 2 within 12 s
    And no proxy ever went back

  Scenario: The source goes away in mid-roll
    When version 2 is rolled
    And the first proxy holds version 2
    And the platform goes down
    Then every proxy holds version 2 within 10 s

  Scenario: A proxy restarts while the table is down
    When version 2 is rolled
    And every proxy holds version 2 within 5 s
    And the platform goes down
    And a proxy that kept contact rows restarts
    Then it serves nothing under version 2
    And it serves version 2 within 15 s

  Scenario: A proxy restarts alone while the table is down
    Given all other proxies are unreachable
    When the platform goes down
    And a proxy that kept contact rows restarts
    And 20 s pass
    Then it is still waiting for a floor

  Scenario: A restarted proxy whose peers lag does not serve under its floor
    Given a data centre that can reach neither others nor the platform
    And version 2 is rolled and held by the others
    And the platform is down and the others are paused
    When a proxy that held version 2 restarts where only the lagging ones answer
    And 30 s pass
    Then it serves nothing under version 2
    When the others wake
    Then it serves version 2 within 20 s

  Scenario: Damaged content is asked for again elsewhere
    Given the next 3 contents that peers send are damaged
    And a proxy was away and missed versions 2 and 3
    When it is back
    Then every proxy holds version 3 within 15 s

  Scenario: A version that breaks the rules is refused, with its code
    Relays fetch it and refuse it, so that nobody else ever hears of it.

    When a bundle with a dangling route is rolled around the checks
    And 10 s pass
    Then every proxy holds version 1 within 1 s
    And the progress rows name code 1103 from 9 hosts
    When version 3 is rolled
    Then every proxy holds version 3 within 5 s

  Scenario: A host counted twice does not stand in for one that is missing
    When version 2 is rolled
    And every proxy holds version 2 within 5 s
    And one host acknowledges twice while another one is silent
    Then the progress of its data centre is not exact

  Scenario: The load on the source does not depend on the fleet
    Then 6 and 60 proxies read the head equally often

  Scenario: Any faults in any order
    Then whatever happens, no proxy goes back and all end up together

  Scenario: Relays follow differences, also over versions that they missed
    When versions 2, 3 and 4 are rolled at once
    And every proxy holds version 4 within 5 s
    Then no whole bundle was fetched from the object store

  Scenario: A notice wakes the relays, and a flood of notices is bounded
    Given relays that read the head once in 60 s
    When version 2 is rolled with a notice
    Then every proxy holds version 2 within 2 s
    When 500 notices arrive at a relay within 5 s
    Then it has read the head at most 20 times

  Scenario: A version that nobody has does not keep the real ones away
    Given every proxy hears again and again of version 999999 that nobody has
    When version 2 is rolled
    Then every proxy holds version 2 within 20 s
