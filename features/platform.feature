Feature: Every call of the platform has a known or a stated unknown outcome

  Background:
    Given a platform stand-in over HTTP

  Scenario Outline: Outcome of a write
    When the stand-in is <state>
    Then a write is <kind> with code <code>

    Examples:
      | state                    | kind     | code |
      | sound                    | done     | 0    |
      | down                     | not done | 3001 |
      | gone                     | not done | 3001 |
      | losing the answer        | unknown  | 3002 |
      | slower than the deadline | unknown  | 3002 |
      | over its budget          | not done | 3007 |

  Scenario: A condition that does not hold
    Given a row written once
    Then writing it as if it were absent is a conflict and changes nothing

  Scenario Outline: A read fails with a code
    When the stand-in is <state>
    Then a read fails with code <code>

    Examples:
      | state                    | code |
      | down                     | 3001 |
      | gone                     | 3001 |
      | slower than the deadline | 3001 |
      | over its budget          | 3007 |

  Scenario: A missing object has its own code
    Then fetching an unknown object fails with code 3006

  Scenario: The circuit opens, lets one probe through, and closes
    When 3 calls fail in a row
    Then the next call is not sent and has code 3003
    When the platform is back and the pause is over
    Then one call passes and closes the circuit

  Scenario: The pause grows while probes fail, and has its limit
    Then a circuit whose probes fail waits at most 8000 ms, jittered

  Scenario: The queue is bounded
    When as many calls are under way as are allowed
    Then one more call fails with code 3007 without being sent
