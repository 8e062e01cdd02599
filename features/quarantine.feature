Feature: Which requests are held back, and for how long
  A dozen requests are under way when a target ends, and one of them may be
  the cause.  Three ends without an answer in between hold it back, the first
  of which may be of several targets; an answer of any target clears it.

  Scenario Outline: What is known of a request
    Given a request of which <told> is told
    Then it is <standing>

    Examples:
      | told                               | standing    |
      | nothing                            | sound       |
      | end 1                              | suspect     |
      | end 1, trial 2                     | suspect     |
      | end 1, trial 2, trial 3            | quarantined |
      | trial 1, trial 2, trial 3          | quarantined |
      | trial 3, trial 2, end 1            | quarantined |
      | end 1, trial 2, trial 2, trial 2   | suspect     |
      | end 1, trial 2, end 2, end 2       | suspect     |
      | end 1, end 2, end 3, trial 3       | suspect     |
      | end 1, end 2, trial 2, trial 1     | suspect     |
      | end 1, trial 2, trial 3, answer    | sound       |
      | end 1, trial 2, answer, trial 3    | suspect     |
      | end 1, answer, end 1               | sound       |
      | answer, end 1, trial 2, trial 3    | quarantined |

    Examples: targets that end together
      | told                               | standing    |
      | end 1, end 2, end 3, end 4, end 5  | suspect     |
      | end 1, end 2, end 3, trial 4       | suspect     |
      | end 1, end 2, trial 3, trial 4     | quarantined |

  Scenario: The order in which ends and answers are told does not matter
    Then daemons that were told the same ends and answers agree

  Scenario: A request that is held back is tried again, less and less often
    Given a request of which end 1, trial 2, trial 3 is told
    Then it may be tried after 120 s
    When trial 4 is told after 1 s
    Then it may be tried after 119 s
    When trial 5 is told after 121 s
    Then it may be tried after 1200 s
    When trial 6 is told after 1201 s
    Then it may be tried after 12000 s
    When an answer is told after 12001 s
    Then it is sound

  Scenario: Nothing is held back where that is switched off
    Given a limit of 0 ends
    And a request of which end 1, trial 2, trial 3 is told
    Then it is sound

  Scenario: What is known takes no more room than it may
    Given a request of which end 1, trial 2, trial 3 is told
    When 2000 other requests are blamed for one end each
    Then 512 requests are known, and the first one is quarantined

  Scenario: What is told of one request takes no more room than it may
    Given a request of which end 1 is told
    When 200 ends are told of it, each followed by an answer
    Then 64 ends are told with its calls

  Scenario Outline: Who is named when a target with many places ends
    Given a target with <count> calls under way, of which call <trial> runs as a suspect
    When it ends
    Then 32 requests are named, call <trial> and those that began last

    Examples:
      | count | trial |
      | 40    | 1     |
      | 200   | 20    |

  Scenario: What is known is forgotten in the end
    Given a request of which end 1 is told
    When another one is blamed 7300 s later
    Then 1 requests are known

  Scenario: Ends of long ago are not taken from a row that nobody has written
    Given a request that a row blames for 3 ends of 2 hours ago
    Then it is sound
    Given a request that a row blames for 3 ends of 0 hours ago
    Then it is quarantined

  Scenario Outline: What makes two requests the same
    Given two requests that differ in <difference>
    Then they are <result> request

    Examples:
      | difference           | result      |
      | nothing              | the same    |
      | their ids            | the same    |
      | their deadlines      | the same    |
      | the port of the host | the same    |
      | the method           | not the same |
      | the host             | not the same |
      | the path             | not the same |
      | the query            | not the same |
      | the body             | not the same |
      | the authorization    | not the same |
      | the cookie           | not the same |

  Scenario Outline: Which suspects run at a target at a time
    Given a suspect of <first> ends that runs
    Then <other> may <run> beside it

    Examples:
      | first | other                  | run     |
      | 1     | the same suspect       | not run |
      | 1     | another one of 1 ends  | run     |
      | 1     | another one of 2 ends  | not run |
      | 2     | another one of 1 ends  | not run |
      | 3     | another one of 3 ends  | not run |

  Scenario: All daemons choose the same place for a suspect
    Given 20 targets of one set
    Then daemons in any data centre choose the same place for each suspect
    And when a target ends, only what was to run there goes elsewhere

  Scenario: Daemons of the version before
    Then they read a suspect that is refused as one that was shed
    And a row without ends is read, and one with ends that cannot be is not
