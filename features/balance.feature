Feature: Where work goes when targets and demand are uneven

  Scenario Outline: What a target tells of its load is read by its places
    Given a target that tells of its load "<field>"
    Then it is read as <running>, <waiting> and <slots>, slowness <slowness>

    Examples: the fourth figure is left out by some
      | field        | running | waiting | slots | slowness |
      | 3,0,8        | 3       | 0       | 8     | 0        |
      | 3,1,3,250    | 3       | 1       | 3     | 250      |
      | 0, 0, 3, 100 | 0       | 0       | 3     | 100      |
      | 0,0,1,1      | 0       | 0       | 1     | 1        |

  Scenario Outline: A load field that is malformed tells nothing
    Given a target that tells of its load "<field>"
    Then nothing is read of it

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

  Scenario: Any text is read within bounds, or not at all
    Then no load field that is drawn is read out of bounds

  Scenario Outline: A health check that tells the speed gives the places
    The last figure of the load field was taken for the places: a target with
    3 of them that told "0,0,3,250" counted as one with 250 until its next
    report, and got more calls at a time than it can work on.
    Given a target whose health check tells of its load "<field>"
    When its daemon asks who it is
    Then it is known to have <slots> places

    Examples:
      | field     | slots |
      | 0,0,3,250 | 3     |
      | 2,0,3,100 | 3     |
      | 0,0,3     | 3     |

  Scenario: A health check whose load is malformed is refused
    Given a target whose health check tells of its load "0,0,3,"
    When its daemon asks who it is
    Then it is not known

  Scenario Outline: A call leaves its data centre where more end in time
    Given a call that leaves for 10 more of 100 in time, or 40 ms where none are
    When <near share> of 100 end in time near, after <near ms> ms
    And <far share> of 100 end in time elsewhere, after <far ms> ms
    Then it goes <where>

    Examples: sooner is no better than in time
      | near share | near ms | far share | far ms | where     |
      | 92         | 200     | 100       | 50     | near      |
      | 80         | 200     | 95        | 150    | elsewhere |
      | 80         | 200     | 89        | 150    | near      |
      | 0          | 900     | 2         | 800    | elsewhere |
      | 0          | 900     | 2         | 870    | near      |

  Scenario: Large answers must gain more
    Given a call whose answer has 5000 bytes, and 4 more of 100, 1 for each kB
    Then it leaves for more than 9 of 100

  Scenario Outline: How many end in time is learned from earlier calls
    Given a route whose calls take <factor> times what is expected, spread by <spread>
    Then of those expected to take 100 ms about <share> of 100 end in <limit> ms

    Examples:
      | factor | spread | limit | share |
      | 1.0    | 0.5    | 100   | 50    |
      | 1.0    | 0.5    | 165   | 84    |
      | 2.0    | 0.5    | 165   | 35    |
      | 1.0    | 0.3    | 165   | 95    |

  Scenario: Shares in time are shares, and grow with the time
    Then whatever was learned, more time lets as many or more end in it

  Scenario: Targets near that are good enough get the call
    Given 2 targets near that take 150 ms, and 4 elsewhere that take 50 ms
    Then a call with 600 ms left goes near
    And a call with 160 ms left goes elsewhere

  Scenario: Not all go to the same target elsewhere
    Given 1 targets near that take 400 ms, and 3 elsewhere that take 100 ms
    Then of 60 calls with 300 ms left each target elsewhere gets some

  Scenario: A call waits near rather than leave for little
    Given 1 targets near that take 100 ms, and 3 elsewhere that take 90 ms
    When all near have no free place
    Then a call with 600 ms left that can wait near goes nowhere else

  Scenario Outline: As demand moves from one data centre to the next
    Before, calls went to whoever was quickest: on wave-over-data-centres 33 %
    of the bytes of answers crossed data centres, and on few-targets 35 %, with
    the same worth to within 0.005.
    Given the load "<load>" for 5 s
    When it is played with seed 1
    Then at least <in goal> % of "<kind>" end within their goal
    And at most <far> % of the bytes of answers cross data centres

    Examples:
      | load                   | kind    | in goal | far |
      | wave-over-data-centres | look-up | 88      | 18  |
      | few-targets            | view    | 88      | 28  |

  Scenario Outline: What was told of the speed holds for a moment
    Given a target that told a slowness of <told> %, and 100 % before
    Then work that begins <age> ms later is expected to take <least> to <most> %

    Examples: it changes some times a second
      | told | age  | least | most |
      | 250  | 0    | 250   | 250  |
      | 250  | 300  | 174   | 180  |
      | 250  | 600  | 100   | 105  |
      | 250  | 9000 | 100   | 105  |
      | 100  | 300  | 99    | 101  |

  Scenario: Work that was slow for a moment does not seem slow for good
    Given a target whose work takes 100 ms, and told 100 % for 40 calls
    When 20 calls take 250 ms while it tells 250 %
    Then its work is known as 95 to 105 ms
    And a peer that is told of it expects 240 to 260 ms now, 95 to 135 ms later

  Scenario Outline: A call that looks for a place is given back by a slow target
    Given a target whose work takes 100 ms, and told 100 % for 40 calls
    When it tells <told> %
    Then a call with <left> ms left <result>

    Examples:
      | told | left | result             |
      | 250  | 180  | is delayed 130 to 160 ms |
      | 250  | 2000 | may run            |
      | 250  | 20   | may run            |
      | 110  | 180  | may run            |
      | 100  | 180  | may run            |

  Scenario: A target that tells no speed delays nothing
    Given a target whose work takes 100 ms, and told no speed for 40 calls
    Then a call with 120 ms left may run

  Scenario: A slow target gives back what looks for a place, and runs the rest
    Given a daemon beside a target that told 100 % for 40 calls of 100 ms
    When it tells 250 %
    Then a call of 180 ms that looks for a place is told to go on
    And a call of 180 ms that may wait is not
