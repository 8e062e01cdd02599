Feature: A request that crashes targets, and targets that crash
  Guards against one request that crashes the targets of a set one after the
  other.  Retried through different hosts, such a request crashed twelve to
  seventeen targets, and reads of the set were refused for twenty seconds.
  Daemons kept no record of a request after it had ended and shared none with
  each other, so that each of them treated each retry as a new request.
  Without quarantine, the first scenario crashes 25 targets in 3 s, and 38 to
  47 if the caller does not wait for answers.

  Scenario: A request that crashes each target that starts it
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    When "/r0/fatal" is requested from each host in turn for 3 s, as others request "/r0/"
    Then at most 4 targets have crashed
    And it was answered 502 where it had run, and else 503 with a retry time
    And 97 % of the others were answered by a target

  Scenario: A replaced target is used although calls still name its predecessor
    Guards against a daemon that closes the gate of a running target: one
    daemon refused every call as "target unknown" for 52 s.  A call that named
    the previous target had arrived after the first report of the new target.
    The new target correctly refused it as misdirected, and the daemon took
    the refusal as the end of the new target.  In that time the target received
    two requests, both misdirected.
    Given a mesh with two calendar hosts
    And only the second host has a target, which works 0.2 s
    When it is replaced while a call that names it is in flight
    Then the new target is open

  Scenario: It stays quarantined for all callers and hosts, and after a power loss
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    When "/r0/fatal" is requested from each host in turn for 1 s, as others request "/r0/"
    And all daemons are killed and start again
    And "/r0/fatal" is requested from each host in turn for 1 s, as others request "/r0/"
    Then at most 4 targets have crashed

  Scenario: It is quarantined while the store is unavailable
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    And the store does not answer
    When "/r0/fatal" is requested from each host in turn for 2 s, as others request "/r0/"
    Then at most 4 targets have crashed

  Scenario: It is quarantined if targets restart at once
    The crash is detected when the next lifetime reports, not by a refused
    connection.
    Given a mesh with 6 calendar hosts whose targets come back after 0 s
    When "/r0/fatal" is requested from each host in turn for 2 s, as others request "/r0/"
    Then at most 6 targets have crashed

  Scenario: A request that may run only once, and crashes targets
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    When "/once/fatal" is requested from each host in turn for 2 s, as others request "/r0/"
    Then at most 4 targets have crashed
    And no attempt of it ran twice

  Scenario Outline: A popular request that does no harm is not quarantined
    Given a mesh with 6 calendar hosts whose targets come back after 0.3 s
    When "<url>" is requested from each host in turn for 3 s, as targets crash because of <cause>
    Then none of its callers was told that it is quarantined
    And 95 % of its callers were answered by a target

    Examples:
      | url      | cause                        |
      | /r0/same | unrelated faults             |
      | /r0/same | unrelated faults, together   |
      | /r0/same | another request              |

  Scenario: Calls go to hosts whose target listens
    Guards against a host whose crashed target refuses calls at once, so that
    the host looks idle and attracts all calls.  This caused 1,889 of
    3,655 failed attempts in six seconds.
    Given a mesh with 6 calendar hosts whose targets come back after 60 s
    When 4 of the targets crash
    Then 40 calls of each host are answered, and few attempts fail
