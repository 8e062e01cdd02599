Feature: Adapter to the users' platform
  The adapter decodes the platform's formats, and refuses malformed input.

  Scenario Outline: Durations
    Then the duration "<text>" is <result>

    Examples:
      | text   | result  |
      | 1500ms | 1500    |
      | 2.5s   | 2500    |
      | 0ms    | 0       |
      | 3      | refused |
      | -1s    | refused |
      | 1m     | refused |

  Scenario Outline: Versions
    Then the version "<text>" is <result>

    Examples:
      | text | result  |
      | r12  | 12      |
      | 12   | refused |
      | r    | refused |
      | r-1  | refused |

  Scenario: The settings file is decoded
    Given the settings file from the platform's documentation
    Then it is decoded with its addresses, bounds and store

  Scenario: Unknown fields of the settings file are ignored
    Given the settings file from the platform's documentation
    And a field that is not known
    Then it is decoded with its addresses, bounds and store

  Scenario Outline: A settings file without a required field is refused
    Given the settings file from the platform's documentation
    And its field <field> is missing
    Then it is refused with code 1002

    Examples:
      | field    |
      | app      |
      | listen   |
      | platform |
      | bounds   |

  Scenario: A changed settings file takes effect without a signal, and once
    Given a watcher of the settings file
    When the file changes the address of the store
    Then the new settings are applied once
    And a partly written file leaves the current settings in force

  Scenario: The operator's document is decoded into a bundle
    Given the document from the platform's documentation
    Then it is a bundle with 2 routes, 3 target sets and limits
    And the non-idempotent route is not repeatable
    And the split has weights 90 and 10

  Scenario Outline: The kind of a route decides whether requests are repeatable
    Given the document from the platform's documentation
    And its text ""kind":"safe"" is replaced by ""kind":"<kind>""
    Then requests on that route may be executed <times>

    Examples:
      | kind           | times          |
      | safe           | more than once |
      | download       | more than once |
      | non_idempotent | once           |
      | upload         | once           |
      | unknown        | once           |

  Scenario Outline: A malformed document is refused
    Given the document from the platform's documentation
    And its text "<part>" is replaced by "<other>"
    Then it cannot be decoded

    Examples:
      | part           | other     |
      | "version":"r7" | "v":"r7"  |
      | 1500ms         | soon      |
      | "attempts":2   | "attempts":"2" |

  Scenario Outline: A document that violates the rules for bundles is refused
    Given the document from the platform's documentation
    And its text "<part>" is replaced by "<other>"
    Then it is decoded, but the bundle is refused

    Examples:
      | part                | other                |
      | "service":"wuno96b" | "service":"nobody"   |
      | "attempts":2        | "attempts":0         |
      | 1500ms              | 9000000s             |

  Scenario: Unknown resources and fields of a document are ignored
    Given the document from the platform's documentation
    And its text ""priority":1" is replaced by ""priority":1,"new":{}"
    Then it is a bundle with 2 routes, 3 target sets and limits

  Scenario: Counters and latencies are rendered as text metrics
    Given counts of 3 responses and 2 refusals
    Then their text has both counters and a histogram of 3

  Scenario: Requests read after a pause of the process are aged by the pause
    Given a process that was paused for 4 s
    Then a request read now counts as 4 s old for a short time
    And a tick that is 0.2 s late does not count as a pause

  Scenario: The log lines of a request are collected from several hosts
    Given logs of two hosts in which "id-1" was refused after two attempts
    When "id-1" is explained
    Then its lines are in the order of time, with the text of SDG-5008
    And no lines of other requests are shown

  Scenario: For a request without log lines the possible reason is shown
    Given logs of two hosts in which "id-1" was refused after two attempts
    When "id-9" is explained
    Then the output states that plain successes are sampled

  Scenario: The log lines about a host exclude those about single requests
    Given logs of two hosts in which "id-1" was refused after two attempts
    When the host "hall-1" is explained
    Then only its start and the state that its peer recorded are shown
