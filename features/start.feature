Feature: A daemon that starts is of use at once
  After a loss of power all daemons start at the same moment, and the callers
  of a second come back on top of the usual ones.

  Scenario: The daemon loads no library that only tools need
    Then the daemon's program loads neither "urllib3", "typer", "yaml" nor "ssl"

  Scenario: What connects before the daemon is up is answered by it
    Given ports that listen before their service is there
    When a caller sends a request, and the service starts later
    Then the caller gets its answer

  Scenario: A port that is in use is told
    Given ports that listen before their service is there
    Then the daemon's program ends with status 2 on the same port

  Scenario: Settings that cannot be read end the daemon with one line
    When the daemon's program is started without the settings of its host
    Then it ends with status 2 and one line with a code

  Scenario: The daemon runs from modules that were compiled with the build
    Given the daemon's modules, compiled twice into one folder
    When the daemon's program is started from them without its settings
    Then it ends with status 2 and one line with a code
    And no module was compiled by its start

  Scenario: A module without a source is compiled no more
    Given the daemon's modules, compiled twice into one folder
    When a compiled module whose source is gone lies among them
    Then the next build removes it, and replaces no other

  Scenario: A request that comes before the version is held, and served
    Given a host whose daemon starts before the operator has written
    When a caller asks, and the first version comes 0.1 s later
    Then the answer is 200 after 0.1 s

  Scenario: A request is refused at once where the version is not near
    Given a host whose daemon started 2 s ago and has no version
    When a caller asks
    Then it is refused at once as not run, with a time to come back

  Scenario: A request is not held for longer than it may be worth
    Given a host whose daemon starts before the operator has written
    When a caller asks
    Then it is refused within 0.5 s as not run, with a time to come back

  Scenario: A host tells the target that it has now, and is asked again
    Given two hosts, the first of which hears nothing new of the store
    When the target of the second host is replaced by another lifetime
    Then a call of the first host runs there, once
    And the first host knows the new target

  Scenario: Many calls at once learn the new target from the first answers
    Given two hosts, the first of which hears nothing new of the store
    When the target of the second host is replaced by another lifetime
    Then 5 calls of the first host at once all run there, once each

  Scenario: What a host told is replaced by the next row of the store
    Given a table of members with a row that a host has told
    Then the told row holds while the stored one stays
    And the next stored row replaces it
    And a host without a row is not believed

  Scenario: A daemon that joins a large mesh gets its version from relays
    Given a mesh of 5 hosts in which relays serve
    When another host starts
    Then all hosts have version 1
    And the daemon that joined has not read the document in the store

  Scenario: A daemon whose relays are all away reads the store itself
    Given a mesh of 5 hosts in which relays serve
    When both relays are killed
    And a daemon starts whose row names relays that are gone
    Then all hosts that live have version 1

  Scenario Outline: A slow answer of the store is awaited while bytes come
    Given a peer that sends its answer <manner>
    Then the exchange with 0.2 s of silence allowed <result>

    Examples:
      | manner                        | result |
      | in pieces, one each 0.1 s     | ends   |
      | after 1 s of silence          | fails  |
