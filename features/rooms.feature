Feature: Reservations on narrow links for large bodies
  Large bodies are not sent over a link that is already full.

  Scenario Outline: Which bodies need a reservation
    Given a host with a link of <mbps> Mbit/s
    Then a body of <bytes> bytes is sent there <how>

    Examples:
      | mbps | bytes  | how                   |
      | 10   | 60000  | with a reservation    |
      | 10   | 5000   | without a reservation |
      | 1000 | 360000 | without a reservation |
      | 0    | 360000 | without a reservation |

  Scenario: Reservations are granted up to the limit
    Given reservations on a link of 10 Mbit/s
    Then 3 of 5 reservations of 60000 bytes are granted
    And one more after one of them has arrived
    And 3 more once the reservations have expired

  Scenario: A single body of any size gets a reservation
    Given reservations on a link of 10 Mbit/s
    Then 1 of 2 reservations of 900000 bytes are granted

  Scenario: With unknown bandwidth every reservation is granted
    Given reservations on a link of 0 Mbit/s
    Then 9 of 9 reservations of 900000 bytes are granted

  Scenario: An upload goes to the host whose link is free
    Given a mesh of 3 hosts with links of 10 Mbit/s
    When the links of all hosts but one are full
    Then 5 uploads of 60000 bytes all run there, once each

  Scenario: An upload that fits on no link is refused and not run
    Given a mesh of 3 hosts with links of 10 Mbit/s
    When the links of all hosts are full
    Then an upload of 60000 bytes gets 503 and code 5008, and has not run
