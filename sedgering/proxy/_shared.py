"""What the threads of one daemon share."""

import queue
import threading

from sedgering import bundle as bundles
from sedgering import membership
from sedgering import observability
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
        self._changed = threading.Condition()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    def enter(self) -> None:
        """Count a request in."""
        with self._changed:
            self._in_flight += 1

    def leave(self) -> None:
        """Count a request out."""
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._in_flight == 0, timeout_s
            )


class RequestState:
    """What the request path reads; all of it immutable or locked.

    Parameters
    ----------
    holder : BundleHolder
        Its snapshot is in force.
    view : TargetView
        Targets by target set.
    loads : LoadTable
        Requests in flight.
    gate : Gate
        Whether requests are taken.
    metrics : Metrics
        Counts requests.
    """

    def __init__(
        self,
        holder: bundles.BundleHolder,
        view: membership.TargetView,
        loads: traffic.LoadTable,
        gate: Gate,
        metrics: observability.Metrics,
    ):
        self.holder = holder
        self.view = view
        self.loads = loads
        self.gate = gate
        self.metrics = metrics


def put_or_drop(target: queue.Queue, item: object) -> bool:
    """Queue an item; say whether there was room."""
    try:
        target.put_nowait(item)
    except queue.Full:
        return False
    return True
