Feature: A connection that is about to open
  Seen: a daemon whose store resets connections did not end, once in some
  twelve stops, and its watches went on; the tests' process never ended.
  Cause: asyncio.wait_for returns the result of what has just ended instead of
  the cancellation that comes in the same turn of the loop, so the task that
  was to end goes on.
  Proof: attempts that are cancelled in each turn until they would be done.

  Scenario: An attempt to connect ends in whichever turn it is cancelled
    Given a server that accepts connections
    When attempts to connect to it are cancelled in each of their turns
    Then each of these attempts has ended as cancelled
    And none of them has left a connection open

  Scenario: An attempt to connect ends in time
    Given a server that accepts no connections
    When an attempt to connect to it has 100 ms
    Then it has failed, and was not refused
