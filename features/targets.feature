Feature: A target that restarts under its id has a new lifetime
  A restarted target may keep its id and restart the sequence of its reports.
  If lifetimes are told apart by the id alone, the first reports of the new one
  are dropped as late, a target that was leaving stays closed for good, and a
  late deregistration closes its successor.

  Scenario Outline: Reports of two lifetimes with one id
    Given a target whose lifetime reported <first>
    When the target then sends <second>
    Then the target is <state> in the lifetime born at <born>

    Examples: a later lifetime takes effect at once
      | first                | second              | state  | born |
      | ready 40 born 10     | ready 1 born 20     | open   | 20   |
      | ready 40 born 10     | draining 1 born 20  | closed | 20   |
      | draining 40 born 10  | ready 1 born 20     | open   | 20   |
      | leaving born 10      | ready 1 born 20     | open   | 20   |
      | forgotten born 10    | ready 1 born 20     | open   | 20   |
      | ready 40 born 10     | leaving born 20     | closed | 20   |

    Examples: an earlier one changes nothing
      | first                | second              | state  | born |
      | ready 2 born 20      | draining 40 born 10 | open   | 20   |
      | ready 2 born 20      | ready 40 born 10    | open   | 20   |
      | ready 2 born 20      | leaving born 10     | open   | 20   |
      | draining 2 born 20   | ready 40 born 10    | closed | 20   |

    Examples: within one lifetime the sequence counts
      | first                | second              | state  | born |
      | ready 2 born 20      | draining 1 born 20  | open   | 20   |
      | ready 2 born 20      | draining 3 born 20  | closed | 20   |
      | draining 2 born 20   | ready 3 born 20     | closed | 20   |
      | leaving born 20      | ready 3 born 20     | closed | 20   |
      | forgotten born 20    | ready 3 born 20     | none   | 0    |

    Examples: a lifetime of unknown start takes the start that it reports
      | first                | second              | state  | born |
      | ready 1 born 0       | ready 2 born 20     | open   | 20   |
      | ready 2 born 0       | ready 1 born 20     | open   | 0    |
      | draining 1 born 0    | ready 2 born 20     | closed | 0    |

    Examples: one that ended unannounced is opened by its next report
      | first                | second              | state  | born |
      | down 40 born 10      | ready 1 born 20     | open   | 20   |
      | down 40 born 10      | ready 41 born 10    | open   | 10   |
      | down 40 born 10      | ready 40 born 10    | closed | 10   |
      | down 40 born 10      | ready 50 born 5     | closed | 10   |
      | down 40 born 0       | ready 1 born 0      | open   | 0    |
      | down 40 born 10      | draining 41 born 10 | closed | 10   |
      | leaving born 10      | down 40 born 10     | closed | 10   |

  Scenario: Late messages open no lifetime that has ended
    Then no order of reports and deregistrations opens an ended lifetime

  Scenario: A late report that is checked afterwards restores no old lifetime
    Given a target beside which another one, born at 10, reported late
    When that one starts again, born at 20, before it is asked who it is
    Then the target is open in the lifetime born at 20

  Scenario Outline: A target that leaves before it is asked who it is has left
    Guards against a departure that is acknowledged and lost: the row of the
    host went on naming the other id as ready.
    Given a target beside which another one, born at 10, reported late
    When that one <leaves> before it is asked who it is
    Then the departure of that one waits for the answer
    When <answers> is there
    Then <open>, and the departure waits no more

    Examples:
      | leaves           | answers      | open                    |
      | deregisters      | the other id | the gate is closed      |
      | reports draining | the other id | the gate is closed      |
      | deregisters      | the same id  | the gate is open        |

  Scenario Outline: A first report of another id is accepted, unless its start is suspect
    Given a target whose lifetime reported ready 5 born <present>
    When another id reports itself for the first time, born at <other>
    Then <taken> is taken for the target beside the daemon

    Examples:
      | present | other | taken        |
      | 10      | 20    | the other id |
      | 10      | 0     | the same id  |
      | 0       | 0     | the other id |
      | 0       | 20    | the other id |

  Scenario: A peer that starts again under its id is a new one to others
    Given a daemon that has learned about a target born at 10
    When the row of its host names the same target born at 20
    Then it is cold, its load and work times are not known, and it is open
    And the connections to its daemon are kept

  Scenario: Reports by daemons of an earlier lifetime are ignored
    Given a member table that has a target born at 20
    When a daemon reports the same target born at 10
    Then the member table has it born at 20
    When a daemon reports the same target born at 30
    And the store's row of it is written again, born at 25
    Then the member table has it born at 30
    When the store's row of it is written again, born at 40
    Then the member table has it born at 40

  Scenario: Member rows are compatible with the previous version
    Then a member row without the start of its target is decoded
    And the row of a target born at 20 keeps that on its way to others

  Scenario: A gate forgets what it learned from the earlier lifetime
    Given a gate that has learned of a slow target that refuses calls
    When its target starts again
    Then its work times and failures are those of a new target

  Scenario: A target starts again under its id while it is draining
    Given a mesh with two calendar hosts
    And the target of the first host said "draining" in a lifetime born at 10
    When it starts again, born at 20, and says "ready"
    Then the first host serves the second, whose own target leaves
    And all daemons have a row of a target born at 20

  Scenario: A late deregistration of the earlier lifetime is only acknowledged
    Given a mesh with two calendar hosts
    And the target of the first host said "ready" in a lifetime born at 10
    When it starts again, born at 20, and says "ready"
    And a deregistration of the lifetime born at 10 arrives late
    Then the first host serves the second, whose own target leaves

  Scenario: Calls of an earlier lifetime do not occupy slots of the next one
    Given a mesh with two calendar hosts
    And only the first host has a target
    And the target of the first host said "ready" in a lifetime born at 10
    And the targets work 5 s
    When 2 callers ask "/slow/", and all places of the target are taken
    And it says "ready" once more
    And it starts again, born at 20, and says "ready"
    Then the 2 calls of the earlier lifetime end at once
    And no place of the target is taken

  Scenario: Calls that the next lifetime may run are not ended
    Given a mesh with two calendar hosts
    And only the first host has a target
    And the target of the first host said "ready" in a lifetime born at 10
    And the targets work 1 s
    When 2 callers ask "/slow/", and all places of the target are taken
    And it starts again, born at 20, and says "ready"
    Then the 2 calls are answered 200

  Scenario: Learned work times are forgotten also after a target was missing
    Given a mesh with two calendar hosts
    And the target of the first host said "ready" in a lifetime born at 10
    And its daemon has learned that its work takes 900 ms
    When another target answers at its address
    And it starts again, born at 20, and says "ready"
    Then its daemon does not know how long its work takes

  Scenario: A target that reports its start later has not ended
    Guards against a request being suspected of a crash that did not happen.  A
    health check, which carries no start time, had opened the gate; the first
    report carried one, and was taken for another lifetime.
    Given a mesh with two calendar hosts
    And only the first host has a target
    And the targets work 0.3 s
    When 2 callers ask "/slow/", and all places of the target are taken
    And it reports its start for the first time
    Then the 2 calls are answered 200
    And no request is suspected of a crash

  Scenario: A deregistration survives its daemon while the store is unavailable
    Guards against a target that ends during a call, so that its caller gets
    502.  The target had deregistered at a daemon that was leaving.  The row
    could not be written, and after the restart of the daemon a late report
    opened the gate.
    Given two hosts with targets, and the store unavailable
    When the second target deregisters, and its daemon restarts
    And a late report of that target arrives
    Then the gate before it stays closed

  Scenario: A deregistration survives its daemon and an outdated stored row
    The same failure, seen when the store had come back 0.1 s before the late
    report, with a row that was written before the deregistration.
    Given two hosts with targets, and the store unavailable
    When the second target deregisters, and its daemon restarts
    And the store is back, and that daemon knows the rows
    And a late report of that target arrives
    Then the gate before it stays closed

  Scenario: A target whose daemon has restarted serves after two reports
    Given two hosts with targets, and the store unavailable
    When the daemon of the second target restarts
    And the store is back, and that daemon knows the rows
    And two reports of that target arrive
    Then the gate before it opens

  Scenario: Rows that change one by one give the same index as all at once
    Then the same targets get calls, however the rows have changed before
