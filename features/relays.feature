Feature: Relays watch the store for the others
  In a large fleet few daemons watch the store; the others poll them.

  Scenario: Member rows are the store's, whoever tells them
    Then logs that learn from the store and each other in any order are right

  Scenario: A version is the same, whole or by differences
    Then any version held leads to the newest one

  Scenario Outline: News that are damaged are refused whole
    Given news of a version by differences
    When <damage>
    Then they are refused with code <code>

    Examples:
      | damage                             | code |
      | a difference is cut short          | 1101 |
      | the last difference is left out           | 1106 |
      | they start from another version    | 1107 |
      | the whole bundle has another digest | 1106 |

  Scenario Outline: Relays are chosen by their links, alike everywhere
    Given <hosts> hosts of one data centre, <wide> of them with wide links
    Then <relays> relays are chosen, among them all <wide> wide ones

    Examples:
      | hosts | wide | relays |
      | 1     | 0    | 1      |
      | 25    | 2    | 2      |
      | 100   | 3    | 4      |

  Scenario: Few hosts watch the store, and all have its news
    Given a mesh of 5 hosts in which relays serve
    Then 2 hosts watch the store
    When version 2 is written
    Then all hosts have version 2, and it was read whole by 2 hosts

  Scenario: A new member is known everywhere
    Given a mesh of 5 hosts in which relays serve
    When another host starts
    Then all hosts know 6 members

  Scenario: Both relays die, and no version is missed
    Given a mesh of 5 hosts in which relays serve
    When both relays are killed
    And version 2 is written
    Then all hosts that live have version 2

  Scenario: Relays that stand still are given up
    Given a mesh of 5 hosts in which relays serve
    When both relays stand still
    And version 2 is written
    Then all hosts that live have version 2

  Scenario: Relays that do not hear the store are given up
    Given a mesh of 5 hosts in which relays serve
    When both relays lose the store
    And version 2 is written
    Then all hosts that live have version 2

  Scenario: A store that forgets its history loses no relay
    Relays said that they did not hear the store while they read it anew.  All
    others read the whole document themselves: 88 hosts with links of 3.5
    Mbit/s had full links for a second, connects timed out, and calls waited
    for 0.7 s before they were sent.
    Given a mesh of 5 hosts in which relays serve
    When the store forgets its history 3 times, with a version after each
    Then all hosts have version 4
    And only the 2 relays have read the document since

  Scenario: A relay that loses a connection to the store is kept
    Given a mesh of 5 hosts in which relays serve
    When the store cuts all connections for 0.3 s and forgets its history
    And version 2 is written
    Then all hosts have version 2
    And only the 2 relays have read the document since

  Scenario: A list that was read again is told by what has changed
    Given a relay that knows 88 members, and one who follows it
    When it reads the whole list again, with a member more and one less
    Then it tells the follower of these 2 only, and both know the same members

  Scenario: A difference that does not fit is replaced by a whole version
    Given a mesh of 5 hosts in which relays serve
    When the differences that the relays keep are damaged
    And version 2 is written
    Then all hosts have version 2

  Scenario: A whole version is asked for no longer once there is one
    Given a mesh of 5 hosts in which relays serve
    When a daemon has refused a difference, and got its version elsewhere
    Then it holds its next polls, and asks for no whole version again

  Scenario: A small mesh has no relays
    Given a mesh of 2 hosts in which relays serve
    Then 2 hosts watch the store

  Scenario: While the store is away each daemon asks it by one call at a time
    Given a mesh of 5 hosts in which relays serve
    When the store refuses all calls for 5 s
    Then it was asked 60 times at the most
    And 2 hosts watch the store
    When version 2 is written
    Then all hosts have version 2

  Scenario: On the first start of all nobody takes the fleet for a small one
    Given a mesh of 6 hosts that all start for the first time
    Then 2 hosts watch the store
    And all hosts have version 1
    And 2 hosts have read the document in the store
    And the store was written 6 times
