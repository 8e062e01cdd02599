Feature: A proxy applies a version completely or not at all
  Deltas, corruption and dangling references never leave a proxy with part
  of a bundle, and no proxy returns to a lower version.

  Scenario: A delta leads from any bundle to any other
    Then applying the delta between any two bundles gives the second one

  Scenario: Deltas of consecutive versions can be composed
    Then composed deltas lead from the first bundle to the last one

  Scenario: Equal bundles have the same digest, whatever the order of objects
    Then the order of the objects does not change the digest

  Scenario: A corrupted bundle is refused
    Then any corruption of an encoded bundle leaves the version in force unchanged

  Scenario: A corrupted delta is refused
    Then any corruption of an encoded delta leaves the version in force unchanged

  Scenario: A delta from another version is refused
    Then a delta with another base is refused with 1107

  Scenario: Route lookup agrees with a comparison of all routes
    Then any path finds the same route as a comparison of all routes

  Scenario: No route in force has a dangling reference
    Then removing a policy or a target set in use is refused with 1103

  Scenario: No proxy returns to a lower version
    Then versions applied in any order leave the greatest one in force

  Scenario: No proxy applies a version below its floor
    Given a holder whose floor is 7
    When version 6 is applied
    Then it is refused with 1108 and nothing is in force

  Scenario Outline: The error message names a mistake in a bundle file
    Given a bundle file of <example> where "<old>" is replaced by "<new>"
    Then it is refused with <code> naming "<named>"

    Examples:
      | example | old                | new               | code | named                      |
      | tuulai  | name: bookings     | name: calendar    | 1102 | routes.calendar            |
      | tuulai  | policy: once       | policy: twice     | 1103 | routes.bookings.policy     |
      | tuulai  | target_set: ledger | target_set: legde | 1103 | routes.bookings.targets    |
      | tuulai  | slots: 12          | slots: 0          | 1105 | .slots                     |
      | tuulai  | path_prefix: /scor | path_prefix: scor | 1105 | routes.scores.path_prefix  |
      | tuulai  | timeout_ms: 10000  | timeout: 10000    | 1101 | timeout                    |
      | tuulai  | /bookings          | /scores           | 1104 | routes.bookings            |

  Scenario: A request uses the snapshot that it started with
    Given a holder with version 1 in force
    And a request that took its snapshot
    When version 2 without any route is applied
    Then the request still finds its route, and a new one does not
