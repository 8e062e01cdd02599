Feature: Work that a leaving daemon cannot end
  Guards against passing a request on although its work is known to take longer
  than the daemon has left.  Its target works until the daemon ends; the caller
  gets 504 or 502 and does not know whether the request ran.  With a grace time
  of 6 s, 62 of 292 requests with 4 s of work ended so.

  Background:
    Given a mesh with two calendar hosts
    And a third host whose target serves something else

  # Guards against starting work at the callers' daemon that outlasts it.
  Scenario Outline: Callers of a leaving daemon are told that long work is not run
    Given a <kind> route "/known/" whose work takes 1 s
    When the first host has 2 s to shut down, and 0.85 s later 3 callers ask it for "/known/"
    Then each of them is told to close, and to return
    And none of these requests ran

    Examples:
      | kind           |
      | safe           |
      | non_idempotent |

  # Guards against callers that return while the same daemon still refuses.
  Scenario: Callers are told to return once the daemon has ended
    Given a safe route "/known/" whose work takes 1 s
    When the first host has 2 s to shut down, and 0.85 s later 3 callers with 2000 ms ask it for "/known/"
    Then each of them is told to return after 1.7 s of that time

  # Guards against starting work for peers that outlasts the target's daemon.
  Scenario Outline: Long work goes to a daemon that stays
    Given a <kind> route "/known/" whose work takes 1 s
    And the store is reset
    When the first host has 2 s to shut down, and 0.85 s later 6 callers ask the third for "/known/"
    Then each of them gets status 200
    And each of these requests ran once

    Examples:
      | kind           |
      | safe           |
      | non_idempotent |

  Scenario: Long work is refused as not run where all its daemons leave
    Given a non_idempotent route "/known/" whose work takes 1 s
    And the store is reset
    When both calendar hosts have 2 s to shut down, and 0.85 s later 3 callers ask the third for "/known/"
    Then each of them is told to return
    And none of these requests ran

  # Guards against a daemon that is avoided for short work too.
  Scenario Outline: Short work is served until the daemon stops serving
    Given a safe route "/known/" whose work takes 1 s
    And a non_idempotent route "/short/" whose work takes 0.05 s
    And the store is reset
    When <hosts> 2 s to shut down, and 0.85 s later 3 callers ask <asked> for "/known/" and "/short/"
    Then each of them gets status 200 for "/short/"
    And none of these requests ran for "/known/"

    Examples:
      | hosts                    | asked     |
      | the first host has       | it        |
      | both calendar hosts have | the third |

  Scenario: Long work is served while it ends before the daemon does
    Given a non_idempotent route "/known/" whose work takes 1 s
    When the first host has 2 s to shut down, and 0.1 s later 3 callers ask it for "/known/"
    Then each of them gets status 200

  # Guards against a repeat that only holds the answer back until the end.
  Scenario: A retry that would outlast the daemon is not begun
    Given a safe route "/known/" whose work takes 1 s
    And the targets are reset
    When the first host has 2 s to shut down, and 0.1 s before 2 callers ask the first for "/known/"
    Then each of these requests ran once

  # Guards against refusing retries once the daemon takes no new requests.
  Scenario: A retry that ends before the daemon is begun until then
    Given a safe route "/short/" whose work takes 0.3 s
    And the store is reset
    And the target of the first host is failing
    When the first host has 2 s to shut down, and 0.85 s later 6 callers ask it for "/short/"
    Then each of them gets status 200

  # Guards against refusing what the daemon would not cut.
  Scenario: A request whose own time ends before the daemon does is served
    Given a non_idempotent route "/known/" whose work takes 1 s
    When the first host has 2 s to shut down, and 0.6 s later 3 callers with 500 ms ask it for "/known/"
    Then each of these requests ran once

  # Guards against calls that wait for a slot until the daemon cannot end them.
  Scenario: Calls that wait are refused once their daemon cannot end them
    Given a non_idempotent route "/known/" whose work takes 1 s
    And targets with one slot
    When both calendar hosts have 2 s to shut down, and 0.1 s before 4 callers ask the first for "/known/"
    Then 2 of them get status 200
    And the others are told to return, and did not run

  # Guards against a refusal that the previous version cannot read: its sender
  # would not know whether the call ran.
  Scenario: Daemons of the previous version read the refusal
    Then they read a call refused for the end of its daemon as one that is leaving
