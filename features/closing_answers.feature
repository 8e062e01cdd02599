Feature: Requests behind an answer that closes their connection

  # Guards against a request that is run though its caller sends it again.
  Scenario: A request in one piece with one whose immediate answer closes
    Given a service that leaves and refuses the first request immediately
    When a caller sends two requests in one piece
    Then only the first is answered, and the second is not begun

  # Guards against paced answers that stop when another caller has left.
  Scenario: A caller leaves before the last piece of its answer
    Given a service that leaves and paces its answers
    When a caller leaves just before the last piece of its answer is written
    Then the answer that waits behind it is complete
