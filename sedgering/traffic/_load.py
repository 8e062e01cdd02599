"""What this proxy knows of the targets from its own requests."""

import random
import threading

import msgspec

from sedgering import membership

__all__ = ['EndpointKey', 'LoadTable', 'TargetLoad']

#: IP number and port.
EndpointKey = tuple[str, int]

#: A reported load counts half after this time: reports lag.
REPORT_HALF_LIFE_MS = 1000
#: Slots below which what is left of a report no longer counts; among idle
#: targets any difference, however small, would decide.
LEAST_REPORT = 0.5
#: Factor by which a refusal shrinks what this proxy asks of a target at a
#: time, how often it may, and by how much an answer lets it grow again.
SHRINK_FACTOR = 0.7
SHRINK_PAUSE_MS = 50
GROWTH = 0.05
LEAST_LIMIT = 1.0
#: Weight of the newest latency in the moving average.
LATENCY_WEIGHT = 0.1
#: Failures in a row that eject a target.
FAILURE_LIMIT = 5
FIRST_EJECTION_MS = 1000
LONGEST_EJECTION_MS = 30_000
#: Time over which a target that is new here gets more and more work.
SLOW_START_MS = 10_000
LEAST_START_SHARE = 0.1
#: Latencies below this are not told apart.
LEAST_LATENCY_MS = 1.0


class TargetLoad(msgspec.Struct):
    """One target as seen from here.

    Parameters
    ----------
    first_seen_ms : int
        When it was first considered.
    limit : float
        Requests of this proxy that it may work on at a time: its slots,
        or fewer when others use them, too.
    in_flight : int
        Requests of this proxy that it works on.
    shrunk_at_ms : int
        When the limit was last made smaller.
    failures : int
        Failures since the last success.
    ejections : int
        Ejections since the last success.
    ejected_until_ms : int
        Until when it gets no work; after that one probe, then more.
    is_probing : bool
        Whether the one request after an ejection is under way.
    reported, reported_at_ms : int
        Slots in use as it said last, and when.
    latency_ms : float
        Moving average; 0 when unknown.
    answers : int
        Whole answers so far.
    """

    first_seen_ms: int
    limit: float
    in_flight: int = 0
    shrunk_at_ms: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    is_probing: bool = False
    reported: int = 0
    reported_at_ms: int = 0
    latency_ms: float = 0.0
    answers: int = 0


class LoadTable:
    """Loads by target; shared by the request threads.

    Parameters
    ----------
    rng : random.Random
        Jitter of ejections.

    Notes
    -----
    Methods that write hold the lock briefly.  Methods that read take what
    they find: a choice that is a moment old is still a good choice.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self._lock = threading.Lock()
        self._loads: dict[EndpointKey, TargetLoad] = {}

    def get(self, endpoint: membership.Endpoint, now_ms: int) -> TargetLoad:
        """Return the load of a target, which is new if never seen."""
        load = self._loads.get((endpoint.address, endpoint.port))
        if load is None:
            load = TargetLoad(now_ms, float(endpoint.slots))
            key = (endpoint.address, endpoint.port)
            load = self._loads.setdefault(key, load)
        return load

    def is_ejected(self, endpoint: membership.Endpoint, now_ms: int) -> bool:
        """Say whether a target gets no work for now."""
        load = self.get(endpoint, now_ms)
        if not load.ejections:
            return False
        return now_ms < load.ejected_until_ms or load.is_probing

    def free(self, endpoint: membership.Endpoint, now_ms: int) -> int:
        """Return how many more requests a target may get from here."""
        load = self.get(endpoint, now_ms)
        return int(load.limit) - load.in_flight

    def busy_share(self, endpoint: membership.Endpoint, now_ms: int) -> float:
        """Return the share of a target's limit that is in use.

        Notes
        -----
        The own count is exact.  What the target reported beyond it comes
        from other proxies, and loses weight with its age.
        """
        load = self.get(endpoint, now_ms)
        age_ms = now_ms - load.reported_at_ms
        weight = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        others = max(0, load.reported - load.in_flight) * weight
        if others < LEAST_REPORT:
            others = 0.0
        return load.in_flight / load.limit + others / endpoint.slots

    def score(self, endpoint: membership.Endpoint, now_ms: int) -> float:
        """Return how long one more request may take: the lower, the better.

        Notes
        -----
        A target that reports no load but answers slowly is avoided by its
        latency, which it cannot hide.
        """
        load = self.get(endpoint, now_ms)
        busy = self.busy_share(endpoint, now_ms) + 1 / load.limit
        started = (now_ms - load.first_seen_ms) / SLOW_START_MS
        expected = busy * max(load.latency_ms, LEAST_LATENCY_MS)
        return expected / min(1.0, max(LEAST_START_SHARE, started))

    def start(self, endpoint: membership.Endpoint, now_ms: int) -> bool:
        """Take a slot of a target; say whether there was one."""
        load = self.get(endpoint, now_ms)
        with self._lock:
            if load.in_flight >= int(load.limit):
                return False
            load.in_flight += 1
            if load.ejections:
                load.is_probing = True
            return True

    def cancel(self, endpoint: membership.Endpoint, now_ms: int) -> None:
        """Give a slot back without having learned anything."""
        load = self.get(endpoint, now_ms)
        with self._lock:
            load.in_flight -= 1
            load.is_probing = False

    def succeed(
        self, endpoint: membership.Endpoint, elapsed_ms: float, now_ms: int
    ) -> None:
        """Give a slot back after an answer."""
        load = self.get(endpoint, now_ms)
        with self._lock:
            if load.in_flight >= int(load.limit):
                load.limit = min(float(endpoint.slots), load.limit + GROWTH)
            load.in_flight -= 1
            load.is_probing = False
            load.failures = 0
            load.ejections = 0
            load.answers += 1
            if load.latency_ms:
                change = elapsed_ms - load.latency_ms
                load.latency_ms += LATENCY_WEIGHT * change
            else:
                load.latency_ms = elapsed_ms

    def refuse(self, endpoint: membership.Endpoint, now_ms: int) -> None:
        """Give a slot back after a refusal, and ask for less from now on.

        A refusal is no failure: others use the slots.
        """
        load = self.get(endpoint, now_ms)
        with self._lock:
            load.in_flight -= 1
            load.is_probing = False
            if now_ms - load.shrunk_at_ms >= SHRINK_PAUSE_MS:
                load.shrunk_at_ms = now_ms
                shrunk = load.limit * SHRINK_FACTOR
                load.limit = max(LEAST_LIMIT, shrunk)

    def fail(self, endpoint: membership.Endpoint, now_ms: int) -> None:
        """Give a slot back after a failure, and eject if it was one more."""
        load = self.get(endpoint, now_ms)
        with self._lock:
            load.in_flight -= 1
            load.failures += 1
            was_probe = load.is_probing
            load.is_probing = False
            if was_probe or load.failures >= FAILURE_LIMIT:
                self._eject(load, now_ms)

    def eject(self, endpoint: membership.Endpoint, now_ms: int) -> None:
        """Eject a target for another reason than failures."""
        load = self.get(endpoint, now_ms)
        with self._lock:
            self._eject(load, now_ms)

    def report(
        self, endpoint: membership.Endpoint, in_use: int, now_ms: int
    ) -> None:
        """Take in what a target says of its load."""
        load = self.get(endpoint, now_ms)
        load.reported = in_use
        load.reported_at_ms = now_ms

    def retain(self, keys: set[EndpointKey]) -> None:
        """Forget targets that are gone and have nothing in flight."""
        with self._lock:
            for key, load in tuple(self._loads.items()):
                if key not in keys and not load.in_flight:
                    del self._loads[key]

    def _eject(self, load: TargetLoad, now_ms: int) -> None:
        longest_ms = min(
            FIRST_EJECTION_MS << min(load.ejections, 10),
            LONGEST_EJECTION_MS,
        )
        load.ejections += 1
        load.failures = 0
        pause_ms = self.rng.randint(longest_ms // 2, longest_ms)
        load.ejected_until_ms = now_ms + pause_ms
