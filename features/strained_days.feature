Feature: Days of a site under its limits and strains
  A daemon runs under the memory and descriptors that the site states.  Beside
  its days targets send bytes without an end, and callers read large answers
  slowly or are far away; see docs/soak.md.

  Scenario: The limits of a site are those in the settings of its daemons
    Given the site file "three-hosts"
    Then its processes are limited to 300 MB and 400 descriptors

  # Guards against a limit that nothing applies.
  Scenario Outline: A process above its memory is killed, which is a FAULT
    When a process that holds <held> MB runs under a limit of <limit> MB
    Then it is <end>

    Examples:
      | held | limit | end                                          |
      | 80   | 60    | killed, and the soak reports "at its limit"  |
      | 80   | 60    | killed, and the soak reports "ended by itself" |
      | 80   | 200   | still running                                |

  Scenario: A process gets no more descriptors than its limit
    When a process that opens 60 descriptors runs under a limit of 40
    Then it has opened fewer than 40

  Scenario: A seed always gives the same strains
    Given the site file "three-hosts"
    Then 50 seeds give reproducible strains that differ from each other
    And they have each kind of bad bytes, at several targets at once

  Scenario Outline: Only a target's own answer is excused by its bad bytes
    When a caller asks a target that sends bad bytes "<kind>"
    Then the exchange fails or its answer is whole
    And the run of that target is not sound

    Examples:
      | kind         |
      | status line  |
      | fields       |
      | chunks       |
      | until close  |
      | length       |
      | no answer    |
      | after answer |

  # Guards against judges that excuse all callers that read slowly.
  Scenario Outline: Only who reads nothing for longer than the idle limit is excused
    Given results of a soak in which an answer is cut after <reading> s, of which nothing was read for <paused> s
    Then the soak reports <finding>

    Examples:
      | reading | paused | finding                  |
      | 6.0     | 0.0    | closed without an answer |
      | 6.0     | 2.0    | closed without an answer |
      | 6.0     | 2.1    | no violation             |

  Scenario Outline: Bad bytes excuse only the requests that they answer
    Given results of a soak in which a target sent bad bytes to <whom> as a request ended unanswered
    Then the soak reports <finding>

    Examples:
      | whom    | finding                  |
      | it      | no violation             |
      | another | closed without an answer |

  # Guards against an excuse that is measured from the SIGTERM of a later process.
  Scenario Outline: A cut belongs to the process that got the request
    Given results of a soak in which a caller that reads for <reading> s is cut off after two SIGTERM
    Then the soak reports <finding>

    Examples:
      | reading | finding                  |
      | 6.0     | no violation             |
      | 4.0     | closed without an answer |

  Scenario: What is on its way on a far link arrives before the end
    When 300 kB and the end of the stream are sent over a far link
    Then they arrive whole
    And a reset arrives as a reset
    And a refused connection is never established

  Scenario: A short strained day of real processes keeps all guarantees
    When the day "planned" of "three-hosts" is played with all strains
    Then no guarantee is violated
