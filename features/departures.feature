Feature: An acknowledged departure outlives the daemon that acknowledged it
  Guards against calls to a target that has left: after a restart of the daemon
  beside it, delayed reports made the target available again, until it exited
  with calls under way.

  Scenario Outline: A target that has left gets no call after a restart
    Given a mesh whose second target is about to leave
    When that target <leaves>, which is acknowledged
    And its daemon <ends>
    And 4 delayed reports of that target arrive
    Then no call reaches that target
    And its row in the store tells that it has left

    Examples: each way of leaving
      | leaves                             | ends      |
      | reports "draining"                 | is killed |
      | deregisters                        | is killed |
      | reports "draining" and deregisters | is killed |
      | crashes and deregisters            | is killed |

    Examples: each way in which a daemon ends
      | leaves             | ends                               |
      | deregisters        | is killed twice                    |
      | deregisters        | is told to leave                   |
      | reports "draining" | is told to leave                   |
      | deregisters        | is told to leave twice             |
      | deregisters        | is killed and then told to leave   |
      | deregisters        | is told to leave and then killed   |

  Scenario Outline: A target that leaves around the end of its daemon has left
    Given a mesh whose second target is about to leave
    When its daemon <ends>
    And that target <leaves>, which is acknowledged
    And its daemon is killed
    And 4 delayed reports of that target arrive
    Then no call reaches that target
    And its row in the store tells that it has left

    Examples:
      | ends                  | leaves             |
      | is killed             | deregisters        |
      | is killed             | reports "draining" |
      | is told to leave      | deregisters        |
      | begins to leave       | deregisters        |
      | begins to leave       | reports "draining" |

  Scenario Outline: A target that lives is served after a restart as before
    Guards against a departure being seen where there is none, and against a
    restart that takes more reports than before.
    Given a mesh whose second target is about to leave
    And its health check is <health>
    When its daemon <ends>
    And it reports that it is ready <reports> times
    Then that target is available

    Examples:
      | health | ends                             | reports |
      | right  | is killed                        | 0       |
      | right  | is killed twice                  | 0       |
      | right  | is told to leave                 | 0       |
      | right  | is told to leave and then killed | 0       |
      | wrong  | is killed                        | 2       |
      | wrong  | is told to leave                 | 2       |

  Scenario Outline: The next target of the host is served as before
    Guards against a departure being taken for that of the next target.
    Given a mesh whose second target is about to leave
    When that target deregisters, which is acknowledged
    And another one takes its place under <id>, with a health check that is <health>
    And its daemon is killed
    And it reports that it is ready <reports> times
    Then that target is available

    Examples:
      | id          | health | reports |
      | another id  | right  | 0       |
      | another id  | wrong  | 1       |
      | the same id | right  | 1       |
      | the same id | wrong  | 1       |

  Scenario Outline: A departure acknowledged without the store is remembered
    Guards against a departure that is acknowledged while it stands in the
    memory of one process only: the row in the store said "ready" until the end
    of an outage, and so did that process's successor.
    Given a mesh whose second target is about to leave
    And a third host that learns of no departure
    And the store becomes <mode>
    When that target <leaves>, which is acknowledged
    And its daemon is killed
    And the store is <back> before 4 delayed reports of that target arrive
    Then no call reaches that target
    And in the end its row in the store tells that it has left

    Examples: each way in which the store fails
      | mode         | leaves             | back          |
      | silent       | reports "draining" | back          |
      | reset        | deregisters        | back          |
      | busy         | deregisters        | back          |
      | limited      | reports "draining" | back          |
      | lose answers | deregisters        | back          |
      | late         | reports "draining" | back          |

    Examples: the store is away for longer
      | mode   | leaves             | back          |
      | silent | deregisters        | still away    |
      | reset  | reports "draining" | still away    |
      | busy   | deregisters        | still away    |

  Scenario Outline: A restart without the store opens for no target that has left
    Guards against calls of a daemon that has not read the row in time, after a
    departure that the store holds.
    Given a mesh whose second target is about to leave
    And a third host that learns of no departure
    When that target deregisters, which is acknowledged
    And the store becomes <mode>
    And its daemon <ends>
    And 4 delayed reports of that target arrive
    Then no call reaches that target
    And in the end its row in the store tells that it has left

    Examples:
      | mode   | ends             |
      | reset  | is killed        |
      | silent | is killed twice  |
      | reset  | is told to leave |

  Scenario: Late reports that waited for the start are read after the reminder
    Guards against calls in the moment between them: all that arrived while a
    process started is read at once, and opened the gate for some 0.2 s.
    Given a mesh whose second target is about to leave
    And the store becomes reset
    When that target deregisters, which is acknowledged
    And 2 delayed reports wait for the start of its next daemon
    Then its gate never opens

  Scenario: Reports that waited for the start of a daemon open its gate
    Guards against a target that lives and waits for another report.
    Given a mesh whose second target is about to leave
    And the store becomes reset
    When 2 delayed reports wait for the start of its next daemon
    Then its gate is open

  Scenario: A late deregistration of another target hides no departure
    Guards against the removal of a row that tells a departure, which nothing
    would tell after that.
    Given a mesh whose second target is about to leave
    And its health check is wrong
    When its daemon is killed
    And all daemons are ready again
    And the store becomes reset
    And that target deregisters, which is acknowledged
    And a target that was there before it deregisters
    Then in the end its row in the store tells that it has left

  Scenario: A departure that nobody else holds is not acknowledged
    Guards against an acknowledgement that ends with its process.
    Given a mesh whose second target is about to leave
    And its daemon reaches no other daemon
    And the store becomes reset
    When that target deregisters, which is refused with code 6005
    Then its gate is closed
    When the store is back
    And that target deregisters, which is acknowledged
    Then its row in the store tells that it has left

  Scenario Outline: A target that lives is served without the store as before
    Given a mesh whose second target is about to leave
    And the store becomes <mode>
    When its daemon is killed
    And it reports that it is ready 2 times
    Then its gate is open

    Examples:
      | mode   |
      | silent |
      | reset  |

  Scenario: A witness forgets a departure when the host has another target
    Guards against departures that pile up in the memory of other daemons.
    Given a mesh whose second target is about to leave
    When that target deregisters, which is acknowledged
    And another one takes its place under another id, with a health check that is right
    And it reports that it is ready 1 times
    Then that target is available
    And no daemon remembers a departure

  Scenario Outline: A witness remembers a departure for as long as it matters
    Guards against a departure that a witness forgot at once: without the store
    it knew of a target only that had been there before.
    Given a witness that knows <known> beside the daemon
    When it is told that a target leaves, and knows <later> after that
    Then the departure is <result>

    Examples:
      | known                | later                | result     |
      | that target          | that target          | remembered |
      | an earlier lifetime  | an earlier lifetime  | remembered |
      | an earlier lifetime  | that target          | remembered |
      | an earlier target    | an earlier target    | remembered |
      | an earlier target    | that target          | remembered |
      | no target            | no target            | remembered |
      | that target          | a later lifetime     | forgotten  |
      | that target          | another target       | forgotten  |
      | an earlier target    | another target       | forgotten  |
      | that target          | no target            | forgotten  |

  Scenario Outline: Only the notice of a departure is taken
    Then a departure notice <of> is answered <status>

    Examples:
      | of                      | status |
      | of a target that leaves | 200    |
      | of a ready target       | 400    |
      | that is truncated       | 400    |
      | of a row without a port | 400    |
