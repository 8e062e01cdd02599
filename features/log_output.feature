Feature: Log lines never hold up a daemon

  # Guards against an event loop that stands still in a write to a full pipe.
  Scenario: A daemon whose log pipe nobody reads answers and ends in time
    Given a daemon whose standard output is a pipe that is full
    Then it answers a readiness check
    And after SIGTERM it ends with status 0

  Scenario: A daemon whose log reader has ended ends with status 0
    Given a daemon whose standard output and error are a pipe
    Then it answers a readiness check
    When the reader of the pipe ends
    Then after SIGTERM it ends with status 0

  Scenario: A daemon that starts without standard output and error answers
    Given a daemon that starts without standard output and error
    Then it answers a readiness check
    And after SIGTERM it ends with status 0

  # Guards against lines that are torn or lost without a trace.
  Scenario: A reader that returns gets whole lines, and the number of lost ones
    Given a log pipe that nobody reads
    When 2000 lines of 300 bytes are logged and the reader returns
    Then all lines that it reads are whole
    And the lines read and the lines reported as dropped are 2000

  Scenario: A line longer than a pipe takes at once is written whole
    Given a log pipe that nobody reads
    When 1 lines of 20000 bytes are logged and the reader returns
    Then all lines that it reads are whole
    And the lines read and the lines reported as dropped are 1
