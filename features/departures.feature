Feature: An acknowledged departure outlives the daemon that acknowledged it
  Guards against calls to a target that has left: after a restart of the daemon
  beside it, delayed reports made the target available again, until it exited
  with calls under way.

  Scenario Outline: A target that has left gets no call after a restart
    Given a mesh whose second target is about to leave
    When that target <leaves>, which is acknowledged
    And its daemon <ends>
    And 4 delayed reports of that target arrive
    Then no call reaches that target
    And its row in the store tells that it has left

    Examples: each way of leaving
      | leaves                             | ends      |
      | reports "draining"                 | is killed |
      | deregisters                        | is killed |
      | reports "draining" and deregisters | is killed |
      | crashes and deregisters            | is killed |

    Examples: each way in which a daemon ends
      | leaves             | ends                               |
      | deregisters        | is killed twice                    |
      | deregisters        | is told to leave                   |
      | reports "draining" | is told to leave                   |
      | deregisters        | is told to leave twice             |
      | deregisters        | is killed and then told to leave   |
      | deregisters        | is told to leave and then killed   |

  Scenario Outline: A target that leaves around the end of its daemon has left
    Given a mesh whose second target is about to leave
    When its daemon <ends>
    And that target <leaves>, which is acknowledged
    And its daemon is killed
    And 4 delayed reports of that target arrive
    Then no call reaches that target
    And its row in the store tells that it has left

    Examples:
      | ends                  | leaves             |
      | begins to leave       | deregisters        |
      | begins to leave       | reports "draining" |

  Scenario Outline: A target that lives is served after a restart as before
    Guards against a departure being seen where there is none, and against a
    restart that takes more reports than before.
    Given a mesh whose second target is about to leave
    And its health check is <health>
    When its daemon <ends>
    And it reports that it is ready <reports> times
    Then that target is available

    Examples:
      | health | ends                             | reports |
      | right  | is killed                        | 0       |
      | right  | is killed twice                  | 0       |
      | right  | is told to leave                 | 0       |
      | right  | is told to leave and then killed | 0       |
      | wrong  | is killed                        | 2       |
      | wrong  | is told to leave                 | 2       |

  Scenario Outline: The next target of the host is served as before
    Guards against a departure being taken for that of the next target.
    Given a mesh whose second target is about to leave
    When that target deregisters, which is acknowledged
    And another one takes its place under <id>, with a health check that is <health>
    And its daemon is killed
    And it reports that it is ready <reports> times
    Then that target is available

    Examples:
      | id          | health | reports |
      | another id  | right  | 0       |
      | another id  | wrong  | 1       |
      | the same id | right  | 1       |
      | the same id | wrong  | 1       |
