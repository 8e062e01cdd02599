"""What the threads of one daemon share."""

import random
import threading

from sedgering import base
from sedgering import bundle as bundles
from sedgering import membership
from sedgering import observability
from sedgering.proxy import _admission
from sedgering.proxy import _guard
from sedgering.proxy import _upstream
from sedgering import settings
from sedgering import traffic

__all__ = ['Gate', 'RequestState']


class Gate:
    """Whether requests are taken, and how many are in flight.

    The control thread opens and closes it; request threads pass it.
    """

    def __init__(self):
        self.is_open = False
        self.is_leaving = False
        self._in_flight = 0
        self._lock = threading.Lock()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    def enter(self) -> None:
        """Count a request in."""
        with self._lock:
            self._in_flight += 1

    def leave(self) -> None:
        """Count a request out."""
        with self._lock:
            self._in_flight -= 1


class RequestState:
    """What the request path reads; all of it immutable or locked.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Limits, and the own data centre.
    holder : BundleHolder
        Its snapshot is in force.
    view : TargetView
        Targets by target set.
    metrics : Metrics
        Counts requests.
    guard : RepeatGuard
        Claims idempotency keys.
    rng : random.Random
        Source of choices; its methods are atomic under the interpreter
        lock.
    now_ms : int
        Time of the start.
    """

    def __init__(
        self,
        proxy_settings: settings.ProxySettings,
        holder: bundles.BundleHolder,
        view: membership.TargetView,
        metrics: observability.Metrics,
        guard: _guard.RepeatGuard,
        rng: random.Random,
        now_ms: int,
    ):
        limits = proxy_settings.traffic
        self.data_centre = base.DataCentre(proxy_settings.data_centre)
        self.holder = holder
        self.view = view
        self.metrics = metrics
        self.guard = guard
        self.rng = rng
        self.gate = Gate()
        self.loads = traffic.LoadTable(rng)
        self.upstream = _upstream.Upstream()
        self.admission = _admission.AdmissionGates(
            limits.waiting_limit, limits.waiting_ms
        )
        self.retry_budget = traffic.make_retry_budget(
            limits.retry_floor_per_s, now_ms
        )
