Feature: Connections that go silent for good while new ones work
  Bytes sent on such a connection are lost, and no reset tells of it.

  Background:
    Given a mesh with two calendar hosts
    And a route "/long/" with a timeout of 3000 ms
    And a third host that is ready

  # Guards against a silent connection that is used again, or that holds its
  # request beyond its time.
  Scenario Outline: All open connections of a kind go silent at once
    Given 12 calls at once that open connections
    When all open connections to <servers> go silent
    And 30 <kind> requests are sent, 6 at a time
    Then each silent connection costs one request at most, which is told the truth
    And all of 30 more <kind> requests are answered 200

    Examples:
      | servers   | kind   |
      | daemons   | safe   |
      | daemons   | unsafe |
      | targets   | safe   |
      | targets   | unsafe |
      | the store | safe   |

  Scenario Outline: Safe requests with time left are answered all the same
    Given 12 calls at once that open connections
    When all open connections to <servers> go silent
    And 30 patient requests are sent, 6 at a time
    Then all are answered 200

    Examples:
      | servers          |
      | daemons          |
      | the first target |
