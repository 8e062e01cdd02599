Feature: The soak
  Seeded faults on real processes; docs/soak.md tells more.

  Scenario: The same seed makes the same plan
    Then plans of 50 seeds are alike twice, and differ from others

  Scenario Outline: Each promise that is broken is seen
    Given books in which <deed>
    Then the soak says that <finding>

    Examples:
      | deed                                            | finding                    |
      | nothing is wrong                                | nothing is broken          |
      | a request that may run once ran twice           | ran 2 times                |
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

  Scenario: A short soak of real processes keeps all promises
    When seed 1 runs on 3 hosts for 4 s
    Then no promise is broken
