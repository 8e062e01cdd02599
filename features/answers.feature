Feature: Large answers on narrow links
  A link that is full of large answers makes everything else late.

  Scenario: A small answer goes in between the pieces of a large one
    Given a link of 8 Mbit/s
    When an answer of 500000 bytes is submitted, and a small one 0.1 s later
    Then the small one was written at once, after at most 0.15 s of the link
    And the large one took 0.53 to 0.57 s, in pieces

  Scenario: Large answers go one after the other
    Given a link of 8 Mbit/s
    When 3 answers of 100000 bytes are submitted at once
    Then they end in their order, the first after 0.11 to 0.13 s

  Scenario: An answer that nobody waits for leaves the link to others
    Given a link of 8 Mbit/s
    When 3 answers of 100000 bytes are submitted at once
    And the first two are cancelled after 0.05 s
    Then the last one ends after 0.16 to 0.18 s

  Scenario: Wide links are not paced
    Then there is a pacer for 50 Mbit/s, and none for 1000 or where unknown

  Scenario Outline: What the link cannot carry in time is refused before work
    Given room for answers on a link of 8 Mbit/s, of <bytes> bytes on a route
    And <promised> of them promised
    Then a call with <work> ms of work and <goal> ms until its goal <result>

    Examples:
      | bytes  | promised | work | goal | result           |
      | 85000  | 0        | 200  | 1000 | has room         |
      | 85000  | 6        | 200  | 1000 | has room         |
      | 85000  | 10       | 200  | 1000 | is refused       |
      | 85000  | 1        | 200  | 0    | has room         |
      | 85000  | 3        | 200  | 0    | is refused       |
      | 5000   | 300      | 200  | 0    | has room         |

  Scenario: Room comes back with the end of a call
    Given room for answers on a link of 8 Mbit/s, of 85000 bytes on a route
    And 10 of them promised
    When 5 of them end without an answer
    Then a call with 200 ms of work and 1000 ms until its goal has room

  Scenario: A large answer goes where the link is free
    Given a peer whose link is 2000 ms behind, and another that is free
    Then a call whose answers have 90000 bytes goes to the free one
    And a call whose answers have 500 bytes goes to either

  Scenario: Large and small answers over a narrow link, whole and in time
    Given a host whose link has 8 Mbit/s, and answers of 200000 bytes
    When 3 callers of another host ask there, and small calls come meanwhile
    Then all answers are whole
    And no small call waited for the end of the large ones

  Scenario: Answers that would be late on the link are refused, and not run
    Given a host whose link has 8 Mbit/s, and answers of 200000 bytes
    And its route is known by 3 answers
    When 12 callers of another host ask there at once
    Then those that are answered 200 got whole answers
    And the others were refused as not run, with a time to come back

  Scenario: A connection that closes after an answer sends all of it first
    Given a paced service with an answer of 200000 bytes
    When a caller asks with "Connection: close"
    Then it gets the whole answer, and the end of the stream

  Scenario: Answers of one connection keep their order
    Given a paced service with an answer of 200000 bytes
    When a caller sends ahead a request for the large answer and for a small one
    Then the large one comes first, whole

  Scenario: A host on which nobody listens is asked again soon
    Given a peer that was heard 5.0 s ago
    When a connection to it is refused by its host
    Then it is suspected for 150 ms, however often

  Scenario: A connection that does not come about says little of a live peer
    Given a peer that was heard 0.1 s ago
    When a connection to it does not come about
    Then it is not suspected
    And the same makes it suspect when it was heard 5.0 s ago

  Scenario: After one wait for a connection those that are open go first
    Given a peer with an open connection and a slower answer than others
    Then it is chosen after a host could not be reached, and not before
