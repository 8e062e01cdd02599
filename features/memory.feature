Feature: Memory of a daemon that lives long
  Whatever a request enters, it leaves when it ends, however it ends.

  # Waiters of requests that ended early stayed with the peer and kept the
  # requests in memory, until the daemon exceeded its limit.
  Scenario Outline: Requests that end early leave nothing behind
    Given a front host, a sound peer, and a peer that <answers>
    And 60 requests came of which a third ended early: <end>
    When 150 more requests come of which a third ends early: <end>
    Then nothing is left of them in any table of the front host

    Examples:
      | answers   | end                   |
      | works     | the caller leaves     |
      | works     | the deadline passes   |
      | works     | the peer is replaced  |
      | hangs     | the caller leaves     |
      | hangs     | the deadline passes   |
      | hangs     | another answers first |
      | is silent | the caller leaves     |
      | is silent | another answers first |
      | is silent | the peer is replaced  |

  # Work times, searches and retry budgets of routes and target sets stayed
  # after the version that named them.
  Scenario: Versions that rename everything leave nothing behind
    Given a front host, a sound peer, and a peer that works
    And 3 versions came that renamed the route and its service
    When 12 more versions come that rename the route and its service
    Then nothing is left of them in any table of the front host

  # The retries of target sets that no version names any more were kept.
  Scenario: A retry budget drops an unused target set only after its window
    Given a retry window of 10 s that counted requests to "gone"
    Then it still counts them after 5 s without that target set
    And it has dropped them after 16 s without that target set

  # A piece of input with many heads began all its requests at once, and a
  # caller that read nothing got on with the next ones.
  Scenario: A caller that reads nothing begins few requests
    Given a target with large answers
    When 1 callers send 60 requests ahead, and read nothing for 1.5 s
    Then no more than 16 requests are begun at a time
    And the answers held for them fit into the memory of the daemon
    And the first caller gets all 60 answers when it reads

  # Each of many callers may hold answers, all of them together may not.
  Scenario: Many callers that read nothing leave room for others
    Given a target with large answers
    When 60 callers send 30 requests ahead, and read nothing for 3 s
    Then the answers held for them fit into the memory of the daemon
    And another caller is answered

  # A call that ended after its peer had moved put its connection into a pool
  # that nobody took from any more.
  Scenario Outline: A connection to a peer that is gone is closed
    Given a connection taken from the pool of a peer
    When the peer <goes> before the call on that connection ends
    Then the connection is closed once the call has ended

    Examples:
      | goes                  |
      | moves to another port |
      | leaves the fleet      |

  # Each cancelled call left a future until the suspect before it had ended.
  Scenario: Calls that are cancelled while a suspect runs leave nothing behind
    Given a suspect request that runs
    When 20 calls that wait for its end are cancelled
    Then nobody waits for its end any more

  # Pauses of relays and allocators were kept for hosts that had left.
  Scenario: Hosts that come and go leave no pauses behind
    Given a daemon that has backed off from 30 hosts as relays and allocators
    When all but 2 of them have left the fleet
    Then it remembers pauses of no more than 2 hosts

  # A daemon that grew was killed, and nothing had told which table grew.
  Scenario: The metrics tell what a request enters and leaves
    Given a front host, a sound peer, and a peer that works
    When 5 callers wait for a slow answer
    Then the gauges of the front host show 5 attempts and what they entered
    And all of these are 0 once the callers have left

  # Each workspace that ever waited for a token kept an empty queue, also after
  # the version that named it.
  Scenario: Workspaces that waited for tokens leave nothing behind
    Given a daemon that fetches quota tokens
    When a request of each of 20 workspaces waits for a token in vain
    Then no queue of any workspace is left

  # Guards against a bound that closes the connections of callers that read.
  Scenario: Callers that read keep their connections, however much is held
    Given 64 MB as the most that a service holds for its callers
    When 6 callers ask it for 15.9 MB at once, and read at full speed
    Then each of them gets a whole answer
