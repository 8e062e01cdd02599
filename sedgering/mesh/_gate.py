"""The gate before the local target: admits, lets wait, or refuses."""

import asyncio
from collections.abc import Callable
import enum
import heapq

import msgspec

from sedgering import base
from sedgering.mesh import _messages
from sedgering.mesh import _settings

__all__ = ['CallResult', 'Gate', 'GateRefused', 'Ticket']

#: Weight of the newest work time in the moving mean.
WORK_WEIGHT = 0.1
#: Weight of the newest result in the share of failures: about the last
#: thirty calls count.
FAILURE_WEIGHT = 0.03
#: How much more a target seems to cost for each share that it fails.
FAILURE_COST = 5.0
#: Work time assumed of a route that has not been seen.
FIRST_WORK_MS = 100.0
#: Work time that must fit before the goal, as a multiple of the mean: work
#: times are spread, and a wait that just fits the mean is late half the
#: time.
WORK_MARGIN = 1.3
#: Share of its goal for which a call is held before it is looked at again:
#: a caller that is refused within a quarter of its goal may come back and
#: still earn most, and is not charged as held.
HOLD_SHARE = 0.22
#: Calls that end well after which a lowered limit grows by one.
RECOVER_AFTER = 5
#: The limit is not lowered below this share of the slots: a target that
#: refuses at random is avoided by choice, not starved.
LEAST_LIMIT_SHARE = 0.5


class CallResult(enum.Enum):
    """How a call ended, as far as its target shows."""

    DONE = 'done'
    #: The target refused before work.
    REFUSED = 'refused'
    #: An error of the target's, or no whole answer.
    FAILED = 'failed'
    #: The caller went away; nothing is learned.
    CANCELLED = 'cancelled'


class GateRefused(Exception):
    """The call was refused before any work.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    retry_after_ms : int
        When it may be tried again.
    """

    def __init__(
        self, reason: _messages.RefusalReason, retry_after_ms: int = 0
    ):
        super().__init__(reason, retry_after_ms)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Ticket(msgspec.Struct):
    """What the gate needs to know of a call.

    Parameters
    ----------
    route : str
        Work times are kept by route.
    priority : int
        0 is served first.
    urgency : CallUrgency
        Who waits for it.
    deadline_s, goal_s : float
        Times of the event loop.
    """

    route: base.RouteName
    priority: int
    urgency: _messages.CallUrgency
    deadline_s: float
    goal_s: float

    @property
    def rank(self) -> tuple:
        """Order of service: calls of targets go before all others."""
        is_outer = self.urgency is not _messages.CallUrgency.TARGET
        return (is_outer, self.priority, self.urgency, self.deadline_s)


class _Waiter:
    __slots__ = ('future', 'ticket', 'timer')

    def __init__(self, ticket: Ticket, future: asyncio.Future):
        self.ticket = ticket
        self.future = future
        self.timer: asyncio.TimerHandle | None = None


class Gate:
    """Keeps at most `limit` calls at the target, and a short queue.

    Parameters
    ----------
    mesh_settings : MeshSettings
        Limits.
    now_s : callable
        Time of the event loop.
    """

    def __init__(
        self,
        mesh_settings: _settings.MeshSettings,
        now_s: Callable[[], float],
    ):
        self.mesh_settings = mesh_settings
        self.now_s = now_s
        self.slots = 1
        self.limit = 1
        self.running = 0
        self.is_open = False
        self.mean_work_ms = FIRST_WORK_MS
        self._work_ms: dict[base.RouteName, float] = {}
        self._queue: list[tuple[tuple, int, _Waiter]] = []
        self._failure_share = 0.0
        self._sequence = 0
        self._calm = 0

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    def open(self, slots: int) -> None:
        """Take new calls."""
        if not self.is_open or slots != self.slots:
            self.slots = slots
            self.limit = slots
        self.is_open = True
        self._admit_waiting()

    def close(self, reason: _messages.RefusalReason) -> None:
        """Refuse new calls and those that wait; the rest goes on."""
        self.is_open = False
        queue, self._queue = self._queue, []
        for _rank, _sequence, waiter in queue:
            self._refuse(waiter, reason)

    def make_report(self, route: base.RouteName) -> _messages.LoadReport:
        """Make what other daemons are told with each answer.

        Parameters
        ----------
        route : str
            Of the call that is answered.
        """
        cost = 1 + FAILURE_COST * self._failure_share
        return _messages.LoadReport(
            self.running,
            self.waiting,
            self.limit,
            int(self.mean_work_ms * cost),
            int(self._work_ms.get(route, 0) * cost),
        )

    def work_ms(self, route: base.RouteName) -> float:
        """Return the recent mean work time of a route."""
        return self._work_ms.get(route, self.mean_work_ms)

    async def enter(self, ticket: Ticket) -> None:
        """Wait for a place at the target.

        Raises
        ------
        GateRefused
            When the gate is closed, or the call could not end in time.
        """
        if not self.is_open:
            raise GateRefused(_messages.RefusalReason.LEAVING)
        if self.running < self.limit and not self._queue:
            self.running += 1
            return
        self._check_time(ticket)
        waiter = self._enqueue(ticket)
        try:
            await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                if waiter.future.exception() is None:
                    # Admitted and cancelled at the same moment.
                    self._free()
            else:
                self._drop(waiter)
            raise
        finally:
            waiter.timer.cancel()

    def leave(
        self, ticket: Ticket, result: CallResult, elapsed_ms: float
    ) -> None:
        """Give the place back.

        Parameters
        ----------
        ticket : Ticket
            With which it was taken.
        result : CallResult
            How the call ended.
        elapsed_ms : float
            Time at the target.
        """
        if result is not CallResult.CANCELLED:
            self._learn(ticket.route, result, elapsed_ms)
        self._free()

    def _learn(
        self, route: base.RouteName, result: CallResult, elapsed_ms: float
    ) -> None:
        is_failure = float(result is not CallResult.DONE)
        self._failure_share += FAILURE_WEIGHT * (
            is_failure - self._failure_share
        )
        if result is CallResult.REFUSED:
            least = max(1, int(self.slots * LEAST_LIMIT_SHARE))
            self.limit = max(least, self.limit - 1)
            self._calm = 0
        if result is not CallResult.DONE:
            # A target that fails at once must not seem quick.
            return
        old_ms = self._work_ms.get(route, elapsed_ms)
        self._work_ms[route] = old_ms + WORK_WEIGHT * (elapsed_ms - old_ms)
        self.mean_work_ms += WORK_WEIGHT * (elapsed_ms - self.mean_work_ms)
        self._calm += 1
        if self._calm >= RECOVER_AFTER and self.limit < self.slots:
            self.limit += 1
            self._calm = 0

    def _free(self) -> None:
        self.running -= 1
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._queue and self.running < self.limit:
            waiter = heapq.heappop(self._queue)[-1]
            if not waiter.future.done():
                self.running += 1
                waiter.future.set_result(None)

    def _check_time(self, ticket: Ticket) -> None:
        """Refuse what could not end in time.

        A caller that is refused at once may come back and still be
        served within its goal; one that waits beyond its goal holds a
        place that another one could have used in time.
        """
        wait_ms = self._estimate_wait_ms(ticket)
        limit_s = ticket.goal_s
        if ticket.urgency is _messages.CallUrgency.TARGET:
            limit_s = ticket.deadline_s
        if self._estimate_end_s(ticket, wait_ms) > limit_s:
            raise GateRefused(_messages.RefusalReason.SHED, int(wait_ms))

    def _estimate_wait_ms(self, ticket: Ticket) -> float:
        """Estimate the wait behind all that goes before a call."""
        rank = ticket.rank
        ahead_ms = self.mean_work_ms + sum(
            self.work_ms(entry[-1].ticket.route)
            for entry in self._queue
            if entry[0] <= rank and entry[-1].ticket is not ticket
        )
        return ahead_ms / self.limit

    def _estimate_end_s(self, ticket: Ticket, wait_ms: float) -> float:
        work_ms = WORK_MARGIN * self.work_ms(ticket.route)
        return self.now_s() + (wait_ms + work_ms) / 1000

    def _enqueue(self, ticket: Ticket) -> _Waiter:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(ticket, loop.create_future())
        self._sequence += 1
        heapq.heappush(self._queue, (ticket.rank, self._sequence, waiter))
        if ticket.urgency is _messages.CallUrgency.TARGET:
            self._await_deadline(waiter)
        else:
            now_s = loop.time()
            hold_s = HOLD_SHARE * (ticket.goal_s - now_s)
            waiter.timer = loop.call_at(
                now_s + hold_s, self._check_again, waiter
            )
        return waiter

    def _check_again(self, waiter: _Waiter) -> None:
        """Refuse what still waits and will not end within its goal.

        Calls that go before it have arrived meanwhile.
        """
        if waiter.future.done():
            return
        ticket = waiter.ticket
        wait_ms = self._estimate_wait_ms(ticket)
        is_late = self._estimate_end_s(ticket, wait_ms) > ticket.goal_s
        if is_late or ticket.urgency is _messages.CallUrgency.RETURN:
            self._expire(waiter)
        else:
            self._await_deadline(waiter)

    def _await_deadline(self, waiter: _Waiter) -> None:
        """Refuse a waiter when it can no longer end before its deadline."""
        ticket = waiter.ticket
        margin = self.mesh_settings.shed_margin_percent / 100
        work_s = self.work_ms(ticket.route) / 1000
        latest_s = ticket.deadline_s - margin * work_s
        loop = asyncio.get_running_loop()
        waiter.timer = loop.call_at(latest_s, self._expire, waiter)

    def _expire(self, waiter: _Waiter) -> None:
        if not waiter.future.done():
            self._drop(waiter)
            self._refuse(waiter, _messages.RefusalReason.SHED)

    def _drop(self, waiter: _Waiter) -> None:
        self._queue = [
            entry for entry in self._queue if entry[-1] is not waiter
        ]
        heapq.heapify(self._queue)

    def _refuse(
        self, waiter: _Waiter, reason: _messages.RefusalReason
    ) -> None:
        if not waiter.future.done():
            waiter.future.set_exception(
                GateRefused(reason, int(self.mean_work_ms))
            )
