Feature: A call finds a free place before it waits
  In a large fleet what a daemon knows of the load of a target is old.

  Scenario: A gate without a free place says how long a call would wait
    Given a gate with 2 places where work takes 100 ms
    And 2 calls run and 3 first calls wait
    When a call comes that is only to have a free place
    Then it is refused as busy, with a wait of 150 to 250 ms
    And nothing waits that did not wait before
    And a look at the gate says the same

  Scenario: A gate with a free place takes it
    Given a gate with 2 places where work takes 100 ms
    And 1 calls run and 0 first calls wait
    When a call comes that is only to have a free place
    Then it runs at once
    And a look at the gate says the same

  Scenario: After some busy hosts a call waits where that is shortest
    Given a search among hosts
    When hosts tell waits of 300, 100, 400 and 200 ms
    Then the search is over, and they are asked by their waits, once each

  Scenario Outline: Who told just now of a queue is not asked for a place
    Given a target with 2 places that told of <running> calls and <waiting> more
    Then <age> ms later it is <known> to be full

    Examples:
      | running | waiting | age | known     |
      | 2       | 1       | 10  | known     |
      | 2       | 1       | 60  | not known |
      | 2       | 0       | 10  | not known |
      | 1       | 0       | 10  | not known |

  Scenario: A large body is not sent around
    Given a search among hosts for a body of 60000 bytes
    Then nothing is searched

  Scenario: Where all are full only some calls still search
    Given 80 searches of a set that found nothing
    Then of 80 more calls 10 search
    And once these have found places again all calls search

  Scenario: What one set has no place for is searched in another
    Given 80 searches of a set that found nothing
    Then a call of another set searches

  Scenario: A call of a host that knows nothing finds the only free target
    Given a mesh of 5 hosts, 3 of which have all places taken
    When a caller of the first host asks 8 times, one after the other
    Then all were answered at the host that is free, and no call was held

  Scenario: Callers of many targets of which little is known are in time
    Given the load "many-targets" for 4 s
    When it is played with seed 1
    Then at least 95 % of "browse" end within their goal
