Feature: Bytes without an end do not fill the memory of a daemon
  A peer in trouble may send bytes that never become a message, until the
  connection is closed.  The parser keeps the bytes of an incomplete line, so a
  single target could end the daemon beside it by its memory limit.

  # Guards against a head or the framing of a body being kept without a bound.
  Scenario Outline: A response with too much besides its body fails
    Given a connection to a target that sends <start>
    When it goes on with <more> without an end, 16 kB at a time
    Then the exchange fails after 128 kB at most, and the connection is closed

    Examples:
      | start                   | more                 |
      | nothing                 | a status line        |
      | a status line           | a field line         |
      | a status line           | fields               |
      | nothing                 | interim responses    |
      | the head of chunks      | a chunk extension    |
      | the end of all chunks   | trailers             |

  Scenario Outline: A request with too much besides its body is refused
    Given a connection of a caller that sends <start>
    When it goes on with <more> without an end, 16 kB at a time
    Then it is refused with <status> after 256 kB at most

    Examples:
      | start                   | more                 | status |
      | nothing                 | a request line       | 431    |
      | a request line          | a field line         | 431    |
      | a request line          | fields               | 431    |
      | a request of chunks     | a chunk extension    | 400    |
      | the last chunk          | a field line         | 400    |

  Scenario Outline: A sound response passes, however it is cut into pieces
    Given a connection to a target that sends nothing
    When it answers with <body> bytes in chunks of <chunk>, cut every <piece> bytes
    Then the exchange ends with <body> bytes

    Examples:
      | body    | chunk | piece |
      | 3000000 | 8192  | 65536 |
      | 100000  | 1     | 1000  |
      | 30      | 10    | 1     |

  Scenario: A sound request passes beside others, however it is cut
    Given a connection of a caller that sends nothing
    When it sends 40 requests with 20000 bytes each, cut every 100000 bytes
    Then all 40 are answered
