Feature: Requests of a daemon that shuts down
  Guards against closing the connection of a request before its answer is
  delivered, although the daemon accepted the request after the shutdown signal
  and its target has answered.  In a rolling restart, with a grace time of
  5.6 s and callers that waited 7 s, connections of such requests were closed
  2.9 and 3.6 s after their targets had answered, while the answers were still
  in transfer over full links.  This happens when the deadline of a request is
  not limited by the end of the daemon, or when an answer that has been written
  to the socket no longer counts as in flight.  An answer that is late for any
  reason reproduces it.

  Background:
    Given a mesh with two calendar hosts

  Scenario Outline: A request that outlasts its daemon is answered
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the first host has 2 s to shut down, <when> a caller asks "/long/"
    Then the caller gets status 504 in the last third of that time

    Examples:
      | when   |
      | after  |
      | before |

  Scenario: The deadline of a target is limited by the grace time of the daemon
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the first host has 2 s to shut down, after a caller asks "/long/"
    Then each target got a deadline of less than 2 s

  Scenario: A daemon that was stopped does not count that time as idle
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 4 s
    When the first host has 8 s to shut down, and is stopped for 0.5 s
    Then the request that it had accepted before is answered 200

  # Guards against an end that is late itself, and so cuts requests in the moment
  # in which they were to be answered.
  Scenario Outline: A daemon that was stopped as its time ended answers first
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the first host has <grace> s to shut down, and is stopped until <left> s before its end
    Then the caller gets status 504 in the last third of that time

    Examples:
      | grace | left |
      | 2     | 0.15 |
      | 6     | 0.3  |
      | 6     | 0.1  |

  Scenario: An answer that its caller reads slowly is not cut
    Given answers of 12000000 bytes
    When a slow reader calls a daemon that then shuts down within 8 s
    Then it reads the complete answer

  Scenario: A request sent while its connection closes aborts no answer
    Given answers of 300000 bytes
    When a slow reader of a leaving daemon sends another request
    Then it reads the complete answer

  Scenario: A pipelined request is not forwarded after the last answer
    When a caller of a leaving daemon pipelines requests after a quick one
    Then each request that ran is answered

  Scenario: A request that is completed too late is refused and not run
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the end of a request with 9000 ms left reaches a leaving daemon
    Then it gets status 503 within 1 s
    And no target ran it

  Scenario: A request that ends before its daemon does is served
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 0.2 s
    When the end of a request with 4000 ms left reaches a leaving daemon
    Then it gets status 200 within 1 s

  Scenario Outline: Work is not aborted before the last sixth of the grace time
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the first host has <grace> s to shut down, before a caller asks "/long/"
    Then the caller gets status 504 in the last sixth of that time

    Examples:
      | grace |
      | 1     |
      | 2     |
      | 6     |

  Scenario: The deadline of a retry is limited by the grace time of the daemon
    Given a third host that is ready
    And a route "/long/" with a timeout of 10000 ms
    And the targets work 1 s
    And the targets are reset
    When the first host has 6 s to shut down, before a caller asks "/long/"
    Then each later attempt got a deadline of less than 6 s

  Scenario: A request that ends at the shutdown deadline raises no error
    Given a route "/long/" with a timeout of 300 ms
    And the targets work 8 s
    When the shutdown deadline of the first host passes as a request ends
    Then the daemon has left

  Scenario: Unread requests of a connection are read before it is closed
    Given answers of 20000 bytes
    When a slow reader of a leaving daemon pipelines too many requests
    Then its connection is not reset

  # Guards against the reset of connections that wait to be accepted.
  Scenario Outline: A connection made as a daemon stops listening gets an answer
    When the first host stops listening just after <count> <callers> connected
    Then each of them gets an answer

    Examples:
      | count | callers |
      | 1     | callers |
      | 200   | callers |
      | 20    | peers   |

  # Guards against a reset between the last accept and the close of a port.
  Scenario: No connection is made after the last accept
    When a caller connects after the last accept of a leaving daemon
    Then no caller is connected
