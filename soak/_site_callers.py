"""Callers that send the classes of requests of a site."""

import math
import random
import time

from sedgering import testing
from soak import _callers
from soak import _odd_callers

__all__ = ['SiteCaller', 'make_site_callers']

#: Pauses between connecting and sending, one for each caller.
CONNECT_PAUSES_S = (0.0, 0.03, 0.1, 0.3)
#: Shares of requests on new connections, and of pipelined ones.
NEW_SHARE = 0.3
PIPELINED_SHARE = 0.3
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Answers after which no request is repeated.
FINAL_STATUSES = frozenset((200, 400, 401, 404, 413, 431))


class SiteCaller(_odd_callers.EarlyLeaver):
    """Caller that sends the classes of a site at its share of the rate.

    Parameters
    ----------
    name, daemon, seed
        As for other callers.
    classes : tuple of SiteClass
        Classes of requests.
    interval_s : float
        Mean time between two requests.
    """

    def __init__(self, name, daemon, seed, classes, interval_s):
        super().__init__(name, daemon, seed)
        self.classes: tuple[testing.SiteClass, ...] = classes
        self.interval_s = interval_s
        self.connect_pause_s = self._rng.choice(CONNECT_PAUSES_S)
        #: Factor of its rate, repetitions beyond those of the class, and
        #: the patience of a caller that leaves early.
        self.rate_factor = 1.0
        self.added_repeats = 0
        self.patience_s: float | None = None
        self._repeats = 0

    @property
    def pause_s(self) -> float:
        """Time to the next request."""
        return self._rng.expovariate(self.rate_factor / self.interval_s)

    def _connect(self) -> None:
        super()._connect()
        time.sleep(self.connect_pause_s)

    def _draw_patience_s(self) -> float | None:
        return self.patience_s

    def _choose_requests(self) -> list[_callers.CallRecord]:
        if self.records and self._may_repeat(self.records[-1]):
            self._disconnect()
            self._repeats += 1
            return [self._make_class_record(0, self._class)]
        self._repeats = 0
        shares = [item.share for item in self.classes]
        self._class = self._rng.choices(self.classes, shares)[0]
        if self._rng.random() < NEW_SHARE:
            self._disconnect()
        is_pipelined = self._rng.random() < PIPELINED_SHARE
        count = 1 + (is_pipelined and self._class.is_pipelined)
        return [
            self._make_class_record(number, self._class)
            for number in range(count)
        ]

    def _may_repeat(self, last: _callers.CallRecord) -> bool:
        """Return whether a caller repeats a request on a new connection."""
        repeats = self._class.retries + self.added_repeats
        if self._repeats >= repeats or last.status in FINAL_STATUSES:
            return False
        is_safe = not last.is_once and not last.has_left
        return is_safe or last.status in NOT_RUN_STATUSES

    def _make_class_record(self, number: int, item: testing.SiteClass):
        # A log-normal distribution with the mean and spread of the class.
        variance = math.log(1 + item.work_spread**2)
        work_ms = self._rng.lognormvariate(
            math.log(item.work_ms) - variance / 2, math.sqrt(variance)
        )
        work_ms = round(min(work_ms, item.max_work_ms))
        path = f'/{item.name}/{work_ms}/{item.answer_bytes}/'
        record = self._make_record(number, item.is_once, path)
        record.deadline_ms = round(item.deadline_ms)
        record.size_bytes = item.answer_bytes
        record.timeout_s = item.timeout_ms / 1000
        record.body_bytes = item.body_bytes
        record.target_set = item.target_set
        return record


def make_site_callers(settings, daemons: list) -> list[SiteCaller]:
    """Make the callers of a site.

    Parameters
    ----------
    settings : WorldSettings
        Site, callers of each host, and their share of the rate.
    daemons : list of Daemon
        Daemons of the hosts.
    """
    callers = []
    for daemon, host in zip(daemons, settings.site.hosts, strict=True):
        rate_per_s = host.rate_per_s * settings.rate_share
        for number in range(settings.callers):
            name = f'{daemon.name}-{number}'
            seed = random.Random(f'{name} {settings.seed}').randrange(1 << 30)
            interval_s = settings.callers / rate_per_s
            callers.append(
                SiteCaller(
                    name, daemon, seed, settings.site.classes, interval_s
                )
            )
    return callers
