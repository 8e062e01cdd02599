Feature: The request path over the published protocol
  Daemons, targets and the store protocol, without the load generator.

  Background:
    Given a mesh with two calendar hosts

  Scenario: A request reaches a target unchanged
    When a caller posts "notes" to "/r0/a?b=c" with id "id-1"
    Then the answer is 200 with the signature and the body of "id-1"
    And one target ran "id-1" as "POST /r0/a?b=c HTTP/1.1" with body "notes"
    And it received its own id, the origin "calendar" and a shorter deadline

  Scenario: An origin field set by a caller is replaced
    When a caller sets "X-Caller-Service" to "ledger" and asks "/r0/" as "id-2"
    Then the target saw exactly one "x-caller-service", which was "calendar"

  Scenario: The longest prefix wins, and a path without a route gets 404
    Given routes "/r0/" and "/r0/deep/" where the second fails at once
    Then "/r0/deep/x" is answered by the second and "/r0/x" by the first
    And "/nowhere/" gets 404

  Scenario Outline: Bad answers of a target to a request that may be repeated
    Given the targets are <habit>
    When a caller asks "/r0/" with id "id-3"
    Then the answer is <status>
    And it arrived <arrivals> times at targets

    Examples:
      | habit                | status | arrivals |
      | encoded              | 502    | 2        |
      | no proof             | 502    | 2        |
      | reset                | 502    | 2        |
      | cut short            | 502    | 2        |
      | foreign answer first | 200    | 1        |
      | extra answer after   | 200    | 1        |
      | unframed             | 200    | 1        |
      | unframed and reset   | 502    | 2        |
      | failing              | 500    | 2        |
      | shed                 | 503    | 0        |

  Scenario: A failure is passed on where the operator allows no retries
    Given a daemon whose settings allow no retries
    And its target fails
    When a caller asks "/r0/" with id "id-5"
    Then the answer is 500

  Scenario Outline: A request that may run once is never sent again
    Given the targets are <habit>
    When a caller posts "x" to "/once/" with id "id-4"
    Then the answer is <status>
    And it arrived 1 times at targets

    Examples:
      | habit     | status |
      | reset     | 502    |
      | encoded   | 502    |
      | cut short | 502    |
      | failing   | 500    |

  Scenario: An extra answer is not delivered to any caller
    Given the targets are extra answer after
    When a caller asks "/r0/" with ids "a" to "f"
    Then each gets the body for its own id

  Scenario: An incomplete request body is not forwarded
    When a caller sends half of a body to "/once/" and closes
    Then no target ran anything

  Scenario Outline: Ambiguous request heads are refused
    When a caller sends a head with <fault>
    Then the raw answer is <status> and the connection is closed
    And no target ran anything

    Examples:
      | fault                        | status |
      | two lengths                  | 400    |
      | a length and chunks          | 400    |
      | a folded line                | 400    |
      | white space before the colon | 400    |
      | a NUL in a value             | 400    |
      | an overflowing chunk size    | 400    |
      | no host                      | 400    |
      | two hosts                    | 400    |
      | a huge field                 | 431    |
      | a huge length                | 413    |

  Scenario: Pipelined requests are answered in order
    Given the targets work 0.05 s
    When a caller sends 6 requests ahead on one connection
    Then their answers come in the order in which they were sent

  Scenario: Incomplete heads do not delay other requests
    Given 300 connections that each sent half a head
    When a caller asks "/r0/" with id "id-5"
    Then the answer is 200

  Scenario: An incomplete head is answered 408
    Given a header timeout of 200 ms
    When a caller sends half a head and waits
    Then the raw answer is 408 and the connection is closed

  Scenario: A request is cancelled at the target when its caller disconnects
    Given the targets work 5 s
    When a caller asks "/r0/" and closes once a target is at work
    Then the target sees its connection close

  Scenario: A repeatable request is retried elsewhere when a peer is silent
    Given the daemon of the second host stops answering
    When 12 requests go to the first host, which has no target of its own
    Then all requests sent to the silent host are answered by the third in time

  Scenario: A repeatable request is retried elsewhere when a target hangs
    Given the target of the second host hangs
    When 12 requests go to the first host, which has no target of its own
    Then all requests sent to the silent host are answered by the third in time

  Scenario: A slow answer is still taken when the next target refuses
    Given the targets work 1.3 s
    And the second host is the only one that does not refuse
    When a caller asks "/slow/" with id "id-10"
    Then the answer is 200
    And it arrived 1 times at targets

  Scenario: A long request is not cut off when there is no other target
    Given the targets work 1.3 s
    And only the second host has a target
    When a caller asks "/slow/" with id "id-9"
    Then the answer is 200
    And it arrived 1 times at targets

  Scenario: The timeout of the route bounds the answer
    Given the targets work 5 s
    And a route "/brief/" with a timeout of 200 ms
    When a caller asks "/brief/" with id "id-6"
    Then the answer is 504
    And the target sees its connection close

  Scenario: The deadline of the caller bounds the answer
    Given the targets work 5 s
    When a caller sets "X-Request-Deadline" to "150" and asks "/r0/" as "id-7"
    Then the answer is 504

  Scenario: A target never works on more requests than it has slots
    Given the targets work 0.05 s
    And a route "/patient/" with a timeout of 15000 ms
    When 30 callers ask "/patient/" at the same time
    Then every answer is 200, or 503 with Retry-After
    And no target worked on more than 2 at a time
    And every 503 was not run

  Scenario: A draining target gets nothing new, from any daemon
    When the target of the first host reports "draining"
    Then it is acknowledged, and 20 requests all run at the second host

  Scenario: A target that leaves without draining gets nothing new
    When the target of the first host deregisters
    Then it is acknowledged, and 20 requests all run at the second host

  Scenario: A late heartbeat does not revive a target that left
    When the target of the first host deregisters
    And it reports "ready" again
    Then it is acknowledged, and 20 requests all run at the second host

  Scenario: A draining target stays closed while the store is unavailable
    Given the store is silent
    When the target of the first host reports "draining"
    Then it is acknowledged, and 20 requests all run at the second host

  Scenario: A late heartbeat of a crashed lifetime does not close its successor
    When the daemon of the first host is killed and started again
    And the target of the first host reports "ready"
    And a late heartbeat of a lifetime that crashed arrives there
    And the target of the first host reports "ready"
    Then the first host serves the second, whose own target leaves

  Scenario: A running target is known after a late heartbeat came first
    When the daemon of the first host is killed and started again
    And a late heartbeat of a lifetime that crashed arrives there
    And the target of the first host reports "ready"
    Then the first host serves the second, whose own target leaves

  Scenario: A daemon restarted beside the same target gets work again
    When the daemon of the first host is killed and started again
    And both hosts are asked before its target reports again
    And the target of the first host reports "ready"
    Then the first host serves the second, whose own target leaves

  Scenario: A restarted daemon asks its target for its identity
    When the daemon of the first host is killed and started again
    Then the first host serves the second, whose own target leaves

  Scenario: A restarted daemon keeps the acknowledgement of its draining target
    Given the target of the first host said "draining"
    And the store answers after 0.2 s
    When the daemon of the first host is killed and started again
    Then 20 requests all run at the second host

  Scenario: Another target at the same address is not taken for the first
    When the target of the first host is replaced unannounced
    Then 20 requests all run at the second host

  Scenario: A version without a new store call is in force everywhere
    When version 2 sends "/r0/" to a service without targets
    Then "/r0/" gets 503 from both hosts

  Scenario: A version is never replaced by an older one
    When version 3 and then version 2 are written
    Then both hosts stay at version 3

  Scenario: A document that cannot be decoded keeps the version in force
    When a document that is cut short is written
    Then both hosts stay at version 1

  Scenario: A daemon that knows no version answers 503, never 404
    Given the store is silent
    And another host that has just started
    When a caller of it asks "/r0/" with id "id-8"
    Then the answer is 503
    And it is not ready until the store answers again

  Scenario Outline: Daemons recover from each failure mode of the store
    Given the store is <mode>
    And another host that has just started
    When the store is sound again
    Then all hosts are members of one fleet

    Examples:
      | mode         |
      | busy         |
      | limited      |
      | reset        |
      | lose answers |
      | late         |

  Scenario: Members are read again when the store has dropped its history
    When the store drops its history
    And version 2 sends "/r0/" to a service without targets
    Then "/r0/" gets 503 from both hosts

  Scenario: A leaving daemon is not ready, and answers what it has
    Given the targets work 0.3 s
    When the first host is told to leave while a request is under way
    Then it is not ready at once, and the request is answered 200
    And requests of the second host all run there

  Scenario: A leaving daemon completes what peers still send to it
    Given the store is silent
    And the targets work 0.4 s
    When the first host leaves within 4 s while 4 callers of the second post
    Then every post was answered 200 or 503, and ran once at the most

  Scenario: The first answer of a recovered store ends all backoff pauses
    Given three tasks of a daemon that wait for a store
    When one of them is answered
    Then all three continue at once

  Scenario: Weights of a split are met over few requests
    Given a route "/split/" with weights 90 and 10 to calendar and ledger
    When 50 requests are sent to "/split/"
    Then 5 of them ran at ledger
