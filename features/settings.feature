Feature: Settings are validated at start
  Invalid settings end the program with one line that holds a numbered code
  and the path of the key.

  Scenario Outline: A wrong setting is refused
    Given proxy settings where <key> is <value>
    When the settings are loaded
    Then they are refused with code <code> naming "<named>"

    Examples:
      | key                             | value       | code | named                      |
      | tpyo                            | 1           | 1002 | tpyo                       |
      | peer_port                       | "seven"     | 1002 | $.peer_port                |
      | platform.timeout                | 5           | 1002 | did you mean `timeout_ms`  |
      | address                         | localhost   | 1004 | $.address                  |
      | platform.address                | example.com | 1004 | $.platform.address         |
      | peer_port                       | 70000       | 1005 | $.peer_port                |
      | distribution.fan_out            | 1           | 1005 | $.distribution.fan_out     |
      | membership.compare_interval_ms  | 0           | 1005 | compare_interval_ms        |
      | host                            | ~           | 1003 | host                       |

  Scenario: The program exits with status 2 and one line
    Given proxy settings where peer_port is 70000
    When sedgering-proxy is started with them
    Then it ends with status 2 and one line starting with "SDG-1005"

  Scenario: The documented error codes match the code
    Then docs/errors.md lists every code with its text

  Scenario: The documented settings match the code
    Then docs/settings.md equals the page made from the settings classes
    And every setting has a description

  Scenario: Only the platform adapter uses the platform's own names
    Then no module but the adapter and the simulators uses platform names

  Scenario: Packages import only lower layers
    Then every package imports only what docs/architecture.md lists below it

  # Guards against retries that keep to the budget at each target set, and pass
  # it at one that the targets of another call.
  Scenario: Retries at two levels of calls fit into the budget together
    Then twice the default share of the retry budget is less than all of it
