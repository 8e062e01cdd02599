Feature: The response bodies of all requests together have a bound
  Each body has a limit of its own, but many of them at once could fill the
  memory of a daemon.  Beyond the bound, flow control holds senders back, and
  whoever keeps the others waiting gives way.

  # Guards against the sum of bodies that do not end filling the memory.
  Scenario Outline: Bodies that do not end are held within the bound
    Given response data of 40 MB in all
    When 12 requests are answered with <body>
    And further requests are answered with 20 kB and with 12 MB
    Then the further answers arrive completely
    And no more than the bound was held

    Examples:
      | body                              |
      | chunks without an end             |
      | bytes until the connection closes |
      | chunks that stop after 10 MB      |
      | 11 MB of 12 MB                    |

  # Guards against sound answers that fail because others use the memory.
  Scenario Outline: Sound answers beyond the bound arrive in turn
    Given response data of <bound> MB in all
    When 18 requests are answered with <body>
    Then all answers arrive completely
    And no more than the bound was held
    And nothing gave way

    Examples:
      | bound | body            |
      | 40    | 12 MB           |
      | 40    | 12 MB in chunks |
      | 8     | 12 MB           |

  # Guards against a response that is read to its limit before it fails.
  Scenario: A response whose length is too large fails at its head
    Given response data of 40 MB in all
    When 1 requests are answered with 17 MB
    Then they fail with less than 1 MB received

  # Guards against room that is kept for requests that have ended.
  Scenario: Requests that are cancelled while they wait leave nothing behind
    Given response data of 40 MB in all
    When 12 requests are answered with 11 MB of 12 MB
    And all requests are cancelled
    Then no room is used, and an answer of 12 MB arrives

  # Guards against a bound that many small responses pass together.
  Scenario: Small responses that nobody takes have a bound together
    Given response data of 1 MB in all
    When 40 callers hold 50 kB each and take nothing
    Then no more than 1 MB is held after a while
    And the callers that gave way are as few as possible

  # Guards against a bound that a daemon makes and does not use.
  Scenario: A daemon bounds the answers of its target and of other daemons
    Given a daemon whose settings allow 300 MB
    Then its responses may take 60 MB, of the target, of peers and to callers

  # Guards against server errors that are kept beside the bound while other
  # targets are asked.
  Scenario: A large server error is not kept while another target is asked
    Given a target that fails with 1 MB, and one that works for a second
    When 6 requests come of which some meet the first one
    Then none of its bodies is kept while the other one works
    And all of the requests are answered with 200
