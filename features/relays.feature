Feature: Relays watch the store for the others
  In a large fleet a few daemons watch the store, and the others poll them.

  Scenario: Member rows of the store and of other daemons merge correctly
    Then member logs agree with the store for any order of updates

  Scenario: A version is the same in full and by differences
    Then each held version can be updated to the newest one

  Scenario Outline: A corrupted update is refused as a whole
    Given an update of a version by differences
    When <damage>
    Then they are refused with code <code>

    Examples:
      | damage                              | code |
      | a difference is truncated           | 1101 |
      | the last difference is missing      | 1106 |
      | the base version is another one     | 1107 |
      | the full bundle has another digest  | 1106 |

  Scenario Outline: All daemons choose the same relays, by their links
    Given <hosts> hosts of one data centre, <fast> of them with fast links
    Then <relays> relays are chosen, including all <fast> with fast links

    Examples:
      | hosts | fast | relays |
      | 1     | 0    | 1      |
      | 25    | 2    | 2      |
      | 100   | 3    | 4      |

  Scenario: A few hosts watch the store, and all get its updates
    Given a mesh of 5 hosts with relays
    Then 2 hosts watch the store
    When version 2 is written
    Then all hosts have version 2, and 2 hosts have read it in full

  Scenario: A new member becomes known to all hosts
    Given a mesh of 5 hosts with relays
    When another host starts
    Then all hosts know 6 members

  Scenario: No version is missed when both relays are killed
    Given a mesh of 5 hosts with relays
    When both relays are killed
    And version 2 is written
    Then all remaining hosts have version 2

  Scenario: Relays that stop answering are replaced
    Given a mesh of 5 hosts with relays
    When both relays stop answering polls
    And version 2 is written
    Then all remaining hosts have version 2

  Scenario: Relays that have lost the store are replaced
    Given a mesh of 5 hosts with relays
    When both relays lose contact with the store
    And version 2 is written
    Then all remaining hosts have version 2

  # Guards against versions and members being late on all followers when both
  # relays lose the store without notice: they were relied on until they
  # noticed, longer than a version may take.
  Scenario: Followers ask the store when their relays have no recent proof
    Given a mesh of 6 hosts with relays
    When both relays lose the store without notice
    And version 2 is written
    And another host starts
    Then all remaining hosts have version 2 and know 7 members
    And both relays take themselves to be in contact with the store
    When the relays reach the store again
    Then 2 hosts watch the store

  Scenario Outline: The steps until a version is in force fit into its time
    Given versions that must be in force within <apply> ms
    Then relays get proofs more often than they ask for one
    And they ask before their followers turn to the store
    And followers have <left> ms left for that

    Examples:
      | apply | left |
      | 2000  | 600  |
      | 2500  | 750  |
      | 8000  | 2400 |

  # Guards against an answer that was read late, such as after a pause of the
  # process, counting as a proof of that moment.
  Scenario Outline: A proof is as old as the answer that gives it
    Given answers of the store that arrive at <arrivals> s
    And tell <clocks> s on its clock
    Then the last one was sent at <sent> s

    Examples:
      | arrivals | clocks | sent |
      | 10 11    | 50 51  | 11   |
      | 10 14    | 50 51  | 11   |
      | 14 15    | 50 55  | 15   |
      | 10 100   | 50 20  | 100  |

  Scenario: Watches of two tables end by turns
    Given two watches of 2000 ms that begin together
    When each is repeated 10 times
    Then they end 1000 ms after each other
    And each was called 10 times in 19 s at least

  Scenario: Relays are kept when the store drops its history
    Guards against relays that report a loss of the store while they read it
    again.  Their followers then read the whole document themselves: 88 hosts
    with links of 3.5 Mbit/s had full links for a second, connection attempts
    timed out, and calls waited 0.7 s before they were sent.
    Given a mesh of 5 hosts with relays
    When the store drops its history 3 times, with a version after each
    Then all hosts have version 4
    And only the 2 relays have read the document since

  Scenario: A relay is kept when it loses a connection to the store
    Given a mesh of 5 hosts with relays
    When the store resets all connections for 0.3 s and drops its history
    And version 2 is written
    Then all hosts have version 2
    And only the 2 relays have read the document since

  Scenario: After a full read of the members, a relay sends only the changes
    Given a relay that knows 88 members, and a follower
    When the relay reads the full list again, with a row added and one removed
    Then the follower gets these 2 changes only, and both know the same members

  Scenario: A full version replaces a difference that cannot be applied
    Given a mesh of 5 hosts with relays
    When the differences kept by the relays are corrupted
    And version 2 is written
    Then all hosts have version 2

  Scenario: No full version is requested once the daemon has it
    Given a mesh of 5 hosts with relays
    When a daemon has rejected a difference, and got its version elsewhere
    Then its next polls are held, and it requests no full version again

  Scenario: A small mesh has no relays
    Given a mesh of 2 hosts with relays
    Then 2 hosts watch the store

  Scenario: During a store outage each daemon makes one call at a time
    Given a mesh of 5 hosts with relays
    When the store refuses all calls for 5 s
    Then it got at most 60 calls
    And 2 hosts watch the store
    When version 2 is written
    Then all hosts have version 2

  Scenario: At the first start of all hosts no daemon assumes a small fleet
    Given a mesh of 6 hosts that all start for the first time
    Then 2 hosts watch the store
    And all hosts have version 1
    And 2 hosts have read the document in the store
    And the store was written 6 times
