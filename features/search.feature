Feature: A call searches for a free slot before it queues
  In a large fleet load reports are stale, so a call probes for a free slot.

  Scenario: A gate without a free slot reports the expected wait
    Given a gate with 2 slots where work takes 100 ms
    And 2 calls run and 3 first calls wait
    When a call arrives that may only run in a free slot
    Then it is refused as busy, with a wait of 150 to 250 ms
    And no further call waits
    And find_busy_ms gives the same result

  Scenario: A gate with a free slot admits the call
    Given a gate with 2 slots where work takes 100 ms
    And 1 calls run and 0 first calls wait
    When a call arrives that may only run in a free slot
    Then it runs at once
    And find_busy_ms gives the same result

  Scenario: After several busy hosts a call queues where the wait is shortest
    Given a search among hosts
    When hosts report waits of 300, 100, 400 and 200 ms
    Then the search has ended, and each host is listed once, by wait

  Scenario Outline: A target that just reported a queue is not probed
    Given a target with 2 places that reported <running> running and <waiting> waiting calls
    Then <age> ms later it is <known> to be full

    Examples:
      | running | waiting | age | known     |
      | 2       | 1       | 10  | known     |
      | 2       | 1       | 60  | not known |
      | 2       | 0       | 10  | not known |
      | 1       | 0       | 10  | not known |

  Scenario: A large body is not sent from host to host
    Given a search among hosts for a body of 60000 bytes
    Then no search takes place

  Scenario: When all targets are full, only some calls search
    Given 80 searches of a set that found no free slot
    Then of 80 more calls 10 search
    And once these find free slots again, all calls search

  Scenario: A full target set does not stop searches in another
    Given 80 searches of a set that found no free slot
    Then a call of another set searches

  Scenario: A call finds the only free target without any load report
    Given a mesh of 5 hosts, 3 of which have all places taken
    When a caller of the first host asks 8 times, one after the other
    Then all were answered at the host that is free, and no call was held

  Scenario: Calls to many targets with stale load reports meet their goal
    Given the load "many-targets" for 4 s
    When it is played with seed 1
    Then at least 95 % of "browse" end within their goal
