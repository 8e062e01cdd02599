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

  Scenario: Old claims are collected, and no others
    Given 250 old claims and 30 new ones
    When they are collected
    Then the 30 new claims are left

  Scenario: Two collections at once, with a claim taken anew meanwhile
    Given 1 old claims and 0 new ones
    When it is taken anew between the look and the removal
    Then the claim that was taken anew is left

  Scenario: A collection in an outage removes nothing, and goes on later
    Given 250 old claims and 30 new ones
    When they are collected while answers are lost and writes are late
    And they are collected
    Then the 30 new claims are left
