Feature: An answer that ends early never passes for a whole one
  A server may close or reset its connection at any byte of its answer.

  # Guards against an answer cut in its head, or in its body, that is taken for
  # complete: callers would get a success with an empty or a short body.
  Scenario Outline: A response that ends at any byte fails its exchange
    Given a response with <shape>
    When its connection ends at each byte of it, by <end>
    Then each exchange fails that ended before byte <whole>

    Examples:
      | shape                         | end   | whole       |
      | a length                      | FIN   | last        |
      | a length                      | reset | last        |
      | no body                       | FIN   | last        |
      | no body                       | reset | last        |
      | chunks                        | FIN   | last        |
      | chunks                        | reset | last        |
      | chunks and trailers           | FIN   | last        |
      | chunks and trailers           | reset | last        |
      | interim responses before it   | FIN   | last        |
      | interim responses before it   | reset | last        |
      | another answer before it      | FIN   | last        |
      | another answer before it      | reset | last        |
      | status 204                    | FIN   | last        |
      | status 304 and a length       | reset | last        |
      | a coding other than chunked   | FIN   | none        |
      | a coding other than chunked   | reset | none        |
      | two lengths                   | FIN   | none        |
      | two different lengths         | FIN   | none        |
      | a length and chunks           | FIN   | none        |
      | no length                     | FIN   | of its body |
      | no length                     | reset | none        |

  Scenario: The response to a HEAD request that ends in its head fails
    Given a response with a length
    When it answers HEAD, and its connection ends at each byte of its head
    Then each exchange fails that ended before byte last

  Scenario: Responses of any shape, cut anywhere and into any pieces
    Then no drawn response that ends early is taken for a whole one

  Scenario Outline: A target that ends its answer at any byte
    Given a mesh with two calendar hosts
    When the targets end their answer at each byte, by <end>
    Then no caller gets a success, and none that ran is told that it has not

    Examples:
      | end   |
      | FIN   |
      | reset |

  # Guards against http.client taking the end of the stream for the end of the
  # head or of a chunk's size.
  Scenario Outline: An answer of the store to a tool that ends at any byte
    Given a store that answers with <shape>
    When its answer to a tool ends at each byte, by <end>
    Then each of these calls is lost, but for a whole answer

    Examples:
      | shape               | end   |
      | a length            | FIN   |
      | a length            | reset |
      | no body             | FIN   |
      | chunks              | FIN   |
      | chunks and trailers | FIN   |

  # Guards against the same in the proxy: its callers got a success with an
  # empty body and a length of its own.
  Scenario Outline: A target of a proxy that ends its answer at any byte
    Given a proxy whose target ends an answer with <shape> early
    When it is asked once for each byte
    Then no caller gets a whole answer

    Examples:
      | shape    |
      | a length |
      | chunks   |
