Feature: Callers that send slowly cost others nothing
  The bodies of requests share a bound.  Who takes longest to send a body gives
  way where others need the memory.

  # Guards against refusing the bodies of all for those that do not arrive.
  Scenario Outline: A body that does not arrive gives way to those of others
    Given an empty memory of request bodies
    When 39 callers send 1 MB of 60 MB, and <then>
    Then another caller that sends 3 MB at once is answered with 200
    And a few of the 39 are told 408, the others keep their connections

    Examples:
      | then                 |
      | stop                 |
      | go on by 1 kB        |
      | go on in 1 kB chunks |

  # Guards against bodies that give way although they arrive at full speed.
  Scenario: Bodies that arrive at full speed do not give way
    Given an empty memory of request bodies
    When 30 callers send bodies of 1 MB at full speed, again and again
    Then each of them is answered with 200 each time
