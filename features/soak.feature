Feature: Randomized fault injection (soak)
  The soak injects seeded faults into real processes; see docs/soak.md.

  Scenario: A seed always gives the same plan
    Then plans of 50 seeds are reproducible and differ from each other
    And so are the plans of faults around starts and ends
    And losses of power follow each kind of acknowledgement
    And the plans of earlier releases are unchanged but for added faults
    And plans with unplanned faults also have suspended hosts and a request that crashes targets

  Scenario: Callers wait long enough to see overdue answers
    Given soak results in which all is well
    Then each caller waits until after a request is overdue

  # Guards against requests that seem held because their caller looks late.
  Scenario: Callers see at once that a connection ends
    When a caller waits 5 s to pipeline a request, and its connection is closed
    Then its first request ended before it would have sent the second

  Scenario: A throttled link limits its rate
    Then a throttled link forwards answers at its rate

  # Guards against dead connections that a link closes, which peers notice.
  Scenario: Open connections go silent for good while new ones work
    When the open connection of a link to an echo server goes silent
    Then it echoes no more, is not closed, and a new connection echoes

  # Guards against a target that counts requests whose callers have gone.
  Scenario Outline: A target counts a request until its connection is closed
    Given a target of the soak with 4 requests at work
    When <count> of their connections are closed, and it gets <new> requests at once
    Then it ran <most> requests at once

    Examples:
      | count | new | most |
      | 0     | 1   | 5    |
      | 1     | 1   | 4    |
      | 1     | 2   | 5    |
      | 4     | 5   | 5    |

  Scenario Outline: A daemon must exit within its grace time after SIGTERM
    Given soak results in which all is well
    When a daemon that <end> gets SIGTERM and 2 s to exit
    Then the soak reports <finding>

    Examples:
      | end          | finding                    |
      | ignores it   | was killed after its grace |
      | exits with 1 | exited with status 1       |
      | exits with 0 | no violation               |

  Scenario: A blocked soak does not mistake its own delay for a late exit
    Given soak results in which all is well
    When a daemon that exits soon gets SIGTERM and 0.6 s to exit, while the soak is blocked for 1 s
    Then the soak reports no violation

  Scenario Outline: Each violated guarantee is reported
    Given soak results in which <change>
    Then the soak reports <finding>

    Examples:
      | change                                            | finding                        |
      | all is well                                       | no violation                   |
      | a request that may run once ran twice             | ran 2 times                    |
      | a request ran with a forged key                   | with a forged key              |
      | a forged key was answered                         | was answered with a forged     |
      | a forged key got 401                              | no violation                   |
      | a valid key got 401                               | was answered with 401          |
      | a request ran for another workspace               | ran for ['quay']               |
      | a request ran for its workspace                   | no violation                   |
      | an API key reached a target                       | its API key was forwarded      |
      | a request ran that nobody sent                    | no caller sent it              |
      | a success is not the caller's own                 | is not its own                 |
      | a request got 503 and ran                         | was answered with 503, but ran |
      | a request with a route got 404                    | was answered with 404          |
      | a request was overdue at a healthy daemon         | after its deadline             |
      | a request was lost during planned operations      | closed without an answer       |
      | a target that had left ran a request              | s after its draining state     |
      | a target worked on more than its slots            | requests at once               |
      | a target with a limit of 2 got 18 requests in 4 s | more than its limit allows     |
      | a target with a limit of 2 got 17 requests in 4 s | no violation                   |
      | a target with a limit of 0 got 6 requests in 4 s  | more than its limit allows     |
      | a target got 18 requests before its limit bound   | no violation                   |
      | a target got 18 requests of a host that was not told | no violation                |
      | a request reached a leaving target 2.1 s later    | passed on that it is leaving   |
      | a request reached a leaving target 1.9 s later    | no violation                   |
      | a host that was not told asked a leaving target   | no violation                   |
      | a daemon went back to an older version            | lacks version                  |
      | a daemon answered nobody after the last fault     | answered no request            |
      | a daemon lacks the newest version                 | in force, expected 2           |
      | a daemon ended by itself                          | FAULT, a process ended by      |
      | a request reached 4 targets 3.1 s after 3 crashes | targets 4 more times           |
      | a request reached 3 targets 3.1 s after 3 crashes | no violation                   |
      | a request reached 9 targets 2.9 s after 3 crashes | no violation                   |
      | a request reached 9 targets 3.1 s after 2 crashes | no violation                   |
      | a bad version got 61 of 110 requests              | no violation                   |
      | a bad version got 62 of 110 requests              | a bad version got 62 of 110    |
      | a bad version succeeded                           | a bad version succeeded        |
      | a good version was rolled back                    | ended as rolled_back           |
      | a good version was never begun                    | ended as not begun             |
      | a version got 1 request before its order          | 1 requests reached the new     |

  Scenario: A killed daemon explains that a good version was rolled back
    Given soak results in which a good version was rolled back
    And another daemon was killed at that time
    Then the soak reports no violation

  Scenario: Rollouts are ordered amid series of restarts
    Then rollout plans of 50 seeds are reproducible and differ from each other
    And daemons of each version and of both are restarted in them

  Scenario Outline: Failures that a fault explains are not reported
    Given soak results in which a request <end>
    And <fault> at that time
    Then the soak reports <finding>

    Examples:
      | end                                | fault                     | finding                  |
      | was overdue at a healthy daemon    | its daemon was paused     | no violation             |
      | was overdue at a healthy daemon    | another daemon was paused | after its deadline       |
      | was lost during planned operations | another daemon was killed | no violation             |
      | was lost during planned operations | its daemon was terminated | closed without an answer |
      | was lost during planned operations | the store was away        | closed without an answer |
      | got 502 during planned operations  | the store was away        | got 502 instead of       |
      | got 502 during planned operations  | another daemon was killed | no violation             |
      | was lost during planned operations | a link was throttled      | closed without an answer |
      | got 502 during planned operations  | a link was throttled      | got 502 instead of       |

  Scenario Outline: A request that waits at a daemon is not cut off around planned work
    Given soak results in which a waiting request was cut off
    And <fault> at that time
    Then the soak reports <finding>

    Examples:
      | fault                                                    | finding                   |
      | its daemon was terminated                                | LOST, around planned work |
      | its daemon was terminated, and another daemon was killed | no violation              |
      | another daemon was terminated                            | no violation              |

  Scenario Outline: A draining daemon answers the requests it accepted
    Given soak results in which a <request>
    And <fault> at that time
    Then the soak reports <finding>

    Examples:
      | request                                        | fault                                                    | finding                      |
      | request sent before SIGTERM was cut off        | its daemon was terminated                                | 5.60 s after SIGTERM         |
      | request sent 2.9 s after SIGTERM was cut off   | its daemon was terminated                                | 5.60 s after SIGTERM         |
      | request sent 2.9 s after SIGTERM was cut off   | its daemon was terminated, and another daemon was killed | 5.60 s after SIGTERM         |
      | request sent 2.9 s after SIGTERM was cut off   | its daemon was terminated, and its daemon was killed     | no violation                 |
      | request sent 3.1 s after SIGTERM was cut off   | its daemon was terminated                                | closed without an answer     |
      | request sent 3.1 s after SIGTERM was cut off   | its daemon was terminated, and another daemon was killed | no violation                 |
      | request was cut off that could be read in time | its daemon was terminated, and another daemon was killed | 5.60 s after SIGTERM         |
      | request was cut off that took too long to read | its daemon was terminated                                | no violation                 |
      | long request got 502 and no target answered    | another daemon was terminated                            | no violation                 |
      | long request got 502 and its target answered   | another daemon was terminated                            | got 502 instead of an answer |
      | long request got 502, answered too late        | another daemon was terminated                            | no violation                 |
      | long request got 502, answered on another host | another daemon was terminated                            | got 502 instead of an answer |
      | long request was overdue                       | another daemon was terminated                            | after its deadline           |
      | long request was read slowly                   | another daemon was terminated                            | no violation                 |

  Scenario: A short soak of real processes keeps all guarantees
    When seed 1 runs on 3 hosts for 4 s
    Then no guarantee is violated

  Scenario Outline: A short soak of a rollout amid restarts keeps all guarantees
    When seed <seed> rolls out a version on 3 hosts amid 4 s of faults
    Then no guarantee is violated

    Examples:
      | seed |
      | 13   |
      | 10   |

  Scenario: A short soak with a crashing request and a suspended host keeps them
    When seed 6 runs on 3 hosts for 4 s
    Then no guarantee is violated

  # Guards against cuts around starts, ends, settings and dead connections.
  Scenario: A short soak with faults around starts and ends keeps all guarantees
    When seed 2 with faults around starts and ends runs on 3 hosts for 4 s
    Then no guarantee is violated

  # Guards against acknowledgements that are known to one process only.
  Scenario: What was acknowledged before a loss of power still holds
    When seed 1 with 3 losses of power runs on 3 hosts for 1 s
    Then no guarantee is violated
