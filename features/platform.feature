Feature: Each call to the metadata store has an outcome, which may be "unknown"

  Background:
    Given a fake metadata store over HTTP

  Scenario Outline: Outcome of a write
    When the fake store is <state>
    Then a write is <kind> with code <code>

    Examples:
      | state                   | kind     | code |
      | healthy                 | done     | 0    |
      | unavailable             | not done | 3001 |
      | stopped                 | not done | 3001 |
      | losing the response     | unknown  | 3002 |
      | slower than the timeout | unknown  | 3002 |
      | over its rate limit     | not done | 3007 |

  Scenario: A write whose condition does not hold is a conflict
    Given a row written once
    Then writing it as if it were absent is a conflict and changes nothing

  Scenario Outline: A read fails with a code
    When the fake store is <state>
    Then a read fails with code <code>

    Examples:
      | state                   | code |
      | unavailable             | 3001 |
      | stopped                 | 3001 |
      | slower than the timeout | 3001 |
      | over its rate limit     | 3007 |

  Scenario: A missing object has its own code
    Then fetching an unknown object fails with code 3006

  Scenario: The circuit breaker opens, admits one probe, and closes
    When 3 calls fail in a row
    Then the next call is not sent and has code 3003
    When the store has recovered and the open time has elapsed
    Then one call succeeds and closes the circuit

  Scenario: The open time grows with each failed probe, up to a limit
    Then a circuit whose probes fail stays open for at most 8000 ms, jittered

  Scenario: The number of concurrent calls is limited
    When the limit of concurrent calls is reached
    Then one more call fails with code 3007 without being sent
