Feature: Callers that stop reading for a while
  Data that a closed window holds back is not data that got lost.

  # Guards against cutting the answer of a caller that pauses for over 4 s.
  Scenario Outline: A caller that pauses within the idle timeout is not cut off
    Given a service with an idle timeout of 9000 ms
    When a caller reads a piece of <size> MB and pauses for <pause_s> s
    And it reads the rest
    Then it has got all of it

    Examples:
      | size | pause_s |
      | 1    | 6       |
      | 12   | 6       |

  # Guards against the kernel's count from the first closed window on, which
  # cut off callers that go on reading.
  Scenario: A caller that reads on slowly is not cut off
    Given a service with an idle timeout of 4000 ms
    When a caller reads 240 kB, 16 kB at a time in 0.45 s each
    Then it has got all of it

  # Guards against a caller whose pauses fall between all looks at it.
  Scenario Outline: Who takes something is timed here, and who does not by the kernel
    Given a connection whose window is open at each look
    When <left> bytes are left at the looks at it
    Then its connection may leave data unacknowledged for <limit> ms
    And that connection is <end>

    Examples:
      | left               | limit | end    |
      | 9, 9, 9            | 4000  | open   |
      | 9, 8, 7            | 0     | open   |
      | 9, 8, 0            | 4000  | open   |
      | 9, 8, 8, 8, 8      | 0     | open   |
      | 9, 8, 8, 8, 8, 8   | 0     | reset  |

  Scenario: A caller that pauses for longer is cut off
    Given a service with an idle timeout of 5000 ms
    When a caller reads a piece of 12 MB and pauses for 9 s
    And it reads the rest
    Then its connection was reset

  # Guards against a lost host that is noticed late once its caller has paused.
  Scenario: A caller that reads on is given 4 s again to acknowledge
    Given a service with an idle timeout of 9000 ms
    When a caller reads a piece of 12 MB and pauses for 2.5 s
    And it reads the rest
    Then its connection may leave data unacknowledged for 4 s

  # Guards against taking a caller for paused whose data is replaced by as much
  # of a large answer as it takes.
  Scenario Outline: What is written behind what was taken hides no progress
    Given a connection whose window is open at each look
    When <left> bytes are left at the looks at it, and <written> more are written before each
    Then that connection is <end>

    Examples:
      | left                                       | written | end   |
      | 6000, 5000, 5000, 5000, 5000, 5000, 5000   | 1000    | open  |
      | 6000, 6900, 7900, 8900, 9900, 10900, 11900 | 1000    | reset |
