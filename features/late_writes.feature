Feature: A late write never stays over what the running daemon says
  The store may execute a write seconds after its answer was lost, if its
  condition still holds: the row is at the same revision.  A row that already
  had the wanted content was not written again, so the condition held on.

  # Guards against a running target being hidden by its row: the last write of
  # the ended process, "away", took effect after the next process had found the
  # row as it wanted it.
  Scenario: The late write of an ended process
    Given a daemon whose row is A
    When its write of B is lost, and the next process wants A
    And the lost writes take effect
    Then the row is A

  # Guards against the same with one process that changes its mind twice.
  Scenario: An earlier late write of the same process
    Given a daemon whose row is A
    When its write of B is lost, and the same process wants A
    And the lost writes take effect
    Then the row is A

  # Guards against a row that stays overwritten although the daemon sees it.
  Scenario: A late write that has taken effect is corrected
    Given a daemon whose row is A
    When another writer writes B, and the daemon is told
    Then the row is A

  Scenario: A row that is as wanted is written once by each process
    Given a daemon whose row is A
    When the next process wants A, three times
    Then the row was written 2 times

  Scenario: In any order of writes, losses, restarts and notices
    Then the row is what the last process wants, whatever happened before

  # Guards against a set that is moved to an untried version after its targets
  # have returned: the record that nobody wants any more was written late.
  Scenario: A late record of the version in use
    Given targets of v1 that are recorded as in use, and leave for long
    When the record of v2 is lost, and the targets of v1 return
    And the lost record takes effect
    Then v1 is in use

  # Guards against a departure being acknowledged because a daemon that has
  # forgotten it once held it.
  Scenario: An earlier witness does not hold a later departure
    Given a daemon without the store whose peers answer once
    Then it holds a departure the first time, and not the second time
