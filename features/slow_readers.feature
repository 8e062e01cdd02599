Feature: Callers that read slowly cost others nothing
  What callers do not read is held by the daemon.  Who leaves much unread gives
  way where others need the memory; nobody else is refused or cut.

  # Guards against refusing all callers of a host for what a few of them hold.
  Scenario: A caller is served beside six that read nothing of large answers
    Given a daemon whose target answers with 12 MB
    When 6 callers ask it and read nothing
    Then 10 requests of others for small answers are answered with 200

  # Guards against a copy of all that the kernel does not take at once.
  Scenario: A large answer that is not read is not copied
    Given 64 MB for the answers of a service, each of 12 MB
    When 1 caller asks it and reads nothing
    Then it holds more than 6 MB, of which no more than 256 kB are copies

  # Guards against answers that are held without a bound, as nobody waits for
  # room that has received them already.
  Scenario: The answers of callers that read nothing have a bound together
    Given 24 MB for the answers of a service, each of 12 MB
    When 8 callers ask it and read nothing
    Then it holds no more than 24 MB after 2 s, and some connections are kept

  # Guards against daemons that suspect each other for what their callers do.
  Scenario: A daemon may read nothing for longer than a caller
    Given 24 MB for the answers of a service, each of 12 MB
    And its callers are other daemons
    When 8 callers ask it and read nothing
    Then all 8 connections are kept for 1 s
    And it holds no more than 24 MB after 3 s, and some connections are kept

  # Guards against cutting callers at full speed for what drip readers hold.
  Scenario: A caller that reads a little at a time gives way before others
    Given 16 MB for the answers of a service, each of 12 MB
    When 1 caller asks it and reads 2 kB each 20 ms
    And 2 callers ask it, again and again, and read at full speed
    Then the first one is cut within 8 s
    And all others get whole answers

  # Guards against refusing requests whose answers need no room.
  Scenario: Without room, only requests with large answers are refused
    Given a daemon with a route of large answers and one of small ones
    When an answer waits for room
    Then a request for a large answer is refused with 5020, as not run
    And a request for a small answer is answered with 200
    And once nothing waits, both are answered with 200

  # Guards against an interim response in the middle of another response.
  Scenario: An interim response follows what is still being sent
    Given 64 MB for the answers of a service, each of 6 MB
    When a caller asks it, and then announces a body with "100-continue"
    Then it gets a whole answer, the interim response, and another answer

  # Guards against closing before all of a queued answer has been passed on.
  Scenario Outline: A caller that half-closes gets the rest of a large answer
    Given 64 MB for the answers of a service, each of 12 MB
    And it <treats> callers that have closed their sending side
    When a caller asks it, half-closes during the answer, and then reads
    Then it gets the whole answer, and the connection ends

    Examples:
      | treats   |
      | answers  |
      | gives up |

  # Guards against callers that have read all and are cut for what others hold.
  Scenario: A caller that has read everything holds nothing
    Given 24 MB for the answers of a service, each of 1 MB
    When 30 callers behind narrow buffers read whole answers and stay
    Then nothing is recorded as held for them

  # Guards against taking the pauses of a long round trip for a caller that
  # reads nothing.
  Scenario: A caller that reads at intervals of 0.6 s does not give way
    Given 24 MB for the answers of a service, each of 12 MB
    When 4 callers ask it and read 3 MB each 600 ms
    Then all 4 of them get whole answers
