Feature: Which requests are quarantined, and for how long
  A dozen requests are running when a target crashes, and one of them may be
  the cause.  A request is quarantined after three crashes without an answer in
  between, the first of which may be of several targets; an answer of any
  target clears it.

  Scenario Outline: Status of a request
    Given a request for which <events> is recorded
    Then it is <status>

    Examples:
      | events                                      | status      |
      | nothing                                     | sound       |
      | crash 1                                     | suspect     |
      | crash 1, trial 2                            | suspect     |
      | crash 1, trial 2, trial 3                   | quarantined |
      | trial 1, trial 2, trial 3                   | quarantined |
      | trial 3, trial 2, crash 1                   | quarantined |
      | crash 1, trial 2, trial 2, trial 2          | suspect     |
      | crash 1, trial 2, crash 2, crash 2          | suspect     |
      | crash 1, crash 2, crash 3, trial 3          | suspect     |
      | crash 1, crash 2, trial 2, trial 1          | suspect     |
      | crash 1, trial 2, trial 3, answer           | sound       |
      | crash 1, trial 2, answer, trial 3           | suspect     |
      | crash 1, answer, crash 1                    | sound       |
      | answer, crash 1, trial 2, trial 3           | quarantined |

    Examples: targets that crash together
      | events                                      | status      |
      | crash 1, crash 2, crash 3, crash 4, crash 5 | suspect     |
      | crash 1, crash 2, crash 3, trial 4          | suspect     |
      | crash 1, crash 2, trial 3, trial 4          | quarantined |

  Scenario: The order in which crashes and answers are reported does not matter
    Then daemons with the same crashes and answers agree

  Scenario: A quarantined request is tried again, less and less often
    Given a request for which crash 1, trial 2, trial 3 is recorded
    Then it may be tried after 120 s
    When trial 4 is recorded after 1 s
    Then it may be tried after 119 s
    When trial 5 is recorded after 121 s
    Then it may be tried after 1200 s
    When trial 6 is recorded after 1201 s
    Then it may be tried after 12000 s
    When an answer is recorded after 12001 s
    Then it is sound

  Scenario: Nothing is quarantined if the limit is 0
    Given a limit of 0 crashes
    And a request for which crash 1, trial 2, trial 3 is recorded
    Then it is sound

  Scenario: The number of known requests is bounded
    Given a request for which crash 1, trial 2, trial 3 is recorded
    When one crash is recorded for each of 2000 other requests
    Then 512 requests are known, and the first one is quarantined

  Scenario: The number of crashes of one request is bounded
    Given a request for which crash 1 is recorded
    When 200 crashes are recorded for it, each followed by an answer
    Then 64 crashes are sent with its calls

  Scenario Outline: Which requests are named when a target with many slots crashes
    Given a target with <count> calls in flight, of which call <trial> runs as a suspect
    When it crashes
    Then 32 requests are named, call <trial> and the latest ones

    Examples:
      | count | trial |
      | 40    | 1     |
      | 200   | 20    |

  Scenario: An old crash is forgotten
    Given a request for which crash 1 is recorded
    When a crash is recorded for another one 7300 s later
    Then 1 requests are known

  Scenario: Old crashes of a member row are ignored
    Given a request for which a row reports 3 crashes of 2 hours ago
    Then it is sound
    Given a request for which a row reports 3 crashes of 0 hours ago
    Then it is quarantined

  # Guards against crashes that are forgotten because a clock is set.
  Scenario Outline: A time of day that jumps does not hide crashes
    Given a request for which a row reports 3 crashes, its clock <offset_s> s ahead
    Then it is quarantined
    Given a daemon that recorded a crash before its clock jumped by <offset_s> s
    When it records another crash
    Then both crashes are in its row

    Examples:
      | offset_s |
      | 10       |
      | -10      |

  Scenario Outline: What makes two requests the same
    Given two requests that differ in <difference>
    Then they are <result> request

    Examples:
      | difference           | result      |
      | nothing              | the same    |
      | their ids            | the same    |
      | their deadlines      | the same    |
      | the port of the host | the same    |
      | the method           | not the same |
      | the host             | not the same |
      | the path             | not the same |
      | the query            | not the same |
      | the body             | not the same |
      | the authorization    | not the same |
      | the cookie           | not the same |

  Scenario Outline: Which suspects run at a target at the same time
    Given a running suspect with <first> crashes
    Then <other> may <run> beside it

    Examples:
      | first | other                      | run     |
      | 1     | the same suspect           | not run |
      | 1     | another one with 1 crashes | run     |
      | 1     | another one with 2 crashes | not run |
      | 2     | another one with 1 crashes | not run |
      | 3     | another one with 3 crashes | not run |

  Scenario: All daemons choose the same host for a suspect
    Given 20 targets of one set
    Then daemons in any data centre choose the same host for each suspect
    And when a target crashes, only its suspects move to other hosts

  Scenario: Daemons of the previous version
    Then they read a refused suspect as a shed request
    And a row without crashes is read, and one with invalid crashes is not
