Feature: Connections without a request
  A connection without a request is not one whose caller will send none.

  # Guards against closing a connection whose first request is on its way.
  Scenario Outline: A first request reaches a daemon that has stopped listening
    Given a mesh with two calendar hosts
    When 8 <callers> connect to the first host just before it stops listening
    And each sends its first request <pause_s> s later
    Then each connection gets an answer
    And the daemon ends within its grace time

    Examples:
      | callers | pause_s |
      | callers | 0.03    |
      | callers | 0.1     |
      | callers | 0.3     |
      | callers | 1.5     |
      | peers   | 0.3     |

  # Guards against closing a connection whose caller was not told to stop.
  Scenario Outline: Callers go on using the connections of a leaving daemon
    Given a mesh with two calendar hosts
    When 8 <callers> use kept connections to the first host in turn as it leaves
    Then each connection gets an answer
    And the daemon ends within its grace time

    Examples:
      | callers |
      | callers |
      | peers   |

  # Guards against a reset of a connection as the process ends.
  Scenario Outline: Whoever connects to an ending process gets an answer
    Given a daemon process that has started
    When callers connect to its <port> port until it refuses, and pause <pause_s> s
    Then each connection gets an answer
    And the process ends with status 0 within its grace time

    Examples:
      | port    | pause_s |
      | callers | 0       |
      | callers | 0.2     |
      | control | 0       |
      | control | 0.2     |
      | ready   | 0       |
      | ready   | 0.2     |

  # Guards against a daemon that waits for a caller which sends nothing.
  Scenario Outline: Silent connections do not hold up the end of a daemon
    Given a mesh with two calendar hosts
    When the first host leaves while <caller> sends nothing more
    Then the daemon ends <time> of its grace time

    Examples:
      | caller                   | time                  |
      | a caller that has asked  | in the first two thirds |
      | a caller that just came  | before the last tenth |

  # Guards against an idle timeout below the one that the caller was told.
  Scenario Outline: A request is sent within the timeout that was told
    Given a service with an idle timeout of <told_ms> ms
    When a caller <has done>, and the idle timeout becomes <later_ms> ms
    And the caller sends a request <after_s> s later
    Then the request is answered

    Examples:
      | told_ms | has done     | later_ms | after_s |
      | 2000    | was answered | 200      | 1.5     |
      | 2000    | connected    | 200      | 1.5     |
      | 300     | was answered | 300      | 0.8     |

  Scenario: A connection without a request is closed after the idle timeout
    Given a service with an idle timeout of 1000 ms
    When a caller was answered, and the idle timeout becomes 1000 ms
    Then its connection is closed 1 to 4 s later

  # Guards against closing a connection whose request has arrived unread.
  Scenario Outline: A request arrives while the event loop is busy
    Given a service with an idle timeout of 1000 ms
    When a request arrives while the event loop is busy beyond <limit>
    Then the request is answered

    Examples:
      | limit                  |
      | the idle timeout       |
      | the close of the rest  |
