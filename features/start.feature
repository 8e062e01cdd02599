Feature: A starting daemon serves requests immediately
  After a power failure all daemons start at the same moment, and a second of
  refused callers retries in addition to the usual load.

  Scenario: The daemon imports no library that only tools need
    Then the daemon's program loads neither "urllib3", "typer", "yaml" nor "ssl"

  Scenario: Connections opened before the daemon has started are answered
    Given ports that are opened before their service starts
    When a caller sends a request, and the service starts later
    Then the caller gets its answer

  Scenario: A port that is in use is reported
    Given ports that are opened before their service starts
    Then the daemon's program ends with status 2 on the same port

  Scenario: The daemon reports unreadable settings in one line and ends
    When the daemon's program is started without the settings of its host
    Then it ends with status 2 and one line with a code

  Scenario: The daemon runs from modules that were compiled with the build
    Given the daemon's modules, compiled twice into one folder
    When the daemon's program is started from them without its settings
    Then it ends with status 2 and one line with a code
    And no module was compiled by its start

  # Guards against a signal that ends a process before its first instruction,
  # which looks like a process that ended by itself.
  Scenario: The deployed command receives signals before it loads a library
    Given the daemon's modules, compiled twice into one folder
    When the deployed command is started from them without its settings
    Then it ends with status 2 and one line with a code
    And only the interpreter's own modules are loaded before its signals

  Scenario: A compiled module without a source is removed
    Given the daemon's modules, compiled twice into one folder
    When a compiled module without a source is added to them
    Then the next build removes it, and replaces no other

  Scenario: A request that arrives before the first version is held and served
    Given a host whose daemon starts before the first version is written
    When a caller sends a request, and the first version arrives 0.1 s later
    Then the answer is 200 after 0.1 s

  Scenario: A request is refused at once if no version is expected soon
    Given a host whose daemon started 2 s ago and has no version
    When a caller sends a request
    Then it is refused at once as not run, with a Retry-After time

  Scenario: A request is held only for a limited time
    Given a host whose daemon starts before the first version is written
    When a caller sends a request
    Then it is refused within 0.5 s as not run, with a Retry-After time

  Scenario: A host returns its current target, and the call is sent again
    Given two hosts, the first of which gets no updates of the store
    When the target of the second host is replaced by another lifetime
    Then a call of the first host runs there, once
    And the first host knows the new target

  Scenario: Concurrent calls learn the new target from the first answers
    Given two hosts, the first of which gets no updates of the store
    When the target of the second host is replaced by another lifetime
    Then 5 calls of the first host at once all run there, once each

  Scenario: The store's next row replaces a row from the answer of a host
    Given a member table with a row from the answer of a host
    Then that row is used while the stored one is unchanged
    And the next stored row replaces that row
    And an answer of a host without a stored row is ignored

  Scenario: A daemon that joins a large mesh gets its version from relays
    Given a mesh of 5 hosts with relays
    When another host starts
    Then all hosts have version 1
    And the daemon that joined has not read the document in the store

  Scenario: A daemon without any running relay reads the store itself
    Given a mesh of 5 hosts with relays
    When both relays are killed
    And a daemon starts while the member rows still list the killed relays
    Then all remaining hosts have version 1

  Scenario Outline: A slow answer of the store is awaited while bytes arrive
    Given a peer that sends its answer <manner>
    Then the exchange with a silence limit of 0.5 s <result>

    Examples:
      | manner                        | result |
      | in pieces, one each 0.1 s     | ends   |
      | after 1 s of silence          | fails  |
