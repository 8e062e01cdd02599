Feature: What another writer says names no target, and harms nothing
  Rows and reports may come from another writer: fields are missing or of
  another type, a state or a target set is not known, bytes cannot be read.
  One such row made the whole answer of the store unreadable, was logged at
  each read or led to a name look-up; such a report was taken for the word of
  the local target, or ended the connection without an answer.

  Scenario Outline: Rows of the members table that name no target
    Then the row <value> of host "x" is refused with code 6101

    Examples:
      | value                 |
      | of bytes              |
      | of nothing            |
      | of a list             |
      | of null               |
      | cut short             |
      | nested without end    |
      | without target        |
      | without state         |
      | of state "unheard-of" |
      | of port "80"          |
      | of port true          |
      | of port 80.5          |
      | of port 70000         |
      | of port 0             |
      | of slots -1           |
      | of slots 1e99         |
      | of slots null         |
      | of cold_ms -1         |
      | of born_ms "20"       |
      | of link_mbps -1       |
      | of address "x.y.z"    |
      | of address "999.0.0.1" |
      | of target ""          |
      | of target "a\|b"      |
      | of target "a\r\nb"    |
      | of target_set "a b"   |
      | of host "hall-1"      |

  Scenario: A row with fields that are not known is a row
    Then the row of new 1 of host "x" names a target

  Scenario: Rows of another writer leave the others as they are
    Given a mesh with two calendar hosts
    When another writer puts rows of every strange kind
    And a third host starts
    Then all daemons know the hosts "hall-1, hall-2, hall-3" and no other
    And each daemon has logged one error 6101 for each strange row
    When the store drops its history
    And version 2 is written beside them
    Then each daemon has logged one error 6101 for each strange row
    And 10 requests are all answered 200

  Scenario: A value of a row that is no base64 leaves the other rows readable
    Then a page of the store with such a value has the other rows whole

  Scenario: A row of a target set that no bundle names is nobody's choice
    Given a mesh with two calendar hosts
    When another writer puts the row of a target of set "nobody"
    Then 10 requests are all answered 200
    And no daemon has logged an error

  Scenario: A row that another writer spoilt is written again by its host
    Given a mesh with two calendar hosts
    When another writer spoils the row of the first host
    Then the store has the row of the first host again
    When another writer removes the row of the first host
    Then the store has the row of the first host again
    And 10 requests are all answered 200

  Scenario: A relay that passes on a strange row is still followed
    Then news with a strange row have the other rows, and the version

  Scenario: Reports of another writer are refused and change nothing
    Given a mesh with two calendar hosts
    And the target of the first host said "ready" in a lifetime born at 10
    Then these reports to the first host are refused with 400 and change nothing
      | report                                | code |
      | heartbeat of bytes                    | 6001 |
      | heartbeat of nothing                  | 6001 |
      | heartbeat of a list                   | 6001 |
      | heartbeat of null                     | 6001 |
      | heartbeat cut short                   | 6001 |
      | heartbeat nested without end          | 6001 |
      | heartbeat without service             | 6001 |
      | heartbeat without address             | 6001 |
      | heartbeat without zone                | 6001 |
      | heartbeat without version             | 6001 |
      | heartbeat without slots               | 6001 |
      | heartbeat without state               | 6001 |
      | heartbeat without cold_remaining      | 6001 |
      | heartbeat without sequence            | 6001 |
      | heartbeat without born                | 6004 |
      | heartbeat of slots "2"                | 6001 |
      | heartbeat of slots true               | 6001 |
      | heartbeat of slots 2.5                | 6001 |
      | heartbeat of slots 0                  | 6001 |
      | heartbeat of slots -2                 | 6001 |
      | heartbeat of slots 1000000000         | 6001 |
      | heartbeat of sequence "4"             | 6001 |
      | heartbeat of sequence true            | 6001 |
      | heartbeat of sequence -1              | 6001 |
      | heartbeat of sequence 1e400           | 6001 |
      | heartbeat of born "20"                | 6001 |
      | heartbeat of born 20.5                | 6001 |
      | heartbeat of born true                | 6001 |
      | heartbeat of born null                | 6001 |
      | heartbeat of born -20                 | 6001 |
      | heartbeat of born 99999999999999999999 | 6001 |
      | heartbeat of state "gone"             | 6001 |
      | heartbeat of state "unheard-of"       | 6001 |
      | heartbeat of state true               | 6001 |
      | heartbeat of cold_remaining 0         | 6001 |
      | heartbeat of cold_remaining "soon"    | 6001 |
      | heartbeat of cold_remaining "a year"  | 6001 |
      | heartbeat of cold_remaining "endless" | 6001 |
      | heartbeat of address 8                | 6001 |
      | heartbeat of service 5                | 6001 |
      | heartbeat of service "unheard-of"     | 6002 |
      | heartbeat of id "i-another"           | 6003 |
      | deregister of bytes                   | 6001 |
      | deregister of a list                  | 6001 |
      | deregister cut short                  | 6001 |
      | deregister nested without end         | 6001 |
      | deregister without born               | 6004 |
      | deregister of born "10"               | 6001 |
      | deregister of born true               | 6001 |
      | deregister of id "i-another"          | 6003 |
    And these reports of another id to the first host are refused and change nothing
      | report                                | code |
      | heartbeat of service "unheard-of"     | 6002 |
      | heartbeat without address             | 6001 |
      | heartbeat of state "unheard-of"       | 6001 |
    And a report whose path has the id "a|b" is refused with code 6001

  Scenario: Two hundred reports of the same strange kind are one log line
    Given a mesh with two calendar hosts
    When another writer sends the first host 200 reports without a state
    Then the first host has logged one line of code 6001

  Scenario: Fields of a report that are not known are left out
    Given a mesh with two calendar hosts
    When the target of the first host reports with a field that is not known
    Then that report is taken

  Scenario: An operator's document that cannot be read changes nothing
    Given a mesh with two calendar hosts
    When documents of every strange kind are written, one after the other
    Then all daemons still have version 1, and read the store on
    When version 2 is written beside them
    Then 10 requests are all answered 200

  Scenario: Each strange document is refused as a bundle
    Then each strange document is refused with code 1101

  Scenario: Any document is decoded or refused, and nothing else
    Then any value in any place of a document is taken or refused as a bundle
