Feature: Only holders of a key can send requests for a workspace
  A bundle with workspaces says which routes need a key.  The daemon that
  receives a request authenticates it; the key is not passed on.

  Scenario: Without workspaces a bundle is encoded as by earlier releases
    Then bundles without workspaces have the bytes that they had

  Scenario: A delta without workspaces is decoded by earlier releases
    Then the fields of earlier deltas come before those on workspaces

  Scenario: A document is decoded with its workspaces
    Given an operator's document with two workspaces and a public route
    Then its workspaces hold the digests of their keys and no key
    And the routes that are not public need a key
    And a version that changes one workspace keeps the others as they are

  Scenario Outline: A bundle with an invalid workspace is refused
    Then workspaces with <fault> are refused with <code>

    Examples:
      | fault                     | code |
      | a key held by two         | 1110 |
      | a key listed twice        | 1110 |
      | one name twice            | 1102 |
      | a name with a space       | 1105 |
      | a priority below zero     | 1105 |
      | a rate below zero         | 1105 |
      | a burst below zero        | 1105 |
      | a key that is no digest   | 1105 |
      | a keyed route that is not | 1103 |
      | a keyed route twice       | 1102 |

  Scenario: A workspace without keys is allowed
    Then a workspace without keys is valid, and no key maps to it

  Scenario Outline: Settings for the revocation of keys
    Then a settings file with the bounds "<bounds>" is <strict> with <revoke> ms

    Examples:
      | bounds                          | strict     | revoke |
      |                                 | not strict | None   |
      | revoke_strict=false revoke=5s   | not strict | 5000   |
      | revoke_strict=true revoke=500ms | strict     | 500    |

  Scenario Outline: How a request is authenticated
    Given a daemon that is <state>
    When a request with <fields> takes the <route> route
    Then it is <outcome>

    Examples:
      | state        | fields           | route  | outcome        |
      | current      | the key of a     | keyed  | of workspace a |
      | current      | the key of b     | keyed  | of workspace b |
      | current      | the scheme odd   | keyed  | of workspace a |
      | current      | no key           | keyed  | refused 5016   |
      | current      | an unknown key   | keyed  | refused 5016   |
      | current      | another scheme   | keyed  | refused 5016   |
      | current      | an empty key     | keyed  | refused 5016   |
      | current      | two fields       | keyed  | refused 5016   |
      | current      | one field twice  | keyed  | refused 5016   |
      | current      | two keys         | keyed  | refused 5016   |
      | current      | two keys, joined | keyed  | refused 5016   |
      | current      | the key of a     | public | of workspace a |
      | current      | no key           | public | anonymous      |
      | current      | an unknown key   | public | anonymous      |
      | current      | two keys         | public | anonymous      |
      | behind       | the key of a     | keyed  | of workspace a |
      | behind       | no key           | keyed  | refused 5016   |
      | behind       | an unknown key   | keyed  | refused 5017   |
      | behind       | an unknown key   | public | anonymous      |
      | strict       | the key of a     | keyed  | of workspace a |
      | strict, late | the key of a     | keyed  | refused 5017   |
      | strict, late | an unknown key   | keyed  | refused 5017   |
      | strict, late | the key of a     | public | anonymous      |

  Scenario: At most one key is read from any fields
    Then any fields give one whole key of one field, or none
    And any identifying fields are removed, and all others stay in order

  Scenario: Counts by workspace are bounded
    Then of 1000 workspaces the 16 largest are counted by name
    And the counts sum to all requests

  Scenario: The command line computes the digest that a bundle file holds
    When the command line computes the digest of a key
    Then a bundle file with it maps the key to its workspace

  Scenario: Changes of workspaces are described in lines
    Then changes of workspaces and keyed routes are described in lines

  Scenario: Requests of two workspaces never have the same fingerprint
    Then a request has the same fingerprint on both sides of a hop
    And a request of two workspaces has two fingerprints
    And without a workspace its fingerprint is the one that it had
