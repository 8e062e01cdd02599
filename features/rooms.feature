Feature: Room on narrow links for large bodies
  Bodies are not sent where the link is full already.

  Scenario Outline: Who asks for room
    Given a host with a link of <mbps> Mbit/s
    Then a body of <bytes> bytes is sent there <how>

    Examples:
      | mbps | bytes  | how            |
      | 10   | 60000  | after asking   |
      | 10   | 5000   | without asking |
      | 1000 | 360000 | without asking |
      | 0    | 360000 | without asking |

  Scenario: Room is promised while there is some
    Given room on a link of 10 Mbit/s
    Then bodies of 60000 bytes get 3 promises of 5
    And one more after one of them has arrived
    And 3 more once the promises have run out

  Scenario: A single body always has room
    Given room on a link of 10 Mbit/s
    Then bodies of 900000 bytes get 1 promises of 2

  Scenario: Where the width is not known there is always room
    Given room on a link of 0 Mbit/s
    Then bodies of 900000 bytes get 9 promises of 9

  Scenario: An upload goes where there is room
    Given a mesh of 3 hosts with links of 10 Mbit/s
    When the links of all hosts but one are full
    Then 5 uploads of 60000 bytes all run there, once each

  Scenario: An upload without room anywhere is told when to come back
    Given a mesh of 3 hosts with links of 10 Mbit/s
    When the links of all hosts are full
    Then an upload of 60000 bytes gets 503 and code 5008, and has not run
