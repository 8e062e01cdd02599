Feature: Workspace quotas across the fleet
  The fleet never runs more requests than a quota allows, whatever fails, and
  refuses almost none within it.

  Scenario: The sum over the fleet never exceeds the bound
    Daemons crash, start, are suspended, are disconnected, leave and join, and
    quotas change, in any order.  Callers ask for several times the quota.
    Then no window holds more than the bound, in 40 runs of 30 steps

  Scenario Outline: A plan never allows more than the bound
    Given a quota of <rate> a second with a burst of <burst>
    When it is planned with an excess of <excess> and a slack of <slack>
    Then all that its plan lets run in a window is within the bound
    And its buckets refill at <least> % of its rate at least

    Examples:
      | rate | burst | excess | slack | least |
      | 310  | 310   | 0.1    | 20    | 100   |
      | 5    | 5     | 0.1    | 20    | 100   |
      | 100  | 0     | 0.1    | 20    | 80    |
      | 40   | 40    | 0      | 0     | 80    |
      | 1    | 0     | 0      | 0     | 70    |

  Scenario: Requests within the quota are not refused at steady load
    Given 24 daemons and 12 workspaces of which some are large
    When they ask for 60 % of their quotas for 6 s
    Then less than 1 % of the requests were refused

  Scenario: Requests within the quota are served while demand shifts
    Given 24 daemons and 12 workspaces of which some are large
    When they ask for 60 % of their quotas for 3 s
    And all callers go to 8 of the daemons, for 5 s
    Then less than 3 % of the requests were refused

  Scenario: A workspace that asks for six times its usual gets its quota
    Given 24 daemons and 12 workspaces of which some are large
    When the largest asks for 6 times as much for 6 s
    Then it got at least 90 % of its quota, and not more than the bound
    And less than 1 % of the requests of the others were refused

  Scenario: The crash of an allocator causes almost no refusals
    The shares leased to a crashed allocator are unused for 1.2 s.  With one
    allocator for each shard, 9 of 100 requests were refused for 6 s after its
    crash.  With two allocators, of half the rates each, 1 in 1,000 is refused.
    Given 24 daemons and 12 workspaces of which some are large
    When they ask for 60 % of their quotas for 2 s
    And an allocator crashes, and they go on for 4 s
    Then less than 1 % of the requests were refused

  Scenario: The other partition's allocator does not replace a crashed one
    If both partitions ranked the hosts in the same direction, from
    neighbouring positions, the first crash would make one host the allocator
    of both.  When that host crashed, 45 of 100 requests were refused for 3 s
    (trial with 24 daemons).
    Then of 24 hosts the two partitions share none while most run

  Scenario: A third of the hosts is disconnected
    Given 24 daemons and 12 workspaces of which some are large
    When they ask for 60 % of their quotas for 2 s
    And a third of the hosts is disconnected for 9 s
    Then no workspace has exceeded its bound
    And less than 1 % of the requests at the others were refused

  Scenario: A disconnected daemon uses only its own share
    Given 10 daemons and a workspace with 100 requests a second
    When one daemon is disconnected, and asked for 50 tokens a second for 10 s
    Then between 5 and 13 a second were granted there

  Scenario: A daemon without a quota window in its settings enforces no quota
    Given a daemon whose settings have no quota window
    Then requests of a workspace need no token

  Scenario: Leases of another lifetime, and requests that arrive late
    Given an allocator with four hosts of which three lease their share
    When the fourth leases its share from a timestamp that is long past
    Then three quarters of the rates are leased
    When it leases its share from a timestamp of another lifetime
    Then three quarters of the rates are leased
    When a host that is no member leases a share
    Then three quarters of the rates are leased

  Scenario: A bucket holds no more than the leased share of its capacity
    Given an allocator with four hosts of which three lease their share
    When no tokens of a workspace are requested for a second
    Then its bucket holds three quarters of the capacity of a partition
    When two of the three end their leases
    Then its bucket holds one quarter of the capacity of a partition

  Scenario: A token expires, also one that is given back
    Given a cache with two tokens that expire at 5 s
    When one is taken at 4.9 s, and given back at 5.1 s
    Then no token can be taken at 5.1 s

  Scenario: A lower quota drops the tokens that daemons hold
    Given 10 daemons and a workspace with 100 requests a second
    When it asks for 60 a second for 2 s, and then its quota falls to 10
    Then no more than the lower bound was granted in any window since

  Scenario Outline: A damaged token request of another daemon
    Given a mesh with two calendar hosts
    When a daemon receives a token request with <fault>
    Then it answers with status 400

    Examples:
      | fault                     |
      | a body that is no message |
      | an invalid partition id   |
      | a negative count          |

  Scenario: A request beyond the quota is refused at once with a retry time
    Given a mesh of two hosts with a quota of 5 a second for "crew"
    When callers of "crew" send 60 requests at once
    Then between 3 and 45 were answered, and the others refused with 429
    And each refusal has code 5018 and a time to retry after
    And the target ran no request that was refused

  Scenario: Requests of a workspace without a quota need no token
    Given a mesh of two hosts with a quota of 5 a second for "crew"
    When callers of "guests" send 60 requests, one after the other
    Then all 60 were answered

  Scenario: The token of an admitted request that does not run is given back
    Given a mesh of two hosts with a quota of 5 a second for "crew"
    And no target that accepts requests
    When callers of "crew" send 40 requests, one after the other
    Then none was refused for its quota

  Scenario: A second attempt at another target takes no second token
    Given a mesh of two hosts with a quota of 5 a second for "crew"
    And the targets fail every second request
    When callers of "crew" send 4 requests, one after the other
    Then 4 tokens were taken, and targets saw more than 4 requests

  Scenario: An allocator of a mesh is killed
    The remaining partition has 56 tokens and must grant the 40 that are
    requested, so the buckets of both partitions must be full before the kill.
    Started as soon as all hosts had leased their shares, the test failed once
    in 12 runs; with half-full buckets, once in 6 (35 answered, 5 refused with
    429).  The requests are sent one after the other: with 40 at once, the
    gates were full, too, and 3 runs in 10 had refusals with 503.
    Given a mesh of four hosts with a quota of 200 a second for "crew"
    And the buckets of both partitions are full
    When an allocator is killed, and callers of another host send 40 requests
    Then at least 36 of them were answered
    And none was refused with 429
