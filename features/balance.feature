Feature: Load balancing over uneven targets and demand

  Scenario Outline: The load field of a target is decoded by position
    Given a target that reports the load "<field>"
    Then it is decoded as <running>, <waiting> and <slots>, slowness <slowness>

    Examples: the fourth number is optional
      | field        | running | waiting | slots | slowness |
      | 3,0,8        | 3       | 0       | 8     | 0        |
      | 3,1,3,250    | 3       | 1       | 3     | 250      |
      | 0, 0, 3, 100 | 0       | 0       | 3     | 100      |
      | 0,0,1,1      | 0       | 0       | 1     | 1        |

  Scenario Outline: A malformed load field is ignored
    Given a target that reports the load "<field>"
    Then it is not decoded

    Examples:
      | field                  |
      |                        |
      | 3                      |
      | 3,0                    |
      | 3,0,8,100,7            |
      | 3,0,0                  |
      | -1,0,8                 |
      | 3,0,8,                 |
      | 3,0,8,fast             |
      | 3,0,8,0                |
      | 3,0,1e3                |
      | 1_0,0,8                |
      | 3,0,²                  |
      | 3,0,99999999999999999  |

  Scenario: Any text is decoded within bounds, or not at all
    Then no random load field is decoded out of bounds

  Scenario Outline: A health check that reports the slowness gives the slots
    Guards against the last number of the load field being taken for the slots.
    A target with 3 slots that reported "0,0,3,250" counted as one with 250
    until its next report, and got more calls at a time than it can run.
    Given a target whose health check reports the load "<field>"
    When its daemon runs the health check
    Then it is known to have <slots> slots

    Examples:
      | field     | slots |
      | 0,0,3,250 | 3     |
      | 2,0,3,100 | 3     |
      | 0,0,3     | 3     |

  Scenario: A health check whose load is malformed is refused
    Given a target whose health check reports the load "0,0,3,"
    When its daemon runs the health check
    Then it is not known

  Scenario Outline: A call leaves its data centre if more calls end in time elsewhere
    Given a call that leaves for 10 more of 100 in time, or 40 ms where none are
    When <near share> of 100 end in time near, after <near ms> ms
    And <far share> of 100 end in time elsewhere, after <far ms> ms
    Then it goes <where>

    Examples: an earlier answer is no better than one in time
      | near share | near ms | far share | far ms | where     |
      | 92         | 200     | 100       | 50     | near      |
      | 80         | 200     | 95        | 150    | elsewhere |
      | 80         | 200     | 89        | 150    | near      |
      | 0          | 900     | 2         | 800    | elsewhere |
      | 0          | 900     | 2         | 870    | near      |

  Scenario: Large answers require a larger gain
    Given a call whose answer has 5000 bytes, and 4 more of 100, 1 for each kB
    Then it leaves for more than 9 of 100

  Scenario Outline: The share of calls in time is learned from earlier calls
    Given a route whose calls take <factor> times what is expected, spread by <spread>
    Then of those expected to take 100 ms about <share> of 100 end in <limit> ms

    Examples:
      | factor | spread | limit | share |
      | 1.0    | 0.5    | 100   | 50    |
      | 1.0    | 0.5    | 165   | 84    |
      | 2.0    | 0.5    | 165   | 35    |
      | 1.0    | 0.3    | 165   | 95    |

  Scenario: Shares are between 0 and 1, and grow with the time limit
    Then a longer limit never lowers the share of calls in time

  Scenario: Local targets that are good enough get the call
    Given 2 targets near that take 150 ms, and 4 elsewhere that take 50 ms
    Then a call with 600 ms left goes near
    And a call with 160 ms left goes elsewhere

  Scenario: Calls are spread over the targets elsewhere
    Given 1 targets near that take 400 ms, and 3 elsewhere that take 100 ms
    Then of 60 calls with 300 ms left each target elsewhere gets some

  Scenario: A call waits locally if another data centre gains little
    Given 1 targets near that take 100 ms, and 3 elsewhere that take 90 ms
    When no target near has a free slot
    Then a call with 600 ms left that can wait near goes nowhere else

  Scenario Outline: As demand moves from one data centre to the next
    If calls go to the quickest target anywhere, 33 % of the bytes of answers
    cross data centres on wave-over-data-centres, and 35 % on few-targets, with
    the same worth to within 0.005.
    Given the load "<load>" for 5 s
    When it is played with seed 1
    Then at least <in goal> % of "<kind>" end within their goal
    And at most <far> % of the bytes of answers cross data centres

    Examples:
      | load                   | kind    | in goal | far |
      | wave-over-data-centres | look-up | 88      | 18  |
      | few-targets            | view    | 88      | 28  |

  Scenario Outline: A reported slowness is valid for a short time
    Given a target that reported a slowness of <reported> %, and 100 % before
    Then work that begins <age> ms later is expected to take <least> to <most> %

    Examples: the slowness changes several times a second
      | reported | age  | least | most |
      | 250      | 0    | 250   | 250  |
      | 250      | 300  | 174   | 180  |
      | 250      | 600  | 100   | 105  |
      | 250      | 9000 | 100   | 105  |
      | 100      | 300  | 99    | 101  |

  Scenario: Temporary slowness does not change the learned work time
    Given a target whose work takes 100 ms, and that reported 100 % for 40 calls
    When 20 calls take 250 ms while it reports 250 %
    Then its learned work time is 95 to 105 ms
    And a peer that gets its report expects 240 to 260 ms now, 95 to 135 ms later

  Scenario Outline: A slow target returns a call that looks for a free slot
    Given a target whose work takes 100 ms, and that reported 100 % for 40 calls
    When it reports <reported> %
    Then a call with <left> ms left <result>

    Examples:
      | reported | left | result                   |
      | 250      | 180  | is delayed 130 to 160 ms |
      | 250      | 2000 | may run                  |
      | 250      | 20   | may run                  |
      | 110      | 180  | may run                  |
      | 100      | 180  | may run                  |

  Scenario: A target that reports no slowness delays no call
    Given a target whose work takes 100 ms, and that reported no slowness for 40 calls
    Then a call with 120 ms left may run

  Scenario: A slow target returns calls that look for a free slot, and runs the rest
    Given a daemon beside a target that reported 100 % for 40 calls of 100 ms
    When it reports 250 %
    Then a call of 180 ms that looks for a free slot is returned
    And a call of 180 ms that may wait is not returned
