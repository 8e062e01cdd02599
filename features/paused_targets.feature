Feature: Targets and daemons that stop reading for a while
  A request whose end waits for room at its receiver is not a lost one.

  # Guards against cutting a large request at a receiver that pauses for over
  # 2 s: it may have begun to run, and was answered 502.
  Scenario Outline: A receiver that pauses amid a request gets the whole of it
    When a request of <size> kB is sent to a receiver that pauses for 5 s
    Then the receiver has got the whole request
    And the request is answered by the receiver

    Examples:
      | size  |
      | 400   |
      | 12000 |

  Scenario: A request that is given up amid a pause ends at once
    When a request of 12000 kB to a receiver that pauses is given up after 3 s
    Then its connection is gone
