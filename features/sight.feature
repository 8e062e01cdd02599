Feature: Logs and metrics explain a request that ended late
  A request without an answer has waited for the link of the target's host,
  for its caller to read, for a silent connection or for processor time.  A
  single reading of the logs must show which.

  Scenario Outline: The stage of an attempt is described
    Given an attempt at "hall-2" that <stage> since 300 ms
    Then it is described as "<text>"

    Examples:
      | stage                | text                                 |
      | has no connection    | hall-2: not connected for 300 ms     |
      | asks for room        | hall-2: asks for room for 300 ms     |
      | runs at its own host | hall-2: at the own target for 300 ms |

  Scenario: An attempt whose bytes do not arrive
    When 8000000 bytes are sent to a host that reads none
    Then the attempt reports no byte received and bytes not acknowledged

  Scenario: A request that waits for a silent daemon
    Given a mesh with two calendar hosts
    And only the second host has a target
    And its daemon answers nothing
    When a caller asks "/slow/" with id "x", and the lines are read
    Then the line "request refused" has attempts "hall-2: sent \d+ ms ago, no byte came$"
    And no line "gate" reports waiting answers

  Scenario: A request on a connection with earlier answers
    Given a mesh with two calendar hosts
    And only the second host has a target
    And its daemon has answered before, and now answers nothing
    When a caller asks "/slow/" with id "x", and the lines are read
    Then the line "request refused" has attempts "hall-2: sent \d+ ms ago, no byte came$"

  Scenario: A request whose answer waits for the link of the target's host
    Given a mesh with two calendar hosts
    And only the second host has a target
    And answers of 100000 bytes over a link of 20 kB/s
    When a caller asks "/slow/" with id "x", and the lines are read
    Then the line "request refused" has attempts "hall-2: sent \d+ ms ago, \d+ bytes came, the last \d+ ms ago$"
    And a line "gate" without calls reports that 1 waits for the link
    And the metrics of the second host showed it

  Scenario: A request that waits for the target beside its daemon
    Given a mesh with two calendar hosts
    And only the first host has a target, and a route of 2.5 s
    And the targets work 8 s
    When a caller asks "/slow/" with id "x", and the lines are read
    Then the line "request refused" has attempts "hall-1: at the own target for \d+ ms$"

  Scenario: A refusal without attempts in flight lists none
    Given a mesh with two calendar hosts
    When a caller asks "/none/" with id "x", and the lines are read
    Then the line "request refused" has no attempts

  Scenario: A leaving daemon logs what it waits for
    Given a mesh with two calendar hosts
    And only the second host has a target
    And its daemon answers nothing
    When the first host leaves while a caller asks "/slow/" with id "x"
    Then the line "leave waits" has callers "1 without answer, 0 answers unread"
    And the line "leave waits" has caller_connections "0 new, 0 kept, 1 active"
    And the line "leave waits" has requests "\d+ ms, hall-2: sent \d+ ms ago, no byte came$"
    And the explanation of "x" has the line "leave waits"

  Scenario: Requests cut by the end of a daemon are logged and counted
    Given a mesh with two calendar hosts
    And only the second host has a target
    And its daemon answers nothing
    When the first host ends while a caller asks "/slow/" with id "x"
    Then the line "left" has requests "\d+ ms, hall-2: sent \d+ ms ago, no byte came$"
    And the explanation of "x" has the line "left"
    And the metrics of the first host count 1 request cut

  Scenario Outline: An answer that its caller has not read yet
    Given a mesh with two calendar hosts
    And answers of <size> bytes
    When the first host leaves while a slow reader has an answer
    Then the line "leave waits" has callers "0 without answer, 1 answers unread: <held> bytes held, \d{5,} in sockets"
    And the metrics of the first host showed it

    Examples: Above and below the size of the kernel's send buffer
      | size     | held   |
      | 12000000 | \d{5,} |
      | 60000    | 0      |

  Scenario Outline: An answer in the kernel's buffer is not cut by the end
    Given a mesh with two calendar hosts
    And answers of <size> bytes
    When the first host ends while a slow reader has an answer
    Then the metrics of the first host count <count> answer cut

    Examples:
      | size     | count |
      | 12000000 | 1     |
      | 60000    | 0     |

  Scenario: A leaving daemon that gets no processor time
    Given a mesh with two calendar hosts
    When the first host leaves and stands still for 0.7 s
    Then a line "leave waits" reports 600 ms of lag and less processor time

  Scenario: A leaving daemon with processor time
    Given a mesh with two calendar hosts
    When the first host leaves and stands still for 0 s
    Then a line "leave waits" reports less than 300 ms of lag

  Scenario: Repeats of a request that crashes targets
    Each repeat has its own id; the fingerprint identifies it as a repeat.
    Given a mesh with 6 calendar hosts whose targets come back after 0.1 s
    And requests go to 1 target at most
    When "/r0/fatal" and "/r0/other" are asked twice, and the lines are read
    Then the lines "attempt failed" of "/r0/fatal" have one fingerprint
