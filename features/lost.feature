Feature: Judges of lost requests and of processes that end
  Each clause of the rules LOST and FAULT has a judge in sedgering/testing/judges/_lost.py.

  # Guards against a clause that no run would ever show as broken.
  Scenario Outline: Each clause is judged up to its bound
    Given a trial in which <record>
    Then the judges report <findings>

    Examples: kept connections of hosts in touch
      | record                                                 | findings            |
      | 4 passed on requests were cut on kept connections      | 4 x KEPT_CONNECTION |
      | 3 passed on requests were cut on kept connections      | nothing             |
      | 4 passed on requests were cut on new connections       | nothing             |
      | 4 waiting requests were cut on kept connections        | nothing             |
      | 4 requests of unsound targets were cut on kept connections | nothing         |
      | 4 passed on requests were cut beside an outage of the store | 4 x KEPT_CONNECTION |
      | 4 passed on requests were cut 2.9 s after a kill of their host | nothing     |
      | 4 passed on requests were cut 3.1 s after a kill of their host | 4 x KEPT_CONNECTION |
      | 4 passed on requests were cut beside a kill of another host | 4 x KEPT_CONNECTION |

    Examples: planned work
      | record                                                     | findings         |
      | a passed on request was cut 1 s after SIGTERM              | 1 x PLANNED_WORK |
      | a passed on request was cut 6.9 s after SIGTERM            | 1 x PLANNED_WORK |
      | a passed on request was cut 7.1 s after SIGTERM            | nothing          |
      | a passed on request was cut 1 s before SIGTERM             | nothing          |
      | a passed on request was cut 1 s after SIGTERM of another host | nothing       |
      | a waiting request was cut 0.21 s after its last byte       | 1 x PLANNED_WORK |
      | a waiting request was cut 0.19 s after its last byte       | nothing          |
      | a request behind another was cut 0.21 s after its last byte | nothing         |
      | a passed on request behind another was cut                 | 1 x PLANNED_WORK |
      | an unread request was cut 0.21 s after its last byte       | nothing          |
      | a passed on request was cut when its time was over         | nothing          |
      | a passed on request was cut just before its time was over  | 1 x PLANNED_WORK |
      | a passed on request was cut when its time was over from its first byte | nothing |
      | a passed on request was cut just before its time was over from its first byte | 1 x PLANNED_WORK |
      | a request was cut whose target broke off                   | nothing          |
      | its caller left 1 s after SIGTERM                          | nothing          |
      | a request sent 2.9 s after SIGTERM was cut with its target at work in the last sixth | nothing |
      | a request sent 3.1 s after SIGTERM was cut with its target at work in the last sixth | 1 x PLANNED_WORK |
      | a request sent 2.9 s after SIGTERM was cut with its target at work before the last sixth | 1 x PLANNED_WORK |
      | a passed on request was cut beside SIGTERM and an outage of the store | 1 x PLANNED_WORK |
      | a passed on request was cut beside SIGTERM and no path to the store | 1 x PLANNED_WORK |
      | a passed on request was cut beside SIGTERM, 2.9 s after a kill | nothing      |
      | a passed on request was cut beside SIGTERM, 3.1 s after a kill | 1 x PLANNED_WORK |
      | a request sent 1.9 s after SIGHUP was cut                  | 1 x PLANNED_WORK |
      | a request sent 2.1 s after SIGHUP was cut                  | nothing          |
      | a request was cut 2.9 s after a configuration              | 1 x PLANNED_WORK |
      | a request was cut 3.1 s after a configuration              | nothing          |
      | a request was cut after a configuration, with 0.69 of its time used | 1 x PLANNED_WORK |
      | a request was cut after a configuration, with 0.71 of its time used | nothing |
      | 31 of 100 requests were cut beside a configuration and 10 of 100 elsewhere | 31 x PLANNED_WORK |
      | 30 of 100 requests were cut beside a configuration and 10 of 100 elsewhere | nothing |

    Examples: own answers after SIGTERM
      | record                                                  | findings            |
      | a target was at work at an own answer after SIGTERM     | 1 x REPLACED_ANSWER |
      | a target was at work at an own answer without SIGTERM   | nothing             |
      | a target had broken off at an own answer after SIGTERM  | nothing             |
      | no target was at work at an own answer after SIGTERM    | nothing             |
      | a target was at work at an own answer when its time was over from its first byte | nothing |
      | a target was at work at an own answer just before its time was over from its first byte | 1 x REPLACED_ANSWER |

    Examples: processes
      | record                                                | findings            |
      | a process ended with status -1 after SIGHUP           | 1 x ENDED_BY_ITSELF |
      | a process ended with status 0 without a signal        | 1 x ENDED_BY_ITSELF |
      | a process ended with status -9 without a kill of ours | 1 x ENDED_BY_ITSELF |
      | a process was killed                                  | nothing             |
      | a process ended with status 0 after SIGTERM           | nothing             |
      | a process ended with status 120 after SIGTERM         | 1 x BAD_STATUS      |
      | a process ended with status -15 after SIGTERM         | 1 x BAD_STATUS      |
      | a process was killed 6 s after SIGTERM                | 1 x OVERRAN_GRACE   |
      | a process was killed 5.9 s after SIGTERM              | nothing             |

  # Guards against excuses that outlast the disruption they come from.
  Scenario Outline: A host is in touch after a calm window
    Given a host with <event> that ended <calm_s> s ago
    Then the host <state> in touch

    Examples:
      | event                 | calm_s | state  |
      | a kill                | 2.9    | is not |
      | a kill                | 3.1    | is     |
      | a kill elsewhere      | 0.1    | is     |
      | an outage of the store | 2.9   | is not |
      | an outage of the store | 3.1   | is     |
      | no path to the store  | 2.9    | is not |
      | connections that go silent | 2.9 | is not |
      | connections that go silent | 3.1 | is    |
      | a SIGTERM             | 2.9    | is not |
      | a SIGTERM             | 3.1    | is     |
      | a faulty target       | 0.1    | is     |
