Feature: Choice of targets, limits and retries under load

  Scenario: Weights move traffic between target sets
    Then a route with weights 3 and 1 sends about three quarters to the first

  Scenario: The longest prefix wins, cut at path segments
    Then "/hall" matches "/hall/3" and not "/hallway"

  Scenario: The own data centre comes first, and spills when busy
    Given 4 near and 4 far targets with 12 slots
    Then the first 20 requests at once stay near and later ones spill

  Scenario: A target that fails is ejected, probed, and returns
    Given 4 near and 0 far targets with 12 slots
    When one target fails 5 times in a row
    Then it gets no work for a while, then one probe, then work again

  Scenario: Ejections grow while probes fail
    Given 4 near and 0 far targets with 12 slots
    When one target fails every probe
    Then its pauses grow to at most 30 s

  Scenario: When most look bad, nobody is ejected
    Given 4 near and 0 far targets with 12 slots
    When 3 targets fail 5 times in a row
    Then all 4 targets get work

  Scenario: A target much slower than its siblings is ejected
    Given 4 near and 0 far targets with 12 slots
    When one target takes ten times as long as the others
    Then it is found slow, and the others are not

  Scenario: A reported load counts less with its age
    Given 2 near and 0 far targets with 12 slots
    When one target reports that all its slots are taken
    Then it is avoided at first, and no longer after 10 s

  Scenario: A new target gets its share step by step
    Given 3 near and 0 far targets with 12 slots
    When one of them is new
    Then it gets less than half of a fair share at first, and a fair one later

  Scenario: One party cannot starve the others
    Given a target set with 8 slots and a queue of 16
    When one party sends 100 requests at once and three send 4 each
    Then each of the three has at least 2 of the first 16 that go on

  Scenario: The nearest deadline goes first, and late waiters are shed
    Given a target set with 1 slot and a queue of 16
    Then waiters of one party go on in the order of their deadlines
    And who waits longer than 100 ms is shed

  Scenario: What is asked of a target shrinks with refusals
    Given 2 near and 0 far targets with 12 slots
    Then 10 refusals over a second shrink its limit, and answers restore it

  Scenario: Any sequence keeps the limits
    Then admission never exceeds its limit and loses no waiter

  Scenario: Retries are a share of the requests
    Then 1000 requests that all fail cause at most 125 retries

  Scenario: Attempts of earlier proxies count
    Then a policy of 3 attempts leaves 1 after 2 were spent elsewhere
