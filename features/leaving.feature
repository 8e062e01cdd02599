Feature: Requests of a daemon that ends
  Seen: hosts were stopped in turn, and requests that a daemon had taken after
  it was told to leave ended with their connection, 2.9 and 3.6 s after their
  targets had answered.  The answers were still on their way over full links;
  the callers had 7 s, the daemon had 5.6.
  Cause: nothing bounds a request by the end of the daemon that took it, and
  an answer that has been handed to the socket does not count as under way.
  Proof: an answer that comes too late, over any link, brings it about.

  Background:
    Given a mesh with two calendar hosts

  Scenario Outline: A request that outlasts its daemon is answered
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the first host has 2 s to leave, <when> a caller asks "/long/"
    Then the caller is told 504 in the last third of that time

    Examples:
      | when   |
      | after  |
      | before |

  Scenario: A target is given the time that the daemon has
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the first host has 2 s to leave, after a caller asks "/long/"
    Then each target was given less than 2 s

  Scenario: A daemon that stands still does not take that for quiet
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 4 s
    When the first host has 8 s to leave, and stands still for 0.5 s
    Then the request that it had taken before is answered 200

  Scenario: An answer that its caller reads slowly is not cut
    Given answers of 12000000 bytes
    When a slow reader has asked a daemon that then leaves within 8 s
    Then it reads the whole answer

  Scenario: A request that crosses the close of its connection cuts no answer
    Given answers of 300000 bytes
    When a slow reader of a leaving daemon sends another request
    Then it reads the whole answer

  Scenario: A request sent ahead is not passed on behind the last answer
    When a caller of a leaving daemon sends ahead behind a quick request
    Then each request that ran is answered

  Scenario: A request that is whole too late is refused and not run
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the end of a request of 9000 ms reaches a daemon that is leaving
    Then it is told 503 within 1 s
    And no target ran it

  Scenario: A request that ends before its daemon is served to the last
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 0.2 s
    When the end of a request of 4000 ms reaches a daemon that is leaving
    Then it is told 200 within 1 s

  Scenario Outline: Work is not broken off before the last sixth
    Given a route "/long/" with a timeout of 10000 ms
    And the targets work 8 s
    When the first host has <grace> s to leave, before a caller asks "/long/"
    Then the caller is told 504 in the last sixth of that time

    Examples:
      | grace |
      | 1     |
      | 2     |
      | 6     |

  Scenario: A later attempt is given the time that the daemon has
    Given a third host that is ready
    And a route "/long/" with a timeout of 10000 ms
    And the targets work 1 s
    And the targets are reset
    When the first host has 6 s to leave, before a caller asks "/long/"
    Then each later attempt was given less than 6 s

  Scenario: A request that ends as its daemon is told to leave does no harm
    Given a route "/long/" with a timeout of 300 ms
    And the targets work 8 s
    When the first host has no time to leave as a request ends
    Then the daemon has left

  Scenario: A connection that is not read any more is read before its close
    Given answers of 20000 bytes
    When a slow reader of a leaving daemon sends more ahead than is taken
    Then its connection is not reset
