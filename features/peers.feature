Feature: Messages from strangers change nothing

  Scenario: Any bytes are refused with a code or decoded to a sound message
    Then any datagram either decodes to fields in range or is refused

  Scenario Outline: Messages of another kind are refused
    Given a datagram where <field> is <value>
    Then decoding it is refused with <code>

    Examples:
      | field       | value      | code |
      | mesh        | other      | 4001 |
      | protocol    | 99         | 4002 |
      | sender      | nothing    | 4003 |
      | incarnation | -5         | 4003 |

  Scenario: A datagram that is too large is refused
    Then 2000 bytes are refused with 4004

  Scenario: The peer service lives through garbage, floods and strangers
    Given a peer service that holds one version
    When it gets garbage, a huge frame length, half a frame and a stranger
    Then it still answers a peer of its mesh
