Feature: A deregistration that the store missed, when the store returns
  Guards against calls to a target that has deregistered: one got a call 2.9 s
  after it had deregistered, and ended while the call ran.  It had
  deregistered with a daemon that was leaving during a store outage, so that
  its row stayed in the store.  The next process of the daemon took a delayed
  report of the target as proof that it was running, just after the store had
  returned with the old row.
  The same sequence runs here on a virtual clock, with the store back at each
  20 ms from 0.3 s before the delayed report to 0.3 s after it.

  Scenario: No call goes to a target that deregistered with an earlier daemon
    When a target deregisters with a leaving daemon while the store is down
    And the daemon starts again, and a delayed report of the target arrives
    Then the gate never opens for it, whenever the store returns
    And the new daemon publishes no row for it

  Scenario: A running target serves requests, whenever the store returns
    When a daemon leaves while the store is down
    And the daemon starts again, and its target reports twice
    Then the gate opens for it, whenever the store returns
