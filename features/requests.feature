Feature: What a caller is told is what happened

  Scenario Outline: One target that misbehaves
    Given a target that <behaves>
    When a <kind> request is sent
    Then its caller is told <told> and the target ran it <runs> times

    Examples:
      | behaves                     | kind           | told    | runs |
      | answers                     | non-repeatable | answer  | 1    |
      | answers                     | repeatable     | answer  | 1    |
      | refuses before work         | non-repeatable | not-run | 0    |
      | refuses before work         | repeatable     | not-run | 0    |
      | is not there                | non-repeatable | not-run | 0    |
      | is not there                | repeatable     | not-run | 0    |
      | closes before its answer    | non-repeatable | unknown | 1    |
      | cuts its answer             | non-repeatable | cut     | 1    |
      | cuts its answer             | repeatable     | cut     | 1    |
      | cuts a chunked answer       | repeatable     | cut     | 1    |
      | stalls                      | non-repeatable | unknown | 1    |
      | answers garbage             | non-repeatable | unknown | 1    |

  Scenario Outline: A second target takes over where that is safe
    Given a target that <behaves>
    And a target that answers
    When 6 <kind> requests are sent
    Then all that are not answered are told <told>, and none ran twice unless <kind>

    Examples:
      | behaves                  | kind           | told    |
      | refuses before work      | non-repeatable | nothing |
      | is not there             | non-repeatable | nothing |
      | closes before its answer | repeatable     | nothing |
      | closes before its answer | non-repeatable | unknown |

  Scenario: An attempt that may have run is not forgotten
    Given a target that closes before its answer
    And a target that refuses before work
    And a target that is not there
    When 12 repeatable requests are sent
    Then some ran without an answer, and none of these is told not-run

  Scenario: A late answer reaches nobody else
    Given a target that answers too late
    When a request times out and another one follows at once
    Then the second caller gets its own answer or none

  Scenario: A caller that goes away cancels the target's work
    Given a target that stalls
    When a caller sends a request and goes away
    Then the target sees its connection closed

  Scenario: A caller that goes away within its body leaves no half request
    Given a target that answers
    When a caller goes away in the middle of an upload
    Then the target ran nothing

  Scenario: A large upload passes through bounded memory
    Given a target that answers
    When 48 MB are uploaded
    Then the target got all of it and the proxy held less than 8 MB

  Scenario: A hedged request is answered once
    Given a target that stalls
    And a target that answers
    When 4 hedged requests are sent
    Then all are answered and each slow attempt is cancelled

  Scenario: A refused hedge does not hide the first attempt
    Given a target that stalls
    And a target that refuses before work
    When 6 hedged requests are sent
    Then some ran without an answer, and none of these is told not-run

  Scenario: A refused hedge does not end the first attempt
    Given a target that answers after a while
    And a target that refuses before work
    When 6 hedged requests are sent
    Then all are answered

  Scenario Outline: Malformed requests reach no target
    Given a target that answers
    When "<name>" is sent
    Then it is refused and no target saw it, and the proxy lives

    Examples:
      | name                        |
      | length and chunked          |
      | two lengths                 |
      | a negative length           |
      | a length that is no number  |
      | an unknown encoding         |
      | a chunk size that is no hex |
      | a folded header             |
      | a space before the colon    |
      | CONNECT                     |
      | absolute form of another    |
      | a deadline that is no number |
      | headers without end         |
      | garbage                     |

  Scenario: A caller that waits for "100 Continue" gets it
    Given a target that answers
    When a caller expects 100-continue before it sends its body
    Then it gets the interim answer, and then its own

  Scenario: A slow answer is passed on as it comes
    Given a target that sends half its answer and waits
    When a repeatable request is sent by a caller that reads piece by piece
    Then it has the first half before the second is sent

  Scenario: Headers of one connection are not passed on
    Given a target that answers
    When a request with hop-by-hop headers is sent
    Then the target saw none of them, and a deadline that has shrunk

  Scenario: A request without route is told so
    Given a target that answers
    When a request of another host is sent
    Then it gets code 5001 and outcome not-run

  Scenario: A proxy without a bundle takes no request
    Given a target that answers
    And the proxy is not ready
    When a non-repeatable request is sent
    Then it gets code 5005 and outcome not-run

  Scenario: A leaving proxy answers and closes
    Given a target that answers
    And the proxy is leaving
    When a non-repeatable request is sent
    Then it is answered and the connection ends

  Scenario: Never worse than the naive proxy
    Then over any faults nothing is lost, doubled or told wrongly
