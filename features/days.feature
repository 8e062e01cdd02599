Feature: The days that the bench also plays
  deploy/days/ has days of our own, which are played on any site.  A file that
  cannot be parsed, or that names what a day does not know, is left out there
  without a word.

  Scenario: The days are there
    Then the days are "deadly, releases-without-store, rolling-stops, targets-come-back"

  Scenario: Each day has what a day needs, and nothing else
    Then each day is named as its file, has a seed, plan and faults, and no more

  Scenario: Each entry is one that the bench knows, at a time of the day
    Then each entry has a known kind, in its list, and known fields only
    And each time is within 30 s, each share above 0 and at most 1

  Scenario: A day fits any site
    Then zones, services and kinds of requests are the first ones of a site

  Scenario: The days have what they are named for
    Then "deadly" has the kinds "poison, scale_in"
    And "rolling-stops" has the kinds "burst, roll_term"
    And "targets-come-back" has the kinds "srv_crash, srv_flap"
    And "releases-without-store" has the kinds "release, platform_down"
