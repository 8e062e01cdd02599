"""The gate before the local target: admits, lets wait, or refuses.

A call waits only while it is likely to be served.  One that will probably
end within its latency goal waits before those that are late in any case; a
late one waits only for places that the others leave free.  Whatever is not
expected to be served in its time is refused at once, so that its caller can
go elsewhere or come back.

Refusing at arrival what cannot end in its goal keeps a standing queue from
forming.  With a set that is offered 1.1 times what it can do for three
seconds, 79 % of its callers are answered within their goal; with a queue up
to the deadline 34 % are (`sedgering.model`, load lasting-overload).
"""

import asyncio
from collections.abc import Callable
import enum
import heapq
import math

import msgspec

from sedgering import base
from sedgering.mesh import _demand
from sedgering.mesh import _messages
from sedgering.mesh import _settings
from sedgering.mesh import _work
from sedgering import overload

__all__ = ['CallResult', 'Gate', 'GateRefused', 'Ticket']

#: Weight of the newest result in the share of failures: about the last
#: thirty calls count.
FAILURE_WEIGHT = 0.03
#: Share of a route's calls that end within the work time that must fit
#: before the goal.
LIKELY_SHARE = 0.85
#: Longest wait that is told where no end is in sight.
LONGEST_WAIT_MS = 10_000
#: Share of the places that late calls leave free: one of a dozen.  A call
#: that comes a moment later and may still be in time finds it.  Without it
#: 72 to 84 % of the callers of a set that is short of places end in their
#: goal, with it 76 to 85 %, and with twice as many 75 to 84 % (load patterns
#: short-of-inner-targets, lasting-overload and burst).
RESERVE_SHARE = 0.08
#: Shortest time after which a waiter is looked at again: about the time in
#: which one of a dozen places becomes free.
LEAST_REVIEW_MS = 10


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
    may_wait : bool
        Whether it may wait for a place.
    workspace : str
        That asks.
    workspace_priority : int
        Its rank, before `priority`; 0 is served first.
    standing : Standing
        How its workspace has fared at this gate; set as it enters.
    """

    route: base.RouteName
    priority: int
    urgency: _messages.CallUrgency
    deadline_s: float
    goal_s: float
    may_wait: bool = True
    workspace: base.WorkspaceName = base.NO_WORKSPACE
    workspace_priority: int = 0
    standing: overload.Standing = overload.Standing.USUAL

    @property
    def is_nested(self) -> bool:
        """Whether a target waits for it, and holds a place meanwhile."""
        return self.urgency is _messages.CallUrgency.TARGET

    def make_rank(self, is_late: bool) -> tuple:
        """Return its place in the order of service.

        Calls of targets first: their parents hold places.  Then what can
        end in its goal, and what cannot last: a place gives an answer in
        time to one or a late answer to the other.  Among those a workspace
        that is served far less often than others goes first; then they go
        by the priority of the workspace and their own, and those of a
        workspace that has had more than its share last of their rank.
        """
        until_s = self.deadline_s if is_late else self.goal_s
        return (
            not self.is_nested,
            is_late,
            self.standing is not overload.Standing.STARVED,
            self.workspace_priority,
            self.priority,
            self.standing is overload.Standing.OVER,
            until_s,
        )


class _Waiter:
    __slots__ = ('future', 'is_late', 'ticket', 'timer', 'wait_ms')

    def __init__(self, ticket: Ticket, is_late: bool, future: asyncio.Future):
        self.ticket = ticket
        self.is_late = is_late
        self.future = future
        self.timer: asyncio.TimerHandle | None = None
        #: Expected when it was last looked at.
        self.wait_ms = 0.0


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
        #: Most calls at a time: the places that the target tells.
        self.limit = 1
        self.running = 0
        self.is_open = False
        self.work = _work.WorkTimes(LIKELY_SHARE)
        #: Of all calls that go before late ones.
        self._demand = _demand.Demand(now_s)
        self._queue: list[tuple[tuple, int, _Waiter]] = []
        self._shares = overload.RoomShares()
        self._failure_share = 0.0
        self._sequence = 0

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    @property
    def _waiting_nested(self) -> int:
        return sum(entry[-1].ticket.is_nested for entry in self._queue)

    def open(self, slots: int) -> None:
        """Take new calls."""
        self.limit = slots
        self.is_open = True
        self._admit_waiting()

    def renew(self) -> None:
        """Forget what was learnt: another lifetime of the target is there."""
        self.work = _work.WorkTimes(LIKELY_SHARE)
        self._failure_share = 0.0

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
        return _messages.LoadReport(
            self.running,
            self.waiting,
            self.limit,
            int(self.work.mean_ms),
            int(self.work.find_told_ms(route)),
            waiting_nested=self._waiting_nested,
            failed_percent=round(100 * self._failure_share),
            demand_percent=round(100 * self._demand.find_share(self.limit)),
        )

    async def enter(self, ticket: Ticket) -> None:
        """Wait for a place at the target.

        Raises
        ------
        GateRefused
            When the gate is closed, or the call is not expected to be
            served in its time.
        """
        if not self.is_open:
            raise GateRefused(_messages.RefusalReason.LEAVING)
        self._judge_workspace(ticket)
        is_late = self._is_late(ticket)
        is_next = self._is_next(ticket, is_late)
        if not is_late and (is_next or ticket.may_wait):
            self._demand.note(self.work.find_mean_ms(ticket.route))
        if is_next:
            self._take_place(ticket)
            return
        wait_ms = self._estimate_wait_ms(ticket, is_late)
        if not ticket.may_wait:
            raise GateRefused(
                _messages.RefusalReason.BUSY,
                int(min(wait_ms, LONGEST_WAIT_MS)),
            )
        if not self._can_serve(ticket, is_late, wait_ms):
            raise GateRefused(
                _messages.RefusalReason.SHED,
                int(min(wait_ms, LONGEST_WAIT_MS)),
            )
        waiter = self._enqueue(ticket, is_late, wait_ms)
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

    def find_busy_ms(self, ticket: Ticket) -> int | None:
        """Return the wait of a call for which there is no free place.

        None where there is one, or the gate is closed.
        """
        if not self.is_open:
            return None
        is_late = self._is_late(ticket)
        if self._is_next(ticket, is_late):
            return None
        wait_ms = self._estimate_wait_ms(ticket, is_late)
        return int(min(wait_ms, LONGEST_WAIT_MS))

    def _is_late(self, ticket: Ticket) -> bool:
        """Whether a call cannot end in its goal any more."""
        return ticket.goal_s <= self.now_s() and not ticket.is_nested

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
        if result is not CallResult.DONE:
            # A target that fails at once must not seem quick.
            return
        self.work.note(route, elapsed_ms)

    def _judge_workspace(self, ticket: Ticket) -> None:
        """Count a call for its workspace, and tell how that has fared."""
        if ticket.workspace == base.NO_WORKSPACE:
            return
        work_ms = self.work.find_mean_ms(ticket.route)
        now_s = self.now_s()
        self._shares.note_asked(ticket.workspace, work_ms, now_s)
        ticket.standing = self._shares.judge(ticket.workspace, work_ms, now_s)

    def _take_place(self, ticket: Ticket) -> None:
        self.running += 1
        if ticket.workspace != base.NO_WORKSPACE:
            work_ms = self.work.find_mean_ms(ticket.route)
            self._shares.note_served(ticket.workspace, work_ms, self.now_s())

    def _free(self) -> None:
        self.running -= 1
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._queue and self._has_place(self._queue[0][-1].is_late):
            waiter = heapq.heappop(self._queue)[-1]
            if not waiter.future.done():
                self._take_place(waiter.ticket)
                waiter.future.set_result(None)

    def _is_next(self, ticket: Ticket, is_late: bool) -> bool:
        """Whether a call that has just arrived need not wait."""
        if not self._has_place(is_late):
            return False
        return not self._queue or ticket.make_rank(is_late) < self._queue[0][0]

    def _has_place(self, is_late: bool) -> bool:
        reserve = round(RESERVE_SHARE * self.limit) if is_late else 0
        return self.running < self.limit - reserve

    # What can be served in time.

    def _can_serve(
        self, ticket: Ticket, is_late: bool, wait_ms: float
    ) -> bool:
        """Whether a call that has to wait is expected to be served."""
        if ticket.is_nested or is_late:
            work_ms = self.work.find_mean_ms(ticket.route)
            until_s = ticket.deadline_s
        else:
            work_ms = self.work.find_quantile_ms(ticket.route)
            until_s = ticket.goal_s
        return self.now_s() + (wait_ms + work_ms) / 1000 <= until_s

    def _estimate_wait_ms(self, ticket: Ticket, is_late: bool) -> float:
        """Estimate the wait behind all that goes before a call.

        Calls that arrive meanwhile go before a late one.  With a share of
        the places free for it, its wait is longer by that much (the lower
        class of a priority queue, Cobham 1954).
        """
        rank = ticket.make_rank(is_late)
        ahead_ms = self.work.mean_ms + sum(
            self.work.find_mean_ms(entry[-1].ticket.route)
            for entry in self._queue
            if entry[0] <= rank and entry[-1].ticket is not ticket
        )
        wait_ms = ahead_ms / self.limit
        if not is_late:
            return wait_ms
        left_share = 1 - RESERVE_SHARE - self._demand.find_share(self.limit)
        return wait_ms / left_share if left_share > 0 else math.inf

    # The queue.

    def _enqueue(
        self, ticket: Ticket, is_late: bool, wait_ms: float
    ) -> _Waiter:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(ticket, is_late, loop.create_future())
        self._push(waiter)
        self._plan_review(waiter, wait_ms)
        return waiter

    def _push(self, waiter: _Waiter) -> None:
        self._sequence += 1
        rank = waiter.ticket.make_rank(waiter.is_late)
        heapq.heappush(self._queue, (rank, self._sequence, waiter))

    def _plan_review(self, waiter: _Waiter, wait_ms: float) -> None:
        """Look at a waiter again when its turn should have come.

        A target's call is kept until it could no longer end in time.
        """
        ticket = waiter.ticket
        waiter.wait_ms = wait_ms
        work_s = self.work.find_mean_ms(ticket.route) / 1000
        if ticket.is_nested:
            margin = self.mesh_settings.shed_margin_percent / 100
            review_s = ticket.deadline_s - margin * work_s
        else:
            review_s = self.now_s() + max(wait_ms, LEAST_REVIEW_MS) / 1000
        loop = asyncio.get_running_loop()
        waiter.timer = loop.call_at(review_s, self._review, waiter)

    def _review(self, waiter: _Waiter) -> None:
        """Keep a waiter, keep it as a late one, or refuse it.

        Calls that go before it have arrived meanwhile.
        """
        ticket = waiter.ticket
        if waiter.future.done():
            return
        if ticket.is_nested:
            self._expire(waiter)
            return
        wait_ms = self._estimate_wait_ms(ticket, waiter.is_late)
        # A late one is kept only while its turn comes nearer: others may
        # take all places for as long as it could wait.
        is_nearer = not waiter.is_late or wait_ms < waiter.wait_ms
        if is_nearer and self._can_serve(ticket, waiter.is_late, wait_ms):
            self._plan_review(waiter, wait_ms)
        elif waiter.is_late:
            self._expire(waiter)
        else:
            self._demote(waiter)

    def _demote(self, waiter: _Waiter) -> None:
        """Keep a waiter that will miss its goal if places are left over."""
        wait_ms = self._estimate_wait_ms(waiter.ticket, True)
        if not self._can_serve(waiter.ticket, True, wait_ms):
            self._expire(waiter)
            return
        self._drop(waiter)
        waiter.is_late = True
        self._push(waiter)
        self._plan_review(waiter, wait_ms)

    def _expire(self, waiter: _Waiter) -> None:
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
                GateRefused(reason, int(self.work.mean_ms))
            )
