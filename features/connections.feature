Feature: Cancellation of a connection attempt
  Guards against a lost cancellation.  When the store reset connections, about
  one in twelve attempts to stop a daemon failed: its watch tasks kept running,
  and the test process never ended.  If the inner operation completes in the
  iteration of the event loop in which the task is cancelled, asyncio.wait_for
  returns the result instead of raising the cancellation, and the task
  continues.  The test therefore cancels attempts after every number of loop
  iterations, up to more than an attempt needs.

  Scenario: An attempt to connect can be cancelled at any time
    Given a server that accepts connections
    When attempts to connect to it are cancelled after each number of iterations
    Then each unfinished attempt was cancelled
    And no attempt has left a connection open

  Scenario: An attempt to connect times out
    Given a server that accepts no connections
    When an attempt to connect to it has a timeout of 100 ms
    Then it failed without being refused
