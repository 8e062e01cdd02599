Feature: A host that is suspended for seconds
  While a host is suspended its steady clock stands still, and the clock that
  counts from boot goes on.  On the steady clock all that a daemon waits for
  lasted longer by the suspension: it went on with requests whose callers had
  gone, and gave targets more time than was left.  Found by reading, not seen.

  Scenario: A request whose time has passed while its host was suspended
    Given a daemon, a target, and a request of 3 s whose work takes 6 s
    When its host is suspended for 4 s after 0.5 s
    Then it is told 504
