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
