Feature: Judges of answers, runs, departures, versions and repetitions
  Each rule but LOST has a judge in sedgering/testing/judges/_clauses.py.

  # Guards against a clause that no run would ever show as broken.
  Scenario Outline: Each rule is judged up to its bound
    Given a record of <record>
    Then the rules broken are <findings>

    Examples: MIXED
      | record                                                  | findings  |
      | a success without proof                                 | 1 x MIXED |
      | a success with the body of another request              | 1 x MIXED |
      | a success for a failure of the target                   | 1 x MIXED |
      | a failure with proof and another status than the target's | 1 x MIXED |
      | a failure with proof and the status of the target       | nothing   |
      | a failure without proof beside an answer of the target  | nothing   |
      | a success of the target                                 | nothing   |

    Examples: TWICE and REFUSED
      | record                                        | findings    |
      | 2 runs of a request that may run once         | 1 x TWICE   |
      | 1 run of a request that may run once          | nothing     |
      | 2 runs of a request that may be repeated      | nothing     |
      | 503 for a request that may run once and ran   | 1 x REFUSED |
      | 429 for a request that may run once and ran   | 1 x REFUSED |
      | 502 for a request that may run once and ran   | nothing     |
      | 503 for a request that may run once, not run  | nothing     |
      | 503 for a request that may be repeated and ran | nothing    |

    Examples: UNASKED
      | record                                   | findings    |
      | a run that no caller sent                | 1 x UNASKED |
      | a run with another path                  | 1 x UNASKED |
      | a run for another calling set            | 1 x UNASKED |
      | a run with its own path and calling set  | nothing     |

    Examples: DENIED
      | record                                           | findings    |
      | 6 of 500 requests got 400                        | nothing     |
      | 7 of 500 requests got 400                        | 7 x DENIED  |
      | 7 of 500 requests got 429                        | nothing     |
      | 7 of 500 requests got 400 of their target        | nothing     |
      | 7 of 500 improper requests got 400               | nothing     |
      | 7 of 500 requests got 400 2.9 s after a kill     | nothing     |
      | 7 of 500 requests got 400 3.1 s after a kill     | 7 x DENIED  |
      | 7 of 500 requests got 404 2.9 s after a kill     | 7 x DENIED  |
      | 10 of 5000 requests got 404 2.9 s after a kill   | nothing     |
      | 11 of 5000 requests got 404 2.9 s after a kill   | 11 x DENIED |

    Examples: DRAIN
      | record                                                     | findings  |
      | a request that reached a target 2.01 s after its departure | 1 x DRAIN |
      | a request that reached a target 1.99 s after its departure | nothing   |
      | a request that reached another target after a departure    | nothing   |
      | a late request beside a kill of its host                   | nothing   |
      | a late request beside an outage of the store               | nothing   |
      | a late request beside an outage, acknowledged by its host  | 1 x DRAIN |

    Examples: CONFIG
      | record                                                    | findings    |
      | 404 for a request sent 2.1 s after its route              | 1 x CONFIG  |
      | 404 for a request sent 1.9 s after its route              | nothing     |
      | 404 for a request sent 6.9 s after its route in an outage | nothing     |
      | 404 for a request sent 7.1 s after its route in an outage | 1 x CONFIG  |
      | 2 of 3 requests overdue                                   | 2 x TIMEOUT |
      | 1 of 2 requests overdue                                   | nothing     |
      | 8 of 31 requests overdue                                  | 8 x TIMEOUT |
      | 8 of 32 requests overdue                                  | nothing     |
      | 7 of 20 requests overdue                                  | nothing     |
      | 2 of 3 requests overdue, by 0.49 s                        | nothing     |

    Examples: GONE
      | record                                                   | findings |
      | 4 requests that reached targets 0.51 s after their callers left | 4 x GONE |
      | 3 requests that reached targets 0.51 s after their callers left | nothing  |
      | 4 requests that reached targets 0.49 s after their callers left | nothing  |
      | 2 of 4 lasting runs that went on for 0.51 s              | 2 x GONE |
      | 1 of 4 lasting runs that went on for 0.51 s              | nothing  |
      | 2 of 4 lasting runs that went on for 0.49 s              | nothing  |
      | 2 of 4 lasting runs that may run once and went on for 0.51 s | nothing |

    Examples: BUDGET
      | record                                        | findings         |
      | 4 requests that ran on 3 targets, 2 allowed   | 4 x ATTEMPTS     |
      | 3 requests that ran on 3 targets, 2 allowed   | nothing          |
      | 4 requests that ran on 2 targets, 2 allowed   | nothing          |
      | 4 requests that ran on 3 targets, one of which ended | nothing   |
      | 83 repetitions for 100 requests in 10 s       | 1 x REPETITIONS  |
      | 82 repetitions for 100 requests in 10 s       | nothing          |
      | 83 repetitions for 100 requests in 20 s       | nothing          |
