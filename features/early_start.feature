Feature: A daemon starts while something around it is not ready yet

  # Guards against a start that ends because the platform is still writing the
  # settings file, which resets the requests in the listen queues.
  Scenario Outline: A settings file that is complete a moment later is awaited
    Given a settings file that is <state>
    And a loading daemon process with a request in its listen queue
    When the settings file is complete 1.5 s later
    Then the waiting request is answered with status 503
    And the process logs "settings were unreadable at first"

    Examples:
      | state        |
      | empty        |
      | half written |
      | missing      |

  Scenario: A settings file that stays half written ends the start
    Given a settings file that is half written
    And a loading daemon process with a request in its listen queue
    Then the process ends within 15 s with status 2 and code "SDG-1002"

  # Guards against a start that ends because the process before it still holds
  # a port.
  Scenario: A port that is free a moment later is awaited
    Given a port of a host that another process holds
    When a daemon process starts, and the port is free 1.5 s later
    Then the daemon process answers its readiness check
    And the process logs "port was in use at first"

  # Guards against a start that tries the ports opened after the load only once.
  Scenario Outline: A port opened after the load that is free a moment later is awaited
    Given the <port> port of a host that another process holds
    When a daemon process starts, and the port is free 0.9 s later
    Then the daemon process answers its readiness check

    Examples:
      | port    |
      | peers   |
      | metrics |

  # Guards against a wait that outstays the grace time of a signal to stop, and
  # against requests that are reset as a start ends.
  Scenario Outline: A signal to stop ends the wait of a start
    Given <obstacle>
    And a daemon process that waits, and a request in its listen queue
    When the process gets <signal>
    Then the waiting request is answered with status 503
    And the process ends with status 0 within 3 s

    Examples:
      | obstacle                                                | signal  |
      | a settings file that is half written                    | SIGTERM |
      | a settings file that is half written                    | SIGINT  |
      | the readiness port of a host that another process holds | SIGTERM |
      | the peers port of a host that another process holds     | SIGTERM |

  # Guards against a traceback, and against requests that are reset.
  Scenario Outline: A start that fails answers what waits, and tells why
    Given <obstacle>
    And a daemon process that waits, and a request in its listen queue
    Then the process ends within 15 s with status 2 and code "<text>"
    And the waiting request is answered with status 503

    Examples:
      | obstacle                                                | text     |
      | a settings file that is half written                    | SDG-1002 |
      | the readiness port of a host that another process holds | usage    |
      | the peers port of a host that another process holds     | SDG-1006 |

  # Guards against errors of the decoder that are no SettingsError.
  Scenario Outline: A settings file with odd values is awaited like a damaged one
    Given a settings file that is <state>
    And a loading daemon process with a request in its listen queue
    When the settings file is complete 0.9 s later
    Then the waiting request is answered with status 503

    Examples:
      | state                  |
      | nested too deep        |
      | without a finite quota |
