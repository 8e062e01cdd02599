Feature: Signals to a daemon at any moment
  A daemon opens its ports before it loads the rest, so that whole requests wait
  in its listen queues from then on. The end of the process resets them.

  # Guards against the default action of a signal that meets no handler yet.
  Scenario Outline: A signal to end while a daemon loads cuts no request
    Given a loading daemon process with a request in its listen queue
    When the process gets <signal>
    Then the waiting request is answered with status 503
    And the process ends with status 0 within its grace time

    Examples:
      | signal  |
      | SIGTERM |
      | SIGINT  |

  # Guards against the default action of a signal that meets no handler yet.
  Scenario: A signal to reload while a daemon loads does not end it
    Given a loading daemon process with a request in its listen queue
    When the process gets SIGHUP
    Then the waiting request is answered with status 503
    And the process logs "settings reloaded"
    When the process gets SIGTERM
    Then the process ends with status 0 within its grace time

  # Guards against a grace time that begins only when the event loop runs.
  Scenario: The time in which a daemon loads counts towards its grace time
    Given a loading daemon process with a request in its listen queue
    And a caller that never completes its request
    When the process gets SIGTERM and is stopped for 2.5 s while it loads
    Then the process ends with status 0 within its grace time

  Scenario: A daemon logs how long it took to end
    Given a daemon process that has started
    When the process gets SIGTERM
    Then the process ends with status 0 within its grace time
    And the process logs "ended"

  # Guards against an end that takes part of the grace time, or outstays it,
  # after the last answer.
  Scenario: Nothing that is not owed delays the end of a daemon
    Given a daemon process with a thread that goes on for 60 s
    When the process gets SIGTERM
    Then the process ends with status 0 within its grace time
    And the process logs "ended"

  # Guards against a reserve of the grace time that one pause of the process, as
  # a loaded host causes them, uses up.
  Scenario Outline: A pause at its end does not make a daemon outstay its time
    Given a daemon process that has started
    And a caller that never completes its request
    When the process gets SIGTERM, and is stopped <after> s later for <pause> s
    Then the process ends with status 0 within its grace time

    Examples:
      | after | pause |
      | 5.0   | 0.5   |
      | 5.3   | 0.35  |
      | 5.5   | 0.6   |

  Scenario: A daemon logs what it waits for after its tasks were cancelled
    Given a task that goes on for 0.2 s after it was cancelled
    Then it is logged once the other tasks of the daemon have ended

  Scenario Outline: A program receives signals before it loads the rest
    Then importing "<program>" loads neither "enum", "socket" nor "typer"

    Examples:
      | program              |
      | sedgering.cli.daemon |
      | sedgering.cli.mesh   |
      | sedgering.cli.proxy  |

  # Guards against default actions that are restored as the event loop closes.
  Scenario Outline: Signals to a daemon that has left do not change its status
    Given a daemon process that has started
    When the process gets SIGTERM
    And the process gets <signal> every millisecond until it has ended
    Then the process ends with status 0 within its grace time

    Examples:
      | signal  |
      | SIGTERM |
      | SIGINT  |
      | SIGHUP  |

  # Guards against a watch of the settings file that ends with an exception.
  Scenario Outline: The settings file is followed after it held odd values
    Given a daemon process that has started
    When the settings file is <state> for a moment
    And the settings file changes
    Then the process logs "settings reloaded"

    Examples:
      | state                  |
      | nested too deep        |
      | without a finite quota |

  # Guards against signals that are lost when the handler of another one fails.
  Scenario Outline: A signal to end is handled beside one to read odd settings
    Given a daemon process that has started
    When the settings file is <state> for a moment
    And the process gets SIGHUP and SIGTERM at once
    Then the process ends with status 0 within its grace time

    Examples:
      | state                  |
      | nested too deep        |
      | without a finite quota |

  # Guards against a leave that fails, and cuts what is under way, because it
  # needs a descriptor of its own.
  Scenario: A daemon leaves gracefully while it has no descriptor left
    Given a daemon process that has started
    And a caller that has sent the first half of a request
    And idle callers that use up the descriptors of the daemon
    When the process gets SIGTERM
    And the caller sends the rest 3 s later
    Then the waiting request is answered with status 503
    And the process ends with status 0 within its grace time

  # Guards against an event loop that stands still while it logs, and tries
  # again, each connection of a full listen queue.
  Scenario: A daemon without a free descriptor is not busy with its queue
    Given a daemon process that has started
    And idle callers that use up the descriptors of the daemon
    Then it writes at most 100 lines a second for 3 s
