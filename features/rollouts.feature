Feature: A new version of a target set is tried on few calls, and judged
  The operator orders that the calls of a set move to targets of another
  version of its software.  Sent calls like all others, targets of a bad
  version got six of sixteen, and took the set down with them.

  Scenario Outline: Which versions get calls
    Given a rollout from v1 to v2 in the stage <stage>
    Then calls go to <usual>, a share of them to <trial>
    And the gates of <open> are open, those of <closed> are not

    Examples:
      | stage       | usual | trial | open  | closed |
      | trial       | v1    | v2    | v1 v2 | v3     |
      | moving      | v2    | none  | v1 v2 | v3     |
      | settling    | v2    | none  | v2    | v1 v3  |
      | succeeded   | v2    | none  | v2    | v1 v3  |
      | rolled back | v1    | none  | v1    | v2 v3  |

  Scenario Outline: Not knowing is no licence
    Given targets of the versions <versions>, and <order>
    Then the gates of <open> are open, those of <closed> are not

    Examples:
      | versions    | order          | open     | closed |
      | v1 v1 v2    | no order       | v1 empty | v2     |
      | v1 v1 v2    | an order of v2 | v1       | v2     |
      | v1 v1       | an order of v2 | v1       | v2     |
      | empty empty | no order       | v1 empty | none   |
      | empty empty | an order of v2 | v1       | v2     |

  Scenario: A version on trial gets no more than its share
    Then no order of calls and answers exposes more than a tenth of them

  Scenario: A few targets are on trial, and all daemons choose the same
    Then of 32 new targets beside 32 old ones 3 are on trial, in any order
    And of 5 new targets beside 5 old ones 1 is on trial, in any order

  Scenario Outline: A good version is not undone
    The rule is made for 1 wrong verdict in 4,000 against a good version.
    Given a new version whose calls are <kind>
    When it is judged 200 times
    Then it is found good each time

    Examples:
      | kind                        |
      | like those of the old one   |
      | failing like the old ones   |
      | bad at one of three targets |

  # Seen: good versions of sets with nine targets were undone, with none of 114
  # calls failed.  The target on trial had changed once, and the one that had run
  # most calls, three of them slow, was left out as the worst of two: what
  # remained was too little for a verdict.
  Scenario Outline: The worst target is left out where it speaks against others
    Given old targets of which each ran 60 calls well
    And new targets that ran <runs> calls, of which <bad> were bad
    Then the new version is <verdict>

    Examples:
      | runs     | bad    | verdict |
      | 20 94    | 0 3    | good    |
      | 20 94    | 0 40   | open    |
      | 60 60    | 0 60   | good    |
      | 60 60    | 40 40  | bad     |
      | 94       | 3      | good    |
      | 10 10    | 0 0    | open    |

  Scenario Outline: A bad version is undone before it has harmed many
    Fifty bad calls are what an operator lets it do before the time to undo
    it counts.
    Given a new version whose calls are <kind>
    When it is judged 200 times
    Then it is found bad each time
    And that takes 50 bad calls in the median at most

    Examples:
      | kind                       |
      | failing by half            |
      | failing by a third         |
      | eight times slower by half |
      | failing on one route       |

  Scenario: A version that turns bad later is undone, too
    Given a new version whose calls are failing after a while
    When it is judged 200 times
    Then it is found bad each time

  Scenario: News of orders and rollouts come in any order
    Then whatever order news come in, the newest of each set holds

  Scenario Outline: A row that comes before its order is not undone
    Seen: a good version was undone 0.7 s after its order.  Rows of rollouts are
    watched without a pause while one runs, orders with one; the daemon that
    had the row of the second alone took its order as withdrawn.
    Given a daemon that knows the row of a rollout that follows order 7
    When it has been told of <order>
    Then it <verb> what to do with the rollout, of which the order <stands>

    Examples:
      | order                  | verb          | stands        |
      | no order               | does not know | is not there  |
      | order 5                | does not know | is an earlier |
      | order 7                | knows         | stands        |
      | the withdrawal after 7 | knows         | is withdrawn  |

  Scenario: Stages are timed by the clock of the store alone
    Seen: a good version was undone 0.5 s after its order.  A daemon that had the
    order from a relay, and no answer of the store yet, wrote its own clock as
    the start of the rollout.
    Given a fleet with 4 calendar targets of the version v1
    Then each daemon that watches the store knows its clock
    And one that does not know it writes no row of a rollout

  Scenario Outline: When a rollout goes on
    Given a rollout of 10 s in the stage <stage> since <age> ms
    When its new version <shows> at <now> ms
    Then its next stage is <next>

    Examples: a verdict needs time, and is not put off for ever
      | stage    | age  | shows              | now  | next        |
      | trial    | 0    | is good            | 2000 | trial       |
      | trial    | 0    | is good            | 5000 | moving      |
      | trial    | 0    | is bad             | 500  | rolled back |
      | trial    | 0    | shows nothing      | 5500 | trial       |
      | trial    | 0    | shows nothing      | 6700 | rolled back |
      | trial    | 0    | is stopped         | 500  | rolled back |
      | trial    | 0    | is withdrawn       | 500  | rolled back |

    Examples: senders first, then gates, then the end
      | stage    | age  | shows              | now  | next        |
      | moving   | 5000 | is good            | 6000 | moving      |
      | moving   | 5000 | is good            | 6800 | settling    |
      | moving   | 5000 | is bad             | 6000 | rolled back |
      | settling | 6800 | is good            | 7500 | settling    |
      | settling | 6800 | is good            | 8000 | succeeded   |
      | settling | 6800 | leaves work behind | 8000 | settling    |
      | settling | 6800 | leaves work behind | 9200 | succeeded   |
      | settling | 6800 | is silent          | 8000 | settling    |

    Examples: a verdict that is told stands
      | stage       | age  | shows        | now  | next        |
      | succeeded   | 8000 | is bad       | 9000 | succeeded   |
      | rolled back | 8000 | is good      | 9000 | rolled back |

  Scenario Outline: Orders that cannot be read change nothing
    When the operator's order is <order>
    Then the order is refused as unreadable

    Examples:
      | order                                                   |
      | {"service": "calendar", "to": "v2"}                     |
      | {"service": "ledger", "to": "v2", "duration": "8s"}     |
      | {"service": "calendar", "to": "", "duration": "8s"}     |
      | {"service": "calendar", "to": "v2", "duration": "soon"} |
      | {"service": "calendar", "to": 2, "duration": "8s"}      |
      | [                                                       |

  Scenario: A good version takes over, and no call is lost or cut
    Given a fleet with 4 calendar targets of the version v1
    When 4 targets of the version v2 come, and are ordered within 7000 ms
    And callers ask all the while until the operator reads succeeded
    Then all calls were answered well
    And no call is under way at the version v1, and none comes any more
    And before the move the version v2 got a tenth of the calls at most

  Scenario: A version that fails is undone at once
    Given a fleet with 4 calendar targets of the version v1
    When 4 targets of the version v2 come, and are ordered within 7000 ms
    And all of these fail their calls
    And callers ask all the while until the operator reads rolled_back
    Then the version v2 failed 20 calls at most
    And no call comes to the version v2 any more

  Scenario: A version that fails while the store is away stops by itself
    Given a fleet with 4 calendar targets of the version v1
    When 4 targets of the version v2 come, and are ordered within 30000 ms
    And all of these fail their calls
    And the store is away once the version is on trial
    And callers ask for 3 s
    Then the version v2 failed 20 calls at most

  Scenario: A version that nobody ordered gets no call
    Given a fleet with 4 calendar targets of the version v1
    When 2 targets of the version v2 come
    And callers ask for 1 s
    Then no call comes to the version v2 any more
    And all calls were answered well

  Scenario: The verdict outlives every daemon
    Given a fleet with 4 calendar targets of the version v1
    When 4 targets of the version v2 come, and are ordered within 7000 ms
    And all of these fail their calls
    And callers ask all the while until the operator reads rolled_back
    And all daemons are started again
    And callers ask for 1 s
    Then no call comes to the version v2 any more
