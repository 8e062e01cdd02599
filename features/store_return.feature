Feature: A goodbye that the store never heard of, as the store comes back
  Seen: a target got a call 2.9 s after its goodbye, and ended under it.
  Cause: it had said goodbye to a daemon that was leaving while the store was
  away, so that the row stayed as it was; the next lifetime of the daemon took
  a late report of the target for its presence, a moment after the store was
  back with the old row.
  Proof: the same order of events on a virtual clock, with the store back at
  each 20 ms from 0.3 s before the late report to 0.3 s after it.

  Scenario: No call goes to a target that has said goodbye to an earlier daemon
    When a target says goodbye to a leaving daemon while the store is away
    And the daemon starts again, and a late report of the target comes
    Then at no moment of the store's return does the gate open for it
    And no row of the new daemon says that it is there

  Scenario: A target that is there serves, whenever the store comes back
    When a daemon leaves while the store is away
    And the daemon starts again, and its target reports twice
    Then at each moment of the store's return the gate is open for it
