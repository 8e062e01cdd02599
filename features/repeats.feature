Feature: A request that may not be repeated runs at most once
  Repeats carry the same Idempotency-Key, and may come through any proxy.

  Scenario: A repeat through another proxy
    Given two proxies with one target that answers
    When a booking is sent through the first and repeated through the second
    Then the repeat is told run-before with code 5012
    And the booking ran once

  Scenario: A repeat while the outcome is unknown
    Given two proxies with one target that closes before its answer
    When a booking is sent through the first and repeated through the second
    Then the repeat is told unknown with code 5013
    And the booking ran once

  Scenario: A repeat after a proof that nothing ran
    Given two proxies with one target that refuses before work
    And a second target that answers, known to the second proxy
    When a booking is sent through the first and repeated through the second
    Then the repeat is told answer
    And the booking ran once

  Scenario: Twenty repeats at once through two proxies
    Given two proxies with one target that answers
    When a booking is sent twenty times at once
    Then one is told answer and the booking ran once

  Scenario: The table is down
    Given two proxies with one target that answers
    And the table is down
    When a booking is sent through the first and repeated through the second
    Then the repeat is told not-run with code 5011
    And the booking ran no time

  Scenario Outline: An answer of the table is lost
    Given two proxies with one target that answers
    And the next answer of the table is <fate>
    When a booking is sent through the first and repeated through the second
    Then the repeat is told run-before with code 5012
    And the booking ran once

    Examples:
      | fate                  |
      | lost after the write  |
      | lost before the write |

  Scenario: A key that comes with another request
    Given two proxies with one target that answers
    When a booking is sent, and its key comes again with another path
    Then the repeat is told not-run with code 5014

  Scenario: Claims of one moment share transactions
    Given a guard that may write 10 times a second
    When 60 claims arrive at once
    Then all stand after at most 12 transactions

  Scenario: Any faults of the table and any order of repeats
    Then under any faults of the table no key is granted twice
