Feature: Requests behind an answer that closes their connection

  # Guards against a request that is run though its caller sends it again.
  Scenario: A request in one piece with one whose immediate answer closes
    Given a service that leaves and refuses the first request immediately
    When a caller sends two requests in one piece
    Then only the first is answered, and the second is not begun
