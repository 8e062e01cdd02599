Feature: A request that ends targets, and targets that end
  Seen: one request, asked again and again at any host, ended twelve to
  seventeen targets of one set, and reads of that set were refused for twenty
  seconds.  It came about as each repeat was a request of its own to every
  daemon.  Cause: nothing that was learnt of a request outlived it, or reached
  another daemon.  Proof: the first scenario, in which 25 targets ended in 3 s
  on the code of that time, and 38 and 47 where asks did not wait.

  Scenario: A request that ends each target that begins it
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    When "/r0/fatal" is asked at each host in turn for 3 s, as others ask "/r0/"
    Then 4 targets have ended at most
    And it was told 502 where it had run, and else 503 with a time to return
    And 97 % of the others were answered by a target

  Scenario: A target that is back is used, whoever still names the one before
    Seen: a target lived for 52 s beside a daemon that refused each call as
    for an unknown target.  A call that named the target before it came after
    the first report of the new one, which refused it, rightly; the daemon
    took that for the end of the target that had just reported itself.  Proof:
    the journal of that target, two requests in all, both misdirected.
    Given a mesh with two calendar hosts
    And only the second host has a target, which works 0.2 s
    When it is replaced while a call that names it is on its way
    Then the target that is there is open

  Scenario: It is held back whoever asks, where, and after a loss of power
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    When "/r0/fatal" is asked at each host in turn for 1 s, as others ask "/r0/"
    And all daemons are killed and start again
    And "/r0/fatal" is asked at each host in turn for 1 s, as others ask "/r0/"
    Then 4 targets have ended at most

  Scenario: It is held back while the store is away
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    And the store answers nothing
    When "/r0/fatal" is asked at each host in turn for 2 s, as others ask "/r0/"
    Then 4 targets have ended at most

  Scenario: It is held back where targets are back at once
    The end is seen by the next lifetime, not by a connection that is refused.
    Given a mesh with 6 calendar hosts whose targets come back after 0 s
    When "/r0/fatal" is asked at each host in turn for 2 s, as others ask "/r0/"
    Then 6 targets have ended at most

  Scenario: A request that may run once, and ends targets
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    When "/once/fatal" is asked at each host in turn for 2 s, as others ask "/r0/"
    Then 4 targets have ended at most
    And no attempt of it ran twice

  Scenario Outline: The very same request does no harm
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    When "<url>" is asked at each host in turn for 3 s, as targets end for <cause>
    Then none of its askers was told that it is held back
    And 95 % of its askers were answered by a target

    Examples:
      | url      | cause                          |
      | /r0/same | a cause of their own           |
      | /r0/same | a cause of their own, together |
      | /r0/same | another request                |

  Scenario: Calls go where a target listens
    A host whose target was gone refused at once, looked idle, and drew all
    calls: 1,889 of 3,655 failed attempts in six seconds.
    Given a mesh with 6 calendar hosts whose targets come back after 60 s
    When 4 of the targets end
    Then 40 calls of each host are answered, and few attempts fail
