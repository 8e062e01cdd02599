Feature: A target that starts again under its id is a new lifetime
  A target may start again under the id that it had, and then counts its
  reports anew.  Told apart by their ids alone, the first reports of the new
  lifetime were late ones, one that had said that it was leaving was closed
  for good, and a late goodbye closed the one that had come after it.

  Scenario Outline: Reports of two lifetimes with one id
    Given a lifetime of a target told of <first>
    When it tells of <second>
    Then the target is <state> in the lifetime born at <born>

    Examples: a later lifetime is taken at once
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

    Examples: a lifetime whose start was not known is the one that tells it
      | first                | second              | state  | born |
      | ready 1 born 0       | ready 2 born 20     | open   | 20   |
      | ready 2 born 0       | ready 1 born 20     | open   | 0    |
      | draining 1 born 0    | ready 2 born 20     | closed | 0    |

    Examples: one that has ended without a word is opened by its next report
      | first                | second              | state  | born |
      | down 40 born 10      | ready 1 born 20     | open   | 20   |
      | down 40 born 10      | ready 41 born 10    | open   | 10   |
      | down 40 born 10      | ready 40 born 10    | closed | 10   |
      | down 40 born 10      | ready 50 born 5     | closed | 10   |
      | down 40 born 0       | ready 1 born 0      | open   | 0    |
      | down 40 born 10      | draining 41 born 10 | closed | 10   |
      | leaving born 10      | down 40 born 10     | closed | 10   |

  Scenario: Whatever arrives late opens no lifetime that has ended
    Then no order of reports and goodbyes opens a lifetime that has ended

  Scenario: A late report that is settled afterwards brings nothing back
    Given a target beside which another one, born at 10, reported late
    When that one starts again, born at 20, before it is asked who it is
    Then the target is open in the lifetime born at 20

  Scenario Outline: A first report of another id is taken, unless it is strange
    Given a lifetime of a target told of ready 5 born <present>
    When another id reports itself for the first time, born at <other>
    Then <taken> is taken for the target beside the daemon

    Examples:
      | present | other | taken        |
      | 10      | 20    | the other id |
      | 10      | 0     | the same id  |
      | 0       | 0     | the other id |
      | 0       | 20    | the other id |

  Scenario: A peer that starts again under its id is a new one to others
    Given what a daemon has learnt of a target born at 10
    When the row of its host names the same target born at 20
    Then it is cold, its load and work times are not known, and it is open
    And the connections to its daemon are kept

  Scenario: What daemons tell of an earlier lifetime is not believed
    Given a member table that has a target born at 20
    When a daemon tells of the same target born at 10
    Then the member table has it born at 20
    When a daemon tells of the same target born at 30
    And the store's row of it is written again, born at 25
    Then the member table has it born at 30
    When the store's row of it is written again, born at 40
    Then the member table has it born at 40

  Scenario: Rows of the version before, and for it
    Then a member row without the start of its target is decoded
    And the row of a target born at 20 keeps that on its way to others

  Scenario: A gate forgets what it learnt of the earlier lifetime
    Given a gate that learnt of a slow target that refuses
    When its target starts again
    Then its work times and failures are those of a new target

  Scenario: A target starts again under its id while it is draining
    Given a mesh with two calendar hosts
    And the target of the first host said "draining" in a lifetime born at 10
    When it starts again, born at 20, and says "ready"
    Then the first host serves the second, whose own target leaves
    And all daemons have a row of a target born at 20

  Scenario: A late goodbye of the earlier lifetime is acknowledged only
    Given a mesh with two calendar hosts
    And the target of the first host said "ready" in a lifetime born at 10
    When it starts again, born at 20, and says "ready"
    And a goodbye of the lifetime born at 10 arrives late
    Then the first host serves the second, whose own target leaves

  Scenario: Calls of an earlier lifetime do not hold places of the next one
    Given a mesh with two calendar hosts
    And only the first host has a target
    And the target of the first host said "ready" in a lifetime born at 10
    And the targets work 5 s
    When 2 callers ask "/slow/", and all places of the target are taken
    And it says "ready" once more
    And it starts again, born at 20, and says "ready"
    Then the 2 calls of the earlier lifetime end at once
    And no place of the target is taken

  Scenario: Calls that the next lifetime may have are not ended
    Given a mesh with two calendar hosts
    And only the first host has a target
    And the target of the first host said "ready" in a lifetime born at 10
    And the targets work 1 s
    When 2 callers ask "/slow/", and all places of the target are taken
    And it starts again, born at 20, and says "ready"
    Then the 2 calls are answered 200

  Scenario: What was learnt is forgotten also after a target was not there
    Given a mesh with two calendar hosts
    And the target of the first host said "ready" in a lifetime born at 10
    And its daemon has learnt that its work takes 900 ms
    When another target answers at its address
    And it starts again, born at 20, and says "ready"
    Then its daemon does not know how long its work takes

  Scenario: A target that tells its start later has not ended
    Seen in a profile of a calm start: a request was blamed for an end that
    there was not.  A health check, which tells no start, had opened the gate;
    the first report told it, and was taken for another lifetime.
    Given a mesh with two calendar hosts
    And only the first host has a target
    And the targets work 0.3 s
    When 2 callers ask "/slow/", and all places of the target are taken
    And it tells for the first time when it was born
    Then the 2 calls are answered 200
    And no request is blamed for an end

  Scenario: A goodbye outlives its daemon, though the store is away
    Seen: a target that had said goodbye to a daemon that was leaving ended
    under a call, for which its caller got 502.  The row could not be written,
    the daemon had started again, and a late report opened the gate.
    Given two hosts with targets, and the store away
    When the second target says goodbye, and its daemon starts again
    And a late report of that target comes
    Then the gate before it stays closed

  Scenario: A goodbye outlives its daemon, and the store is back with the old row
    Seen: the same, once the store had come back 0.1 s before the late report.
    The row that it had was written before the goodbye.
    Given two hosts with targets, and the store away
    When the second target says goodbye, and its daemon starts again
    And the store is back, and that daemon knows the rows
    And a late report of that target comes
    Then the gate before it stays closed

  Scenario: A target whose daemon has started again serves after two reports
    Given two hosts with targets, and the store away
    When the daemon of the second target starts again
    And the store is back, and that daemon knows the rows
    And two reports of that target come
    Then the gate before it opens

  Scenario: Rows that change one by one, and the same rows at once
    Then whatever rows change in whatever order, the same targets get calls as at once
