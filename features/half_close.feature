Feature: Callers that close only their sending side
  The end of a caller's input looks the same for one that has left and for one
  that still reads.  The first must not keep a target at work, and the second
  must get its answers.

  Background:
    Given a mesh with two calendar hosts
    And a route "/long/" with a timeout of 10000 ms

  # Guards against taking a half-close for a departure: whole requests were
  # dropped or cancelled, and their callers got no answer.
  Scenario Outline: A half-closed caller gets the answers to its whole requests
    Given the targets work <work_s> s
    When a caller sends <requests> and half-closes
    Then it gets <answers> whole answers with status 200, then the end of the stream
    And exactly these <answers> ran, once each

    Examples:
      | work_s | requests                        | answers |
      | 0      | one request                     | 1       |
      | 0.4    | one request                     | 1       |
      | 0.4    | a post with its body            | 1       |
      | 0.2    | three pipelined requests        | 3       |
      | 0      | a request after an earlier one  | 2       |
      | 0.2    | a request and a part of a post  | 1       |
      | 0.2    | a request and a part of a head  | 1       |
      | 0      | a request and "close"           | 1       |
      | 0.2    | a request and "close"           | 1       |

  # Guards against the close cutting what is written in pieces.
  Scenario Outline: A half-closed caller reads a large answer slowly
    Given answers of 3000000 bytes
    When a slow reader sends <requests> and half-closes
    Then it gets <answers> whole answers with status 200, then the end of the stream

    Examples:
      | requests                 | answers |
      | one request              | 1       |
      | three pipelined requests | 3       |
      | a request and "close"    | 1       |

  Scenario: The pieces of a paced answer outlast a half-close
    Given a paced service with an answer of 200000 bytes
    When a caller asks it for the large answer and half-closes
    Then it gets the whole answer, and the end of the stream

  Scenario: More pipelined requests than are answered at the same time
    Given a paced service with an answer of 20 bytes
    When a caller asks it 200 times at once and half-closes
    Then it gets 200 whole answers with status 200, then the end of the stream

  # Guards against work for callers that have left (kept open after a FIN).
  Scenario Outline: The work for a caller that has left is cancelled
    Given the targets work 5 s
    When a caller with <requests> at work <leaves>
    Then all targets are idle within 0.5 s, and the daemon has no connection

    Examples:
      | requests                 | leaves                           |
      | one request              | closes                           |
      | one request              | resets                           |
      | one request              | closes 1 s after half-closing    |
      | one request              | resets 1 s after half-closing    |
      | one request of HTTP/1.0  | closes                           |
      | three pipelined requests | closes                           |
      | three pipelined requests | closes 1 s after half-closing    |
      | many pipelined requests  | closes                           |
      | many pipelined requests  | resets                           |

  Scenario Outline: Without a whole request a half-close ends the connection
    When a caller sends <requests> and half-closes
    Then it gets 0 whole answers with status 200, then the end of the stream
    And the connection ended within 0.5 s and nothing ran

    Examples:
      | requests            |
      | nothing             |
      | a part of a head    |
      | a part of a post    |
      | a part of chunks    |

  Scenario: A leaving daemon answers a half-closed caller
    Given the targets work 1 s
    When a caller sends one request and half-closes, and its daemon leaves
    Then it gets 1 whole answers with status 200, then the end of the stream

  Scenario: A target that half-closes gets the acknowledgement of its departure
    When the target of the first host deregisters and half-closes
    Then it gets 1 whole answers with status 200, then the end of the stream

  # A daemon never closes only one side: its call needs no answer any more.
  Scenario: The end of input from another daemon cancels its calls at once
    When a caller of a service for other daemons sends a request and half-closes
    Then that request is cancelled without an interim response
