Feature: Large answers on narrow links
  Large answers that fill a link delay all other traffic on it.

  Scenario: A small answer is sent between the pieces of a large one
    Given a link of 8 Mbit/s
    When an answer of 500000 bytes is submitted, and a small one 0.1 s later
    Then the small one was written at once, after at most 0.15 s of the link
    And the large one took 0.53 to 0.57 s, in pieces

  Scenario: Large answers are sent one after the other
    Given a link of 8 Mbit/s
    When 3 answers of 100000 bytes are submitted at once
    Then they end in their order, the first after 0.11 to 0.13 s

  Scenario: A cancelled answer frees the link for others
    Given a link of 8 Mbit/s
    When 3 answers of 100000 bytes are submitted at once
    And the first two are cancelled after 0.05 s
    Then the last one ends after 0.16 to 0.18 s

  Scenario: Wide links are not paced
    Then there is a pacer for 50 Mbit/s, and none for 1000 or where unknown

  Scenario Outline: A call whose answer cannot be sent in time is refused before work
    Given answers of <bytes> bytes on a route, over a link of 8 Mbit/s
    And <expected> of them expected
    Then a call with <work> ms of work and <goal> ms until its goal <result>

    Examples:
      | bytes  | expected | work | goal | result           |
      | 85000  | 0        | 200  | 1000 | is admitted      |
      | 85000  | 6        | 200  | 1000 | is admitted      |
      | 85000  | 10       | 200  | 1000 | is refused       |
      | 85000  | 1        | 200  | 0    | is admitted      |
      | 85000  | 3        | 200  | 0    | is refused       |
      | 5000   | 300      | 200  | 0    | is admitted      |

  Scenario: The end of a call releases its reservation
    Given answers of 85000 bytes on a route, over a link of 8 Mbit/s
    And 10 of them expected
    When 5 of them end without an answer
    Then a call with 200 ms of work and 1000 ms until its goal is admitted

  Scenario: A call with a large answer goes to the host whose link is free
    Given a peer whose link has a backlog of 2000 ms, and another that is free
    Then a call whose answers have 90000 bytes goes to the free one
    And a call whose answers have 500 bytes goes to either

  Scenario: Large and small answers over a narrow link, complete and in time
    Given a host whose link has 8 Mbit/s, and answers of 200000 bytes
    When 3 callers of another host call it, and small calls come meanwhile
    Then all answers are complete
    And no small call waited for the end of the large ones

  Scenario: Answers that would be late on the link are refused, and not run
    Given a host whose link has 8 Mbit/s, and answers of 200000 bytes
    And the size of its answers is known from 3 answers
    When 12 callers of another host call it at once
    Then those that are answered 200 got complete answers
    And the others were refused as not run, with a retry time

  Scenario: A connection that closes after an answer sends all of it first
    Given a paced service with an answer of 200000 bytes
    When a caller sends "Connection: close"
    Then it gets the whole answer, and the end of the stream

  Scenario: Answers of one connection keep their order
    Given a paced service with an answer of 200000 bytes
    When a caller pipelines requests for the large answer and for a small one
    Then the large one comes first, complete

  Scenario: A host that refuses connections is tried again soon
    Given a peer that was heard 5.0 s ago
    When a connection to it is refused by its host
    Then it is suspected for 150 ms, however often

  Scenario: A connection that times out does not make a live peer suspect
    Given a peer that was heard 0.1 s ago
    When a connection to it times out
    Then it is not suspected
    And the same makes it suspect when it was heard 5.0 s ago

  Scenario: After a failed connection, peers with an open one are preferred
    Given a peer with an open connection and a slower answer than others
    Then it is chosen after a host could not be reached, and not before
