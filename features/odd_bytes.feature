Feature: Odd bytes from outside end no task and hide nothing beside them
  Rows, messages between daemons and documents may come from another writer, or
  from a process in trouble: deeply nested, with numbers that no field holds, or
  with names of another host.

  # Guards against an exception while a message is read: the connection was left
  # open without an answer.
  Scenario Outline: An odd message of another daemon is refused
    Given a mesh with two calendar hosts
    When another daemon sends the first host a <message>
    Then that message is answered 400
    And 10 requests are all answered 200

    Examples:
      | message                            |
      | relay poll that is nested          |
      | quota request that is nested       |
      | crash notice that is nested        |
      | departure notice that is nested    |
      | evidence query of 10^30            |
      | evidence query of a word           |
      | reservation of ²                   |
      | reservation of 5000 digits         |
      | call of urgency 9                  |
      | call of urgency 10^400             |
      | call of remaining_ms 10^400        |
      | call of goal_ms 10^400             |
      | call of priority 10^30             |
      | call of version 10^30              |
      | call of remaining_ms 5000 digits   |
      | call of workspace 10^400           |

  Scenario: Any message of another daemon is answered or refused
    Given a mesh with two calendar hosts
    Then any message to the first host is answered, and none with 502
    And 10 requests are all answered 200

  # Guards against an exception that is no error of the decoder: it ended the
  # request of the caller, though other targets were sound.
  Scenario Outline: An odd answer of another daemon is refused
    Then an answer of another daemon with <field> is refused

    Examples:
      | field                           |
      | a member that is nested         |
      | a member of 400 digits          |
      | a load of 10^400                |
      | a load of -1                    |
      | a work time of 10^30            |
      | a demand of 10^400              |
      | a wait of 10^400                |
      | a wait of 5000 digits           |

  Scenario: Any answer of another daemon is decoded within bounds or refused
    Then any answer of another daemon is decoded within bounds or refused

  Scenario: Any row that is decoded can be passed on to other daemons
    Then any member row is refused with 6101, or taken and passed on
    And any row of a rollout or order is refused with 6201, or passed on

  # Guards against a document that no relay could encode: it was refused, but
  # the next version was never in force on the relays, and no follower got any.
  Scenario Outline: A document with an odd number is refused whole
    Then a document with the <kind> field <field> of <number> is refused

    Examples:
      | kind    | field           | number |
      | route   | priority        | 10^30  |
      | route   | attempts        | 10^30  |
      | route   | weight          | 10^30  |
      | service | max_connections | 10^30  |
      | tenant  | priority        | 10^30  |
      | tenant  | rate_per_s      | 10^30  |
      | tenant  | burst           | 10^30  |

  Scenario: A version after a document with an odd number is in force
    Given a relay with followers that holds version 1
    When a document of version 2 with a priority of 10^30 is written
    And a sound document of version 3 is written
    Then version 3 is in force, and followers get it

  # Guards against an update without any step, which ended the poll with an
  # exception that is no error of bundles.
  Scenario: Any version in an update of a relay is decoded or refused
    Then any version in an update of a relay is decoded or refused as a bundle

  # Guards against a change between two pages of a table that is not read: the
  # watch went on from the version of the last page.
  Scenario Outline: A change between two pages of a large table is read
    Given a table of <rows> rows
    When a row of the first page is <change> while the second one is read
    Then a watch of the table has <change> it

    Examples:
      | rows | change  |
      | 600  | written |
      | 600  | removed |
      | 600  | added   |
      | 1200 | written |

  # Guards against a row of another writer with the address of a daemon: of two
  # rows with one address the later one counts, so that a sound target got no
  # more calls.
  Scenario Outline: A row with the address of a running daemon hides no target
    Given a mesh with two calendar hosts
    When another writer puts a row with the address of the first host, <how>
    Then all daemons send calls to both hosts again
    And the first host has written its row once for it

    Examples:
      | how                 |
      | of set "nobody"     |
      | of state "draining" |
      | of state "gone"     |
      | of its target       |

  # Guards against refused rows that leave no line: one line was written for all
  # rows of a transaction.
  Scenario Outline: Each odd row of a rollout or order is logged once
    Then 3 odd <rows> of one transaction that are read twice give 3 lines

    Examples:
      | rows     |
      | rollouts |
      | orders   |

  # Guards against a settings file that ended the task which reads it, so that no
  # later settings were applied.
  Scenario Outline: Settings with <value> are refused, and later ones applied
    Given a watcher of the settings file
    When the file is read with <value>
    Then the watcher goes on, and applies the next settings

    Examples:
      | value                         |
      | a field that is nested        |
      | quota_excess=inf              |
      | quota_excess=nan              |
      | budget_ratio=nan              |
      | budget_extra=1e999            |
      | expose_share=inf              |
      | quota_slack=5000 digits       |
      | a store at port 99999         |
      | a store at port -1            |

  # Guards against a whole answer that counts as damaged for one of its fields.
  Scenario Outline: An answer with an odd Keep-Alive field is whole
    Then an answer with "Keep-Alive: <value>" arrives whole

    Examples:
      | value                |
      | timeout=²            |
      | timeout=5000 digits  |
      | timeout=400 digits   |
      | timeout=-1           |
      | timeout=1e999        |
      | timeout              |
