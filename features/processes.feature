Feature: The programs together, as separate processes

  Scenario: From the first bundle to an undo, as an operator sees it
    Given a platform and 3 proxies in 2 data centres
    Then "sedgering check" says "ok: 3 routes"
    And "sedgering sign-off" of the first bundle says "signed off version 1"
    And "sedgering roll 1" says "rolled version 1 over 0"
    And "sedgering watch" says "3 of 3"
    And "sedgering diff" of the second bundle says "~ policies.browse.timeout_ms: 5000 -> 4000"
    And "sedgering sign-off" of the second bundle says "signed off version 2"
    And "sedgering roll 2" says "rolled version 2 over 1"
    And "sedgering watch" says "version 2: 3 of 3"
    And "sedgering roll 1" fails with "SDG-2004"
    And "sedgering sign-off --content-of 1" says "signed off version 3"
    And "sedgering roll 3" says "rolled version 3 over 2"
    And "sedgering watch" says "version 3: 3 of 3"
    And "sedgering status" says "version 3 rolled"
    And "sedgering history" says "3 rolled by anna"

  Scenario: A proxy that leaves gracefully cuts no request
    Given a platform and 3 proxies in 2 data centres
    And targets, a bundle in force and callers
    When a proxy is told to reload, which it does not support, and to leave
    Then it ends by itself with status 0
    And no call was lost, doubled, cut or told wrongly

  Scenario: Targets that leave get no new work, and cut no request
    Given a platform and 3 proxies in 2 data centres
    And targets, a bundle in force and callers
    When all targets but one group are told to leave
    Then every proxy knows one target of each set
    And no call was lost, doubled, cut or told wrongly

  Scenario: A proxy that is killed comes back at the version rolled
    Given a platform and 3 proxies in 2 data centres
    And targets, a bundle in force and callers
    When a proxy is killed, a version is rolled, and the proxy starts again
    Then every proxy holds the version rolled
    And no call was lost, doubled, cut or told wrongly

  Scenario: The admin pages
    Given a platform and 3 proxies in 2 data centres
    Then /healthz answers 200 and /readyz 503 before the first bundle
    And a malformed report of a target is refused with 400
    And /metrics has "sedgering_control_bytes_total"
