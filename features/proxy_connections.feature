Feature: Callers' connections to sedgering-proxy that have no request
  A connection without a request is not one whose caller will send none.

  # Guards against closing a connection whose caller was not told to stop.
  Scenario: Callers go on using the connections of a leaving proxy
    Given a target that answers
    And 8 callers of the proxy that were answered
    When the proxy leaves while they send in turn
    Then each caller of the proxy gets an answer

  # Guards against closing a connection whose first request is on its way.
  Scenario: A first request reaches a proxy that has stopped listening
    Given a target that answers
    And 8 callers that connect to the proxy
    When the proxy leaves before they send
    Then each caller of the proxy gets an answer

  # Guards against a reset of connections that wait to be accepted.
  Scenario: Whoever connects to a leaving proxy gets an answer
    Given a target that answers
    When the proxy leaves while 40 callers connect anew and pause 0.03 s
    Then each caller of the proxy gets an answer

  # Guards against a reset between the last accept and the close of the port.
  Scenario: A caller connects as the port of a leaving proxy closes
    Given a target that answers
    When the proxy leaves while a caller connects after its last accept
    Then the caller is not connected

  # Guards against a proxy that waits for a caller which sends nothing.
  Scenario: Silent callers do not hold up the end of a proxy
    Given a target that answers
    And 2 callers of the proxy that were answered
    And 2 callers that connect to the proxy
    When the proxy leaves
    Then it has left within 7 s

  # Guards against closing kept connections for a step of the wall clock.
  Scenario: The wall clock jumps
    Given a target that answers
    And 2 callers of the proxy that were answered
    When the wall clock jumps by an hour, and they send
    Then each caller of the proxy gets an answer

  # Guards against a loop of failed accepts, in which no connection expires.
  Scenario: A proxy has no descriptor left
    Given a target that answers
    And 2 callers of the proxy that were answered
    When the proxy cannot accept a connection for 1 s
    Then it has tried at most 4 times
    And a caller that connected meanwhile gets an answer
