"""Plays the trial of a new version with simulated calls."""

import random

import msgspec

from sedgering import base
from sedgering import rollout

SET = base.TargetSetName('calendar')
USUAL, SELDOM = base.RouteName('browse'), base.RouteName('book')
ORDER = 7
SHARE = 0.1
DURATION_MS = 16_000
POLL_MS = 400
HOSTS = 6
OLD_TARGETS, NEW_TARGETS = 4, 2
#: Median and spread of the work time, and how much longer a slow target takes.
WORK_MS, SPREAD = 130.0, 0.5
SLOWDOWN = 8
#: Share of the exposed calls that senders give to a slow target.
SLOW_TARGET_SHARE = 0.3


class Version(msgspec.Struct):
    """How the calls to a version end.

    Parameters
    ----------
    failed_shares : dict of str to float
        Share of the calls that fail, by route.
    has_slow_target : bool
        Whether one of its targets is slow.
    slowdowns : dict of str to float
        Factors on the work time of its calls, by route.
    """

    failed_shares: dict[base.RouteName, float]
    has_slow_target: bool = False
    slowdowns: dict[base.RouteName, float] = {}


class Trial:
    """One trial: senders with quotas, targets with evidence, polls.

    Parameters
    ----------
    rates_per_s : dict of str to float
        Calls of all senders, by route.
    old, new : Version
        Versions of the targets.
    seed : int
        Seed of the random numbers.
    """

    def __init__(
        self,
        rates_per_s: dict[base.RouteName, float],
        old: Version,
        new: Version,
        seed: int,
    ):
        self.rates_per_s = rates_per_s
        self.old = old
        self.new = new
        self.rng = random.Random(seed)
        self.old_evidence = [
            rollout.Evidence('v1', ORDER) for _ in range(OLD_TARGETS)
        ]
        self.new_evidence = [
            rollout.Evidence('v2', ORDER) for _ in range(NEW_TARGETS)
        ]
        self.quotas = [
            rollout.ExposureQuota(SHARE, base.HostId(f'host-{number}'))
            for number in range(HOSTS)
        ]
        for quota in self.quotas:
            quota.retain([(SET, ORDER)])
        self.row = rollout.Rollout(
            SET, 'v1', 'v2', ORDER, rollout.Stage.TRIAL, 0, 0
        )
        self.order = rollout.Order(SET, 'v2', DURATION_MS, ORDER)
        self.ended_ms = 0

    def play(self) -> rollout.Stage:
        """Play calls and polls until the trial ends; return what follows."""
        now_ms, next_poll_ms = 0.0, POLL_MS
        total_per_s = sum(self.rates_per_s.values())
        while True:
            now_ms += self.rng.expovariate(total_per_s) * 1000
            while now_ms >= next_poll_ms:
                stage = self._evaluate(next_poll_ms)
                if stage is not rollout.Stage.TRIAL:
                    self.ended_ms = next_poll_ms
                    return stage
                next_poll_ms += POLL_MS
            self._send_call()

    def _evaluate(self, now_ms: int) -> rollout.Stage:
        observation = rollout.Observation(
            self.order, now_ms, self.new_evidence, self.old_evidence
        )
        return rollout.plan_next(self.row, observation)

    def _send_call(self) -> None:
        rng = self.rng
        quota = rng.choice(self.quotas)
        routes = list(self.rates_per_s)
        (route,) = rng.choices(routes, list(self.rates_per_s.values()))
        if quota.may_expose(SET, route):
            quota.note_exposed(SET, route, 1)
            self._run(self.new, self.new_evidence, route)
        else:
            self._run(self.old, self.old_evidence, route)
        quota.note_arrival(SET, route)

    def _run(
        self,
        version: Version,
        targets: list[rollout.Evidence],
        route: base.RouteName,
    ) -> None:
        rng = self.rng
        work_ms = WORK_MS * rng.lognormvariate(0, SPREAD)
        work_ms *= version.slowdowns.get(route, 1)
        target = rng.choice(targets)
        if version.has_slow_target:
            is_slow = rng.random() < SLOW_TARGET_SHARE
            target = targets[0] if is_slow else targets[1]
            work_ms *= SLOWDOWN if is_slow else 1
        fails = rng.random() < version.failed_shares[route]
        target.note(route, fails, work_ms)

    def count_runs(
        self, targets: list[rollout.Evidence], route: base.RouteName
    ) -> int:
        """Return how many calls on a route some targets have run."""
        return sum(
            target.routes[route].runs
            for target in targets
            if route in target.routes
        )
