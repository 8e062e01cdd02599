Feature: The soak
  Seeded faults on real processes; docs/soak.md tells more.

  Scenario: The same seed makes the same plan
    Then plans of 50 seeds are alike twice, and differ from others
    And the plans that were there before links were throttled are unchanged
    And plans have suspended hosts, and a request that ends targets, but for those without unplanned work

  Scenario: Callers wait for answers that come too late
    Given books in which nothing is wrong
    Then each caller waits for longer than a request may be held

  Scenario: Links are as narrow as they are throttled
    Then a throttled link moves answers as slowly as it should

  Scenario Outline: A daemon that is told to leave ends by itself, in time
    Given books in which nothing is wrong
    When a daemon that <end> is told to leave within 2 s
    Then the soak says that <finding>

    Examples:
      | end       | finding             |
      | stays     | outstayed its grace |
      | fails     | left with 1         |
      | ends well | nothing is broken   |

  Scenario: A soak that stands still does not take that for a late end
    Given books in which nothing is wrong
    When a daemon that ends soon is told to leave within 0.6 s, while the soak stands still for 1 s
    Then the soak says that nothing is broken

  Scenario Outline: Each promise that is broken is seen
    Given books in which <deed>
    Then the soak says that <finding>

    Examples:
      | deed                                            | finding                    |
      | nothing is wrong                                | nothing is broken          |
      | a request that may run once ran twice           | ran 2 times                |
      | a request ran with a forged key                 | with a forged key          |
      | a forged key was answered                       | was answered with a forged |
      | a forged key was told 401                       | nothing is broken          |
      | a key that is held was told 401                 | was told 401               |
      | a request ran for another workspace             | ran for ['quay']           |
      | a request ran for its workspace                 | nothing is broken          |
      | a key came along to a target                    | its key came along         |
      | a request ran that nobody sent                  | nobody asked for it        |
      | a success is not the caller's own               | is not its own             |
      | a request was told 503 and ran                  | was told 503, and ran      |
      | a request with a route was told 404             | was told 404               |
      | a request was held by a sound daemon            | beyond its deadline        |
      | a request was lost beside planned work          | ended without answer       |
      | a target that had left ran a request            | s late                     |
      | a target worked on more than its slots          | worked on                  |
      | a daemon went back to an older version          | lacks version              |
      | a daemon served nobody after the last fault     | served nobody              |
      | a daemon lacks the newest version               | of 2 in force              |
      | a request reached 4 targets 3.1 s after 3 ends  | targets 4 times more       |
      | a request reached 3 targets 3.1 s after 3 ends  | nothing is broken          |
      | a request reached 9 targets 2.9 s after 3 ends  | nothing is broken          |
      | a request reached 9 targets 3.1 s after 2 ends  | nothing is broken          |

  Scenario Outline: Faults that explain an end are no findings
    Given books in which a request was <end>
    And <fault> then
    Then the soak says that <finding>

    Examples:
      | end                              | fault                          | finding              |
      | held by a sound daemon           | its daemon was paused          | nothing is broken    |
      | held by a sound daemon           | another daemon was paused      | beyond its deadline  |
      | lost beside planned work         | another daemon was killed      | nothing is broken    |
      | lost beside planned work         | its daemon was terminated      | ended without answer |
      | lost beside planned work         | the store was away             | ended without answer |
      | cut beside planned work          | the store was away             | was told 502         |
      | cut beside planned work          | another daemon was killed      | nothing is broken    |
      | lost beside planned work         | a link was narrow              | ended without answer |
      | cut beside planned work          | a link was narrow              | was told 502         |

  Scenario Outline: A leaving daemon answers what it took
    Given books in which a <request>
    And <fault> then
    Then the soak says that <finding>

    Examples:
      | request                                       | fault                                                    | finding                     |
      | request was cut that was sent before SIGTERM  | its daemon was terminated                                | 5.60 s after SIGTERM        |
      | request was cut that was sent 2.9 s after     | its daemon was terminated                                | 5.60 s after SIGTERM        |
      | request was cut that was sent 2.9 s after     | its daemon was terminated, and another daemon was killed | 5.60 s after SIGTERM        |
      | request was cut that was sent 2.9 s after     | its daemon was terminated, and its daemon was killed     | nothing is broken           |
      | request was cut that was sent 3.1 s after     | its daemon was terminated                                | ended without answer        |
      | request was cut that was sent 3.1 s after     | its daemon was terminated, and another daemon was killed | nothing is broken           |
      | request was cut that could still be read      | its daemon was terminated, and another daemon was killed | 5.60 s after SIGTERM        |
      | request was cut that was read for too long    | its daemon was terminated                                | nothing is broken           |
      | long request was told 502 and not answered    | another daemon was terminated                            | nothing is broken           |
      | long request was told 502 and answered        | another daemon was terminated                            | was told 502 without answer |
      | long request was told 502 and answered last   | another daemon was terminated                            | nothing is broken           |
      | long request was told 502, answered elsewhere | another daemon was terminated                            | was told 502 without answer |
      | long request was held                         | another daemon was terminated                            | beyond its deadline         |
      | long request was read slowly                  | another daemon was terminated                            | nothing is broken           |

  Scenario: A short soak of real processes keeps all promises
    When seed 1 runs on 3 hosts for 4 s
    Then no promise is broken

  Scenario: So does one with a request that ends targets, and a suspended host
    When seed 6 runs on 3 hosts for 4 s
    Then no promise is broken
