Feature: Invalid rows, reports and documents of other writers do no harm
  Rows and reports may come from another writer, with fields that are missing
  or of another type, an unknown state or target set, or bytes that cannot be
  decoded.  Guards against these failures: one such row made the whole answer of
  the store unreadable, was logged at each read, or caused a name look-up; such
  a report was taken for one of the local target, or its connection was closed
  without an answer.

  Scenario Outline: Invalid rows of the members table
    Then the row <value> of host "x" is refused with code 6101

    Examples:
      | value                 |
      | of bytes              |
      | of nothing            |
      | of a list             |
      | of null               |
      | truncated             |
      | nested too deeply     |
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

  Scenario: A row with unknown fields is valid
    Then the row of new 1 of host "x" names a target

  Scenario: Invalid rows of another writer do not affect the other rows
    Given a mesh with two calendar hosts
    When another writer puts invalid rows of every kind
    And a third host starts
    Then all daemons know the hosts "hall-1, hall-2, hall-3" and no other
    And each daemon has logged one error 6101 for each invalid row
    When the store drops its history
    And version 2 is written after them
    Then each daemon has logged one error 6101 for each invalid row
    And 10 requests are all answered 200

  Scenario: A value that is not base64 does not affect the other rows
    Then a page of the store with such a value keeps the other rows intact

  Scenario: A row of a target set that is in no bundle is never chosen
    Given a mesh with two calendar hosts
    When another writer puts the row of a target of set "nobody"
    Then 10 requests are all answered 200
    And no daemon has logged an error

  Scenario: A host rewrites its row after another writer has corrupted it
    Given a mesh with two calendar hosts
    When another writer corrupts the row of the first host
    Then the store has the row of the first host again
    When another writer removes the row of the first host
    Then the store has the row of the first host again
    And 10 requests are all answered 200

  Scenario: An invalid row in the update of a relay does not affect the rest
    Then an update with an invalid row keeps the other rows and the version

  Scenario: Invalid reports are refused and change nothing
    Given a mesh with two calendar hosts
    And the target of the first host said "ready" in a lifetime born at 10
    Then these reports to the first host are refused with 400 and change nothing
      | report                                | code |
      | heartbeat of bytes                    | 6001 |
      | heartbeat of nothing                  | 6001 |
      | heartbeat of a list                   | 6001 |
      | heartbeat of null                     | 6001 |
      | heartbeat truncated                   | 6001 |
      | heartbeat nested too deeply           | 6001 |
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
      | deregister truncated                  | 6001 |
      | deregister nested too deeply          | 6001 |
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

  Scenario: Two hundred invalid reports of the same kind give one log line
    Given a mesh with two calendar hosts
    When another writer sends the first host 200 reports without a state
    Then the first host has logged one line of code 6001

  Scenario: Unknown fields of a report are ignored
    Given a mesh with two calendar hosts
    When the target of the first host reports with an unknown field
    Then that report is accepted

  Scenario: An operator's document that cannot be decoded changes nothing
    Given a mesh with two calendar hosts
    When invalid documents of every kind are written, one after the other
    Then all daemons still have version 1, and still watch the store
    When version 2 is written after them
    Then 10 requests are all answered 200

  Scenario: Each strange document is refused as a bundle
    Then each invalid document is refused with code 1101

  Scenario: Any document is either decoded or refused
    Then any value anywhere in a document is accepted or refused as a bundle
