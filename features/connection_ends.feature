Feature: Each request of a caller gets one answer
  Optional protocol features and defects must not leave a caller without one.

  # Guards against an offer to upgrade that ends the connection with a second
  # answer, loses the requests behind it, and runs requests without their body.
  Scenario Outline: An offer to upgrade is ignored
    Given a service that answers
    When a caller sends it <request>, then a plain request
    Then it gets 200 and 200, and nothing else
    And the first one ran with the body "<body>"

    Examples:
      | request                               | body |
      | a request that offers an upgrade      |      |
      | a post that offers an upgrade         | ab   |
      | a chunked post that offers an upgrade | ab   |
      | an expecting upgrade                  | ab   |

  Scenario Outline: Requests with an offer to upgrade, cut into any pieces
    Given a service that answers
    When a caller sends it 40 requests with an offer each, cut every <piece> bytes
    Then all 40 ran with the body "ab", and the caller gets 40 answers

    Examples:
      | piece  |
      | 1      |
      | 7      |
      | 100000 |

  Scenario: A tunnel is refused
    Given a service that answers
    When a caller sends it CONNECT, then a plain request
    Then it gets 400, and the connection ends

  # Guards against an interim response to a caller that takes it for the final
  # one (RFC 9110, section 10.1.1).
  Scenario: A caller of HTTP/1.0 gets no interim response
    Given a service that answers
    When a caller sends it an expecting post of HTTP/1.0, then a plain request
    Then it gets 200, and the connection ends

  # Guards against a defect that leaves the connection open without an answer.
  Scenario Outline: A defect of a service is answered
    Given a service that <fault>
    When a caller sends it a plain request, then a plain request
    Then it gets 502 and 502, and nothing else

    Examples:
      | fault                                       |
      | raises                                      |
      | raises at once                              |
      | answers with a field that cannot be encoded |
