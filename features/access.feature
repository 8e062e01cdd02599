Feature: Only holders of a key call for a workspace
  A bundle that has workspaces says which routes need a key.  Who asks is
  found out at the daemon of the caller; the key goes no further.

  Scenario: Without workspaces a bundle is encoded as by earlier releases
    Then bundles without workspaces have the bytes that they had

  Scenario: A difference without workspaces is read by earlier releases
    Then the fields of earlier differences stand before those on workspaces

  Scenario: A document is decoded with its workspaces
    Given an operator's document with two workspaces and a public route
    Then its workspaces hold the digests of their keys and no key
    And the routes that are not public need a key
    And a version that changes one workspace keeps the others as they are

  Scenario Outline: Workspaces that break a rule are refused whole
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
    Then a workspace without keys is valid, and nobody asks for it

  Scenario Outline: What the settings file says of taking keys away
    Then a settings file with the bounds "<bounds>" is <strict> with <revoke> ms

    Examples:
      | bounds                          | strict     | revoke |
      |                                 | not strict | None   |
      | revoke_strict=false revoke=5s   | not strict | 5000   |
      | revoke_strict=true revoke=500ms | strict     | 500    |

  Scenario Outline: Who asks
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
      | current      | no key           | public | nobody's       |
      | current      | an unknown key   | public | nobody's       |
      | current      | two keys         | public | nobody's       |
      | behind       | the key of a     | keyed  | of workspace a |
      | behind       | no key           | keyed  | refused 5016   |
      | behind       | an unknown key   | keyed  | refused 5017   |
      | behind       | an unknown key   | public | nobody's       |
      | strict       | the key of a     | keyed  | of workspace a |
      | strict, late | the key of a     | keyed  | refused 5017   |
      | strict, late | an unknown key   | keyed  | refused 5017   |
      | strict, late | the key of a     | public | nobody's       |

  Scenario: Whatever callers write, one key at most is read
    Then any fields are read as one whole key of one field, or as none
    And any claims are taken off, and all other fields stay in their order

  Scenario: Counts by workspace are bounded
    Then of 1000 workspaces the 16 largest are counted by name
    And what all are counted sums to all requests

  Scenario: A key is turned into what a bundle file holds
    When the digest of a key is asked for on the command line
    Then a bundle file with it says who holds the key

  Scenario: Differences of workspaces can be read
    Then what changes in workspaces and keyed routes is told in lines

  Scenario: Two workspaces never ask the same request
    Then a request has the same fingerprint on both sides of a hop
    And a request of two workspaces has two fingerprints
    And without a workspace its fingerprint is the one that it had
