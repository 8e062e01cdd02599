Feature: A host that is suspended for seconds
  While a host is suspended, its monotonic clock stops, but the boot-time clock
  goes on.  On the monotonic clock all timeouts of a daemon would last longer
  by the suspension: it would go on with requests whose callers have gone, and
  give targets more time than is left.  The fault was found by code review;
  it has not occurred in operation.

  Scenario: A request whose deadline has passed while its host was suspended
    Given a daemon, a target, and a request with a timeout of 3 s that takes 6 s
    When its host is suspended for 4 s after 0.5 s
    Then the caller gets status 504
