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
