Feature: Days of a site on real processes
  python -m soak.days reads a site file of the platform and plays its days.

  # Guards against entries of a day that are silently left out.
  Scenario: Each kind of entry is played or refused by its name
    Given the site file "three-hosts"
    Then it has a sample of each kind that days have, but for those at their ends
    And each of them gives steps that the soak can take, or an error that names it

  Scenario Outline: What cannot be played is refused by its name
    Given a day with a "<kind>" entry "<how>"
    Then the day is refused with <error>
    And its steps are <steps>

    Examples:
      | kind             | how           | error                    | steps                          |
      | clock_step       | ahead         | SDG-7002: clock_step     | none                           |
      | no_such_kind     |               | SDG-7002: no_such_kind   | none                           |
      | node_kill        | meet leader   | SDG-7002: without leader | kill, version, version         |
      | platform_down    | nodes revoke  | SDG-7002: without revoke | store link                     |
      | platform_down    | busy          | nothing                  | store                          |
      | core_cut         | one_way drain | nothing                  | peer link, store link, target leaves |
      | roll_term        | busy          | nothing                  | terminate                      |
      | garble           | extra late    | nothing                  | target habit                   |
      | config_change    | weights       | SDG-7002: without weights | version                       |

  Scenario: A seed always gives the same steps
    Given the site file "three-hosts"
    Then 50 seeds give reproducible steps of a mixed day that differ from each other

  # Guards against days that leave a service without any server.
  Scenario: A target of each set is left
    Given the site file "three-hosts"
    Then scale_in, replace_with_reuse and scale_out leave a target of each set alone in 50 seeds

  Scenario: The hosts of a site file have its places, sets, slots and rates
    Given the site file "three-hosts"
    Then its hosts are "north reader 8 20, south reader 8 20, south writer 8 20"

  Scenario Outline: A site file that cannot be read is refused
    Given a site file with <content>
    Then it is refused with SDG-7001

    Examples:
      | content             |
      | no TOML             |
      | no hosts            |
      | an unknown service  |
      | a share that is text |

  # Guards against requests that count as cut though their caller left.
  Scenario: A request behind one whose caller left is left, too
    When a caller leaves a connection with 2 unanswered requests
    Then both count as left by their caller

  Scenario: The page of the soak has a line for each kind
    Then docs/soak.md tells how each kind of entry is played, or that it is refused

  Scenario Outline: A short day of real processes keeps all guarantees
    When the day "<day>" of "three-hosts" is played
    Then no guarantee is violated

    Examples:
      | day     |
      | planned |
      | trouble |
