Feature: The adapter to the users' platform
  Names are decoded once, and what cannot be decoded is refused.

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

  Scenario: The settings file of the platform
    Given the settings file of the platform's page
    Then it is decoded with its addresses, bounds and store

  Scenario: Fields that are not known are left out
    Given the settings file of the platform's page
    And a field that is not known
    Then it is decoded with its addresses, bounds and store

  Scenario Outline: A settings file that lacks something is refused
    Given the settings file of the platform's page
    And its field <field> is missing
    Then it is refused with code 1002

    Examples:
      | field    |
      | app      |
      | listen   |
      | platform |
      | bounds   |

  Scenario: A changed file takes effect with a signal and without one
    Given a follower of the settings file
    When the file changes the address of the store
    Then the change is applied once
    And a file that is half written keeps the settings in force

  Scenario: The operator's document
    Given the document of the platform's page
    Then it is a bundle with 2 routes, 3 target sets and limits
    And the route that may run once is not repeatable
    And the split has weights 90 and 10

  Scenario Outline: Kinds of routes say what may run more than once
    Given the document of the platform's page
    And its text ""kind":"safe"" is replaced by ""kind":"<kind>""
    Then requests of that route may run <times>

    Examples:
      | kind           | times          |
      | safe           | more than once |
      | download       | more than once |
      | non_idempotent | once           |
      | upload         | once           |
      | unheard-of     | once           |

  Scenario Outline: A document with a fault is refused
    Given the document of the platform's page
    And its text "<part>" is replaced by "<other>"
    Then it cannot be decoded

    Examples:
      | part           | other     |
      | "version":"r7" | "v":"r7"  |
      | 1500ms         | soon      |
      | "attempts":2   | "attempts":"2" |

  Scenario Outline: A document that breaks a rule of bundles is kept out
    Given the document of the platform's page
    And its text "<part>" is replaced by "<other>"
    Then it is decoded, and refused as a bundle

    Examples:
      | part                | other                |
      | "service":"wuno96b" | "service":"nobody"   |
      | "attempts":2        | "attempts":0         |
      | 1500ms              | 9000000s             |

  Scenario: Unknown resources and fields of a document are left out
    Given the document of the platform's page
    And its text ""priority":1" is replaced by ""priority":1,"new":{}"
    Then it is a bundle with 2 routes, 3 target sets and limits

  Scenario: Counters and latencies as text
    Given counts of 3 answers and 2 refusals
    Then their text has both counters and a histogram of 3

  Scenario: A process that stood still counts the time that it lost
    Given a process that stood still for 4 s
    Then a request read now counts as 4 s old for a moment
    And a beat that is 0.2 s late counts as nothing

  Scenario: The story of a request is found in the logs of several hosts
    Given logs of two hosts in which "id-1" was refused after two attempts
    When "id-1" is explained
    Then its lines come in the order of time, with the text of SDG-5008
    And nothing of other requests is shown

  Scenario: A request without a line says why there may be none
    Given logs of two hosts in which "id-1" was refused after two attempts
    When "id-9" is explained
    Then it is said that plain successes are sampled

  Scenario: What a host believed is told apart from requests
    Given logs of two hosts in which "id-1" was refused after two attempts
    When the host "hall-1" is explained
    Then only its start and what others believed of it are shown
