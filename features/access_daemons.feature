Feature: Daemons ask for keys, and keep them to themselves

  Background:
    Given a mesh with two calendar hosts and workspaces

  Scenario: The target learns the workspace, and never the key
    When a caller with the key of "blue" asks "/r0/a" as "id-1"
    Then the answer with a key is 200
    And the targets saw the workspace "blue" once, and no key

  Scenario Outline: What a caller claims to be is replaced
    When a caller sends raw <fields> to "/r0/a"
    Then the targets saw the workspace "blue" once, and no key

    Examples:
      | fields                          |
      | a forged workspace              |
      | two forged workspaces           |
      | a forged workspace in odd case  |
      | the key in odd case             |
      | a hop field of its own          |
      | its key named by Connection     |
      | its claims in a trailer         |

  Scenario Outline: A request without a proper key does not run
    When a caller sends raw <fields> to "/r0/a"
    Then the raw answer starts with <status>
    And no target ran a request

    Examples:
      | fields             | status |
      | no key             | 401    |
      | an unknown key     | 401    |
      | another scheme     | 401    |
      | two keys           | 401    |
      | the same key twice | 401    |
      | a folded key       | 400    |
      | a key in a trailer | 401    |

  Scenario: A refused key is answered as HTTP asks for
    When a caller with the key of "nobody" asks "/r0/a" as "id-2"
    Then the answer with a key is 401 and names the scheme and code 5016

  Scenario: A public route needs no key, and passes no claim on
    When a caller sends raw a forged workspace alone to "/public/a"
    Then the targets saw no workspace and no key

  Scenario: A known key on a public route says who asks
    When a caller with the key of "blue" asks "/public/a" as "id-3"
    Then the targets saw the workspace "blue" once, and no key

  Scenario: Without workspaces keys are passed on as before
    Given the operator takes all workspaces away
    When a caller with the key of "blue" asks "/r0/a" as "id-4"
    Then the answer with a key is 200
    And the targets saw the key and no workspace

  Scenario: A key that is taken away is refused on an open connection
    When a caller asks "/r0/a" before and after its key is taken away
    Then the first answer is 200 and the second one 401

  Scenario: Each request sent ahead is judged by its own key
    When a caller sends ahead requests of blue, nobody and green
    Then the answers are 200, 401 and 200, for "blue" and "green"

  Scenario: A daemon that does not hear the store does not say no
    Given no daemon hears the store
    When a caller with the key of "nobody" asks "/r0/a" as "id-5"
    Then the answer with a key is 503 and says when to come back
    When a caller with the key of "blue" asks "/r0/a" as "id-6"
    Then the answer with a key is 200

  Scenario: A daemon without a version does not say no
    Given a daemon that knows no version
    When a caller with the key of "nobody" asks "/r0/a" as "id-7"
    Then the answer with a key is 503 and says when to come back

  Scenario: No key stands in anything that daemons write
    When daemons refuse, serve, fail, crash and explain with known keys
    Then neither logs, metrics, answers, the store nor rows hold a key
    And the start of the digest of the refused key is logged
