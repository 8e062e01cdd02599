Feature: What targets state about themselves in their answers
  A target in need states how many requests a second it takes from all callers
  together.

  # Guards against a target that gets its usual load although it states a limit.
  Scenario: The limit that a target states bounds the calls of all daemons
    Given a mesh with two calendar hosts and a third one without a target
    And the target of the first host states a limit of "10"
    When callers of all hosts ask for 5 s
    Then the first target gets no more than its limit allows
    And every caller is answered
    And no retry was spent

  # Guards against a target that stays slow after it has stopped stating a limit.
  Scenario: A target gets its usual load once it states no limit any more
    Given a mesh with two calendar hosts and a third one without a target
    And the target of the first host states a limit of "2"
    When callers of all hosts ask for 1 s
    And the target of the first host states no limit
    And callers of all hosts ask for 2 s
    Then the first target gets more than 20 requests in the last second

  # Guards against callers that wait for a target that takes nothing in time.
  Scenario: What fits nowhere is refused at once with a true retry time
    Given a mesh with two calendar hosts and a third one without a target
    And the targets of both hosts state a limit of "0.25"
    When callers of all hosts ask for 3 s
    Then each target got at most 2 requests since the first second
    And those refused had not run, and were told to return once a call fits
    And no retry was spent

  # Guards against a limit of 0 that nothing would ever show to have ended.
  Scenario Outline: A target that takes nothing is asked for its health
    Given a mesh with two calendar hosts and a third one without a target
    And the targets of both hosts state a limit of "0" <where>
    When callers of all hosts ask for 3 s
    And the targets of both hosts state no limit
    And callers of all hosts ask for <after_s> s
    Then the targets got at most 5 health checks each
    And callers were answered in the last second

    Examples:
      | where                         | after_s |
      | in all answers                | 3       |
      | but not in their health check | 6       |

  # Guards against a restarted daemon that lets everything pass until its target
  # has answered.
  Scenario Outline: A restarted daemon keeps to the limit that others were told
    Given a mesh with two calendar hosts and a third one without a target
    And the target of the first host has 40 slots, works 0.5 s and is alone
    And the target of the first host states a limit of "2" <where>
    When 15 callers of each host ask for 2 s
    And the daemon of the first host is killed and started again
    And 15 callers of each other host ask for 2 s
    Then the first target gets no more than its limit allows

    Examples:
      | where                         |
      | in all answers                |
      | but not in their health check |

  # Guards against a burst at a target whose daemon has not heard of its limit.
  Scenario: Calls tell a restarted daemon the limit that their senders know
    Given a mesh with two calendar hosts and a third one without a target
    And the target of the first host has 40 slots, works 0.5 s and is alone
    And the target of the first host states a limit of "2" but not in their health check
    When the daemon of the first host is killed and started again
    And 20 calls arrive there whose senders know a limit of 2
    Then its target got at most 2 of them before its first answer

  # Guards against a target that gets calls after its answers said that it is
  # leaving, because a table or a restarted daemon takes it for ready.
  Scenario Outline: Who was told that a target is leaving sends nothing more
    Given a mesh with two calendar hosts and a third one without a target
    And the targets work 0.1 s
    When callers of all hosts ask for 1 s
    And the target of the first host begins to state that it is leaving
    And callers of each other host ask for 1 s
    And <event>
    And its target reports that it is ready
    And callers of each other host ask for 1 s
    Then the first target got nothing from hosts that were told
    And callers were answered in the last second

    Examples:
      | event                                                    |
      | the daemon of the first host is killed and started again |
      | all rows say that its target is ready                    |

  # Guards against a target that is asked by all daemons until its report comes.
  Scenario: A target that states that it is leaving is closed for all
    Given a mesh with two calendar hosts and a third one without a target
    When the target of the first host begins to state that it is leaving
    And callers of all hosts ask for 1 s
    And its target reports that it is ready
    Then the first target got at most 3 requests
    And all daemons know that the first target is draining

  # Guards against a set whose targets all leave and are asked nevertheless.
  Scenario: Where all targets leave, callers are told to return
    Given a mesh with two calendar hosts and a third one without a target
    When both targets begin to state that they are leaving
    And callers of all hosts ask for 1 s
    And all rows say that both targets are ready
    And callers of each other host ask for 1 s
    Then both targets got nothing in that time
    And all callers were told to return

  Scenario Outline: The value of the field that states that a target leaves
    When a target states "<value>" in the field for leaving targets
    Then it is <state>, and SDG-6301 is <logged>

    Examples:
      | value | state   | logged     |
      | 1     | leaving | not logged |
      | 0     | staying | not logged |
      | yes   | staying | logged     |

  # Guards against a target that a malformed limit keeps open.
  Scenario: A malformed limit hides nothing else
    When a target states the limit "many" and that it is leaving
    Then it is leaving, and SDG-6301 is logged

  Scenario: Targets that are leaving are remembered longest
    When a target states that it is leaving, and 5000 others a limit
    Then the first one is still known to be leaving
    And its next lifetime under the same name is not

  Scenario Outline: A malformed limit is ignored and logged
    When the target states "<before>", and then "<field>"
    Then its limit is <limit>, and SDG-6301 is <logged>

    Examples:
      | before | field   | limit | logged     |
      | none   | 12.5    | 12.5  | not logged |
      | none   | 0.2     | 0.2   | not logged |
      | none   | 0       | 0     | not logged |
      | none   | -1      | none  | logged     |
      | none   | nan     | none  | logged     |
      | none   | 1e3     | none  | logged     |
      | none   | inf     | none  | logged     |
      | none   | 5, 7    | none  | logged     |
      | none   | .       | none  | logged     |
      | none   | ٣       | none  | logged     |
      | 5      | ten     | 5     | logged     |
      | 5      | none    | none  | not logged |
      | 5      | 5.      | 5     | logged     |

  Scenario Outline: Answers that overtake one another
    When answers arrive that <first> and then <second>
    Then the limit in force is <limit>

    Examples:
      | first                    | second                   | limit |
      | asked at 1 stated 10     | asked at 3 stated 20     | 20    |
      | asked at 1 stated 10     | asked at 1 stated 20     | 10    |
      | asked at 1 stated 20     | asked at 1 stated 10     | 10    |
      | asked at 1 stated 10     | asked at 1 stated none   | 10    |
      | asked at 1 stated 10     | asked at 3 stated none   | none  |
      | asked at 1 stated none   | asked at 0 stated 10     | 10    |

  Scenario: No order of answers lifts a limit that the target still states
    Then after any answers the limit is no higher than the target states
    And it is exactly that once an answer came to a later request

  Scenario: No window gets more than the limit and one burst
    Then no sequence of limits and calls exceeds them in any window

  Scenario Outline: A limit belongs to one lifetime of a target
    When the target <first> states 5, and then the target <second> answers
    Then the limit in force is <limit>

    Examples:
      | first       | second      | limit |
      | i-1         | i-1         | 5     |
      | i-1         | i-2         | none  |
      | i-1 born 10 | i-1 born 20 | none  |
      | i-1         | i-1 born 20 | 5     |

  Scenario: The limits that senders remember are bounded
    When 5000 targets state a limit in turn
    Then at most 2048 of them are remembered
