Feature: Daemons require keys, and do not pass them on

  Background:
    Given a mesh with two calendar hosts and workspaces

  Scenario: The target learns the workspace, and never the key
    When a caller with the key of "blue" asks "/r0/a" as "id-1"
    Then the answer with a key is 200
    And the targets saw the workspace "blue" once, and no key

  Scenario Outline: Fields by which a caller claims a workspace are replaced
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

  Scenario Outline: A request without a valid key does not run
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

  Scenario: A refused key is answered as HTTP requires
    When a caller with the key of "nobody" asks "/r0/a" as "id-2"
    Then the answer with a key is 401 and names the scheme and code 5016

  Scenario: A public route needs no key, and passes no claimed workspace on
    When a caller sends raw a forged workspace alone to "/public/a"
    Then the targets saw no workspace and no key

  Scenario: Requests are counted by workspace
    When a caller with the key of "blue" asks "/r0/a" as "id-8"
    And a caller with the key of "nobody" asks "/r0/a" as "id-9"
    Then the metrics count 1 answered request of "blue" and 1 refused by 5016

  Scenario: A known key on a public route identifies the workspace
    When a caller with the key of "blue" asks "/public/a" as "id-3"
    Then the targets saw the workspace "blue" once, and no key

  Scenario: Without workspaces keys are passed on as before
    Given the operator removes all workspaces
    When a caller with the key of "blue" asks "/r0/a" as "id-4"
    Then the answer with a key is 200
    And the targets saw the key and no workspace

  Scenario: A revoked key is refused on an open connection
    When a caller asks "/r0/a" before and after its key is revoked
    Then the first answer is 200 and the second one 401

  Scenario: Each pipelined request is authenticated by its own key
    When a caller pipelines requests of blue, nobody and green
    Then the answers are 200, 401 and 200, for "blue" and "green"

  Scenario: A daemon without the store answers 503, not 401, to an unknown key
    Given no daemon reaches the store
    When a caller with the key of "nobody" asks "/r0/a" as "id-5"
    Then the answer with a key is 503 with a Retry-After field
    When a caller with the key of "blue" asks "/r0/a" as "id-6"
    Then the answer with a key is 200

  Scenario: A daemon that follows relays knows keys, and rejects unknown ones
    Given four more hosts, most of which follow relays
    When the key of "nobody" is given to "green"
    Then every daemon serves it, and answers 401 to an unknown key
    When that key is revoked again
    Then every daemon answers 401 to it

  Scenario: A daemon whose peers have a later version answers 503, not 401
    Given a call by a later version has come to the first host
    When a caller with the key of "nobody" asks "/r0/a" as "id-10"
    Then the answer with a key is 503 with a Retry-After field

  Scenario: A strict daemon serves known keys only for a limited time
    Given daemons that are strict after 300 ms
    And no daemon reaches the store
    When a caller with the key of "blue" asks "/r0/a" as "id-11" 400 ms later
    Then the answer with a key is 503 with a Retry-After field
    And no target ran a request

  Scenario: A threaded proxy requires keys as well
    Given a proxy with a route that needs the key of "blue"
    Then it answers 401 without the key, and passes "blue" on with it

  Scenario: A daemon that starts without the store uses no outdated version
    Given no daemon reaches the store
    When the first daemon restarts and gets known and unknown keys
    Then it holds no version, and its answers are 503

  Scenario: A daemon without a version answers 503, not 401
    Given a daemon that knows no version
    When a caller with the key of "nobody" asks "/r0/a" as "id-7"
    Then the answer with a key is 503 with a Retry-After field

  Scenario: Daemons write no key anywhere
    When daemons refuse, serve, fail, crash and explain with known keys
    Then the logs contain all of these events
    And no key is in the logs, metrics, answers, store or rows
    And the start of the digest of the refused key is logged
