Feature: Recorded traces end as stated

  Scenario: Every trace of both deployments
    Then all 16 traces replay with their stated outcomes

  Scenario Outline: A trace whose stated outcome is wrong fails
    Given the trace tuulai-01-roll where <step> says <value> in <field>
    Then replaying it fails at that step

    Examples:
      | step            | field   | value |
      | expect-held     | version | 3     |
      | expect-progress | holding | 12    |
      | roll            | code    | 2004  |
