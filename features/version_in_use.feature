Feature: The version in use does not follow from the targets that are present
  A bad version got every call, and the old targets were stopped: the daemons
  beside all old targets were restarting when the rollout was ordered, so that
  the ordered version was taken for the one in use.

  Scenario Outline: Which version is recorded as the one in use
    Given a target set with <row>, and <order>
    When its targets have the versions <versions>
    Then <recorded> is recorded, <when>

    Examples: without a record
      | row    | order          | versions    | recorded | when                   |
      | no row | no order       | v1 v1 v2    | v1       | at once                |
      | no row | no order       | empty empty | nothing  | ever                   |
      | no row | an order of v2 | v2 v2 v1    | v1       | at once                |
      | no row | an order of v2 | v2 v2 empty | nothing  | ever                   |
      | no row | an order of v2 | v2 v2       | v2       | if no other is present |

    Examples: a record stands while a target of its version exists
      | row               | order          | versions    | recorded | when                   |
      | v1 in use         | no order       | v1 v2 v2 v2 | nothing  | ever                   |
      | v1 in use         | an order of v2 | v1 v2 v2 v2 | nothing  | ever                   |
      | v1 in use         | no order       | v2 v2 empty | nothing  | ever                   |
      | v1 in use         | no order       | none        | nothing  | ever                   |
      | v1 in use         | no order       | v2 v2       | v2       | if no other is present |
      | v1 in use         | an order of v2 | v2 v2       | v2       | if no other is present |
      | v1 in use         | an order of v3 | v2 v3 v3    | v2       | if no other is present |
      | v2 on trial       | no order       | v2 v2       | nothing  | ever                   |
      | v2 rolled back    | no order       | v2 v2       | nothing  | ever                   |
      | v1 after a move   | no order       | v2 v2       | v2       | if no other is present |

  Scenario: A new record leaves the order of the replaced row carried out
    Given a target set with v1 after a move, and no order
    Then the record of v2 in its place is based on the same order

  # Guards against a rollout that succeeded without a trial.
  Scenario Outline: A bad version gets no more than a trial while daemons are away
    Given a fleet with 3 calendar targets of the version v1
    And 2 hosts whose callers send the calls
    When 1 targets of the version v2 join
    And all of these fail their calls
    And the daemons beside v1 are <ended>, and v2 is ordered <ordered> that
    And callers send calls for 1 s
    Then the version v2 got no calls
    When these daemons start again
    And callers send calls until the operator reads rolled_back
    Then the version v2 failed 20 calls at most

    Examples:
      | ended         | ordered |
      | told to leave | after   |
      | killed        | after   |
      | told to leave | before  |
      | killed        | before  |

  Scenario Outline: All daemons end around the order of a bad version
    Given a fleet with 3 calendar targets of the version v1
    And 2 hosts whose callers send the calls
    When 1 targets of the version v2 join
    And all of these fail their calls
    And all daemons of the set are <ended>, and v2 is ordered after that
    And these daemons start again, those of v2 first
    And callers send calls until the operator reads rolled_back
    Then the version v2 failed 20 calls at most

    Examples:
      | ended         |
      | told to leave |
      | killed        |

  Scenario Outline: A good version succeeds although daemons were away at the order
    Given a fleet with 3 calendar targets of the version v1
    And 2 hosts whose callers send the calls
    When 3 targets of the version v2 join
    And the daemons beside <version> are told to leave, and v2 is ordered after that
    And these daemons start again
    And callers send calls until the operator reads succeeded
    Then no call is in progress at the version v1, and none arrives any more

    Examples:
      | version |
      | v1      |
      | v2      |

  Scenario: Targets without an order get no calls while all others are away
    Given a fleet with 3 calendar targets of the version v1
    And 2 hosts whose callers send the calls
    When 4 targets of the version v2 join
    And the daemons beside v1 are told to leave
    And callers send calls for 1 s
    Then the version v2 got no calls

  Scenario Outline: Which versions get calls once the version in use is recorded
    Given a target set with <row>, and <order>
    Then only targets of <version> get calls

    Examples:
      | row             | order          | version |
      | v1 in use       | no order       | v1      |
      | v1 in use       | an order of v2 | v1      |
      | v2 rolled back  | no order       | v1      |
      | v1 after a move | an order of v2 | v1      |

  # Guards against calls to a version without an order: the health check of a
  # target that had just joined did not tell its version.
  Scenario: A target gets no calls before its version is known
    Given a fleet with 3 calendar targets of the version v1
    And 2 hosts whose callers send the calls
    When a target of the version v2 joins that has not reported yet
    And callers send calls for 1 s
    Then the version v2 got no calls

  Scenario: A target that starts again on its host is called before it reports
    Given a fleet with 3 calendar targets of the version v1
    And 2 hosts whose callers send the calls
    When a host loses power, and its next target has not reported yet
    And callers send calls for 1 s
    Then this target got calls

  Scenario: A set whose targets all run the ordered version succeeds at once
    Given a fleet with 3 calendar targets of the version v2
    When v2 is ordered for them
    Then the rollout has succeeded without a trial

  # Guards against a row that was removed by a daemon that had restarted and
  # knew its target from the row only.
  Scenario Outline: The row of a target that runs on outlives its daemon
    Given a fleet with 3 calendar targets of the version v1
    When the daemon beside one of them is <ended>
    Then its row tells that the target is <state>, of the version v1
    And no other daemon counts it as a member

    Examples:
      | ended                                           | state |
      | told to leave                                   | away  |
      | killed, started and at once told to leave       | away  |
      | told to leave, started and at once told to leave | away  |

  Scenario: The row of a target that has ended does not outlive its daemon
    Given a fleet with 3 calendar targets of the version v1
    When one of them ends, and the daemon beside it is told to leave
    Then its row is removed
