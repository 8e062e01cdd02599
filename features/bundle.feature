Feature: A proxy holds a version whole or not at all
  Differences, damage and dangling references never leave a proxy with
  part of a bundle, and no proxy goes back.

  Scenario: A difference leads from any bundle to any other
    Then applying the difference of any two bundles gives the second one

  Scenario: Differences of consecutive versions can be joined
    Then joined differences lead from the first bundle to the last one

  Scenario: Equal bundles have the same digest, whatever the order
    Then the order in which objects are written changes no digest

  Scenario: A damaged bundle is refused whole
    Then any damage to an encoded bundle leaves the version in force

  Scenario: A damaged difference is refused whole
    Then any damage to an encoded difference leaves the version in force

  Scenario: A difference from another version is refused as such
    Then a difference that starts from another bundle is refused with 1107

  Scenario: Routes are found as by comparing each of them
    Then any path finds the route that comparing all of them finds

  Scenario: No route in force lacks what it points at
    Then taking away a policy or a target set in use is refused with 1103

  Scenario: No proxy goes back
    Then versions in any order leave the greatest one in force

  Scenario: No proxy goes under its floor
    Given a holder whose floor is 7
    When version 6 is applied
    Then it is refused with 1108 and nothing is in force

  Scenario Outline: A mistake in a bundle file is named
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

  Scenario: A request keeps the snapshot that it began with
    Given a holder with version 1 in force
    And a request that took its snapshot
    When version 2 without any route is applied
    Then the request still finds its route, and a new one does not
