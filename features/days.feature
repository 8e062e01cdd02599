Feature: Simulated days that the test bench runs
  Each file in deploy/days/ describes a day: planned operations and faults that
  the test bench can run on any site.  The bench silently skips a file that it
  cannot parse or that contains an unknown name.

  Scenario: The expected days exist
    Then the days are "deadly, departures-and-restarts, releases-without-store, rolling-stops, targets-come-back"

  Scenario: Each day has the required keys and no unknown ones
    Then each day has the name of its file, a seed, a plan, faults and no other key

  Scenario: Each entry has a kind and fields that the bench supports, and a valid time
    Then each entry has a kind that its list allows and no unknown field
    And each time is within 30 s, each share above 0 and at most 1

  Scenario: A day names no particular site
    Then zones, services and request classes are placeholders for the first of a site

  Scenario: Each day has the kinds of entries that its name implies
    Then "deadly" has the kinds "poison, scale_in"
    And "departures-and-restarts" has the kinds "scale_in, release, node_kill, platform_down, roll_term"
    And "rolling-stops" has the kinds "burst, roll_term"
    And "targets-come-back" has the kinds "srv_crash, srv_flap"
    And "releases-without-store" has the kinds "release, platform_down"
