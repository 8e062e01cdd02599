"""Admission control for the local target: admits, queues or refuses calls.

A call is queued only while it is likely to be served.  Calls that can
probably end within their latency goal ("calls in time") are queued ahead of
late ones; a late call gets only slots that the others leave free.  A call
that is not expected to end in time is refused at once, so that its caller can
try another host or retry later.

Refusing on arrival keeps a standing queue from forming.  In a simulation of
a target set that is offered 1.1 times its capacity for three seconds, 79 % of
the callers are answered within their goal, compared with 34 % when calls are
queued up to their deadline.
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
from sedgering.mesh import _serving
from sedgering.mesh import _settings
from sedgering.mesh import _work
from sedgering import overload

__all__ = ['CallResult', 'Gate', 'GateRefused', 'Ticket']

#: Weight of the newest result in the moving average of the failure share:
#: roughly the last thirty calls count.
FAILURE_WEIGHT = 0.03
#: Quantile of a route's work times that must fit before the goal.
WORK_QUANTILE = 0.85
#: Upper bound of `retry_after_ms`, also where the estimated wait is infinite.
MAX_RETRY_AFTER_MS = 10_000
#: Share of the slots that late calls may not take, one slot of twelve: it is
#: reserved for a call in time that arrives a moment later.  In simulated
#: overloads of a target set that is short of slots, 72 to 84 % of the callers
#: are answered within their goal without the reserve, 76 to 85 % with it, and
#: 75 to 84 % with twice as many reserved slots.
RESERVED_SHARE = 0.08
#: Smallest number of slots that stands for a rate limit, so that the demand on
#: a target that takes next to nothing stays finite.
MIN_RATE_SLOTS = 0.1
#: Upper bound of the reported demand.
MAX_DEMAND_PERCENT = 300
#: Shortest time until a queued call is reviewed: about the time in which one
#: of twelve slots becomes free.
MIN_REVIEW_MS = 10


class CallResult(enum.Enum):
    """Result of a call, for the statistics of the target."""

    DONE = 'done'
    #: The target refused the call before doing any work.
    REFUSED = 'refused'
    #: The target returned a server error, or no complete answer.
    FAILED = 'failed'
    #: The caller cancelled the call; it is left out of the statistics.
    CANCELLED = 'cancelled'


class GateRefused(Exception):
    """A call was refused before any work was done.

    Parameters
    ----------
    reason : RefusalReason
        Reason for the refusal.
    retry_after_ms : int
        Time after which the call may be retried, in milliseconds.
    """

    def __init__(
        self, reason: _messages.RefusalReason, retry_after_ms: int = 0
    ):
        super().__init__(reason, retry_after_ms)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Ticket(msgspec.Struct):
    """Properties of a call that admission depends on.

    Parameters
    ----------
    route : str
        Route of the call; work times are kept per route.
    priority : int
        Priority of the call; 0 is served first.
    urgency : CallUrgency
        Whether a caller or a target waits for the answer.
    deadline_s, goal_s : float
        Deadline and latency goal, in seconds of event loop time.
    may_wait : bool
        Whether the call may be queued for a slot.
    workspace : str
        Workspace that issued the call.
    workspace_priority : int
        Priority of the workspace, compared before `priority`; 0 is served
        first.
    standing : ShareStanding
        Recent share of service of the workspace; set by :meth:`Gate.enter`.
    """

    route: base.RouteName
    priority: int
    urgency: _messages.CallUrgency
    deadline_s: float
    goal_s: float
    may_wait: bool = True
    workspace: base.WorkspaceName = base.NO_WORKSPACE
    workspace_priority: int = 0
    standing: overload.ShareStanding = overload.ShareStanding.USUAL

    @property
    def is_nested(self) -> bool:
        """Whether a target issued it; the parent call holds a slot."""
        return self.urgency is _messages.CallUrgency.TARGET

    def make_sort_key(self, is_late: bool) -> tuple:
        """Return the sort key of the call in the queue.

        Calls issued by targets go first, because their parent calls hold
        slots.  Then calls in time go before late ones: the same slot would
        otherwise be spent on an answer that misses its goal.  Among those, a
        workspace that is served far less often than others goes first; then
        calls are ordered by the priority of the workspace and their own.
        Within one priority, a workspace that has had more than its share goes
        last.
        """
        until_s = self.deadline_s if is_late else self.goal_s
        return (
            not self.is_nested,
            is_late,
            self.standing is not overload.ShareStanding.STARVED,
            self.workspace_priority,
            self.priority,
            self.standing is overload.ShareStanding.OVER,
            until_s,
        )


class _Waiter:
    __slots__ = ('future', 'is_late', 'ticket', 'timer', 'wait_ms')

    def __init__(self, ticket: Ticket, is_late: bool, future: asyncio.Future):
        self.ticket = ticket
        self.is_late = is_late
        self.future = future
        self.timer: asyncio.TimerHandle | None = None
        #: Wait that was estimated at the last review.
        self.wait_ms = 0.0


class Gate:
    """Limits concurrent calls at the target and keeps a short queue.

    Parameters
    ----------
    mesh_settings : MeshSettings
        Settings of the queue.
    now_s : callable
        Returns the event loop time in seconds.
    """

    def __init__(
        self,
        mesh_settings: _settings.MeshSettings,
        now_s: Callable[[], float],
    ):
        self.mesh_settings = mesh_settings
        self.now_s = now_s
        self.serving = _serving.ServingDeadline()
        #: Maximum number of concurrent calls, as the target reports it.
        self.limit = 1
        #: Calls that the rate limit of the target allows; None without one.
        self._bucket: overload.RateBucket | None = None
        self._bucket_timer: asyncio.TimerHandle | None = None
        #: Called when a call cannot be sent at once within the rate limit.
        self.on_rate_limited: Callable[[], None] = _do_nothing
        self.running = 0
        self.is_open = False
        self.work = _work.WorkTimes(WORK_QUANTILE)
        #: Demand of all calls that are served before late ones.
        self._demand = _demand.Demand(now_s)
        self._queue: list[tuple[tuple, int, _Waiter]] = []
        self._shares = overload.WorkspaceShares()
        self._failure_share = 0.0
        self._sequence = 0

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    @property
    def _waiting_nested(self) -> int:
        return sum(entry[-1].ticket.is_nested for entry in self._queue)

    @property
    def rate_limit_per_s(self) -> float | None:
        """Rate limit in force, in calls per second; None without one."""
        return self._bucket.per_s if self._bucket is not None else None

    @property
    def capacity_slots(self) -> float:
        """Slots that can be used, given the rate limit (Little's law)."""
        if self._bucket is None:
            return self.limit
        usable = self._bucket.per_s * self.work.mean_ms / 1000
        return min(self.limit, max(MIN_RATE_SLOTS, usable))

    def set_rate_limit(self, per_s: float | None, calls: int = 0) -> None:
        """Apply the rate limit of the target; None for no limit.

        Parameters
        ----------
        per_s : float or None
            Limit in calls per second.
        calls : int
            Calls that a new limit allows at once.
        """
        if per_s is None:
            self._bucket = None
        elif self._bucket is None:
            self._bucket = overload.RateBucket(per_s, self.now_s, calls)
        else:
            self._bucket.set_rate(per_s)
        self._admit_waiting()
        if per_s is not None:
            self._review_all()

    def allow_call(self) -> None:
        """Let the rate limit allow one call more.

        For a call that was not sent after all, or for one whose answer shows
        whether the limit still holds.
        """
        if self._bucket is not None:
            self._bucket.add()
            self._admit_waiting()

    def open(self, slots: int) -> None:
        """Admit calls, up to `slots` at a time."""
        self.limit = slots
        self.is_open = True
        self._admit_waiting()

    def reset_statistics(self) -> None:
        """Reset the statistics when the target was replaced."""
        self.work = _work.WorkTimes(WORK_QUANTILE)
        self._failure_share = 0.0

    def close(self, reason: _messages.RefusalReason) -> None:
        """Refuse new and queued calls; running calls continue."""
        self.is_open = False
        queue, self._queue = self._queue, []
        for _key, _sequence, waiter in queue:
            self._refuse(waiter, reason)

    def make_report(self, route: base.RouteName) -> _messages.LoadReport:
        """Make the load report that is sent to peers with an answer.

        Parameters
        ----------
        route : str
            Route of the call that is answered.
        """
        return _messages.LoadReport(
            self.running,
            self.waiting,
            max(1, round(self.capacity_slots)),
            int(self.work.mean_ms),
            int(self.work.find_reported_ms(route)),
            waiting_nested=self._waiting_nested,
            failed_percent=round(100 * self._failure_share),
            demand_percent=min(
                MAX_DEMAND_PERCENT,
                round(100 * self._demand.find_share(self.capacity_slots)),
            ),
            rate_wait_ms=math.ceil(
                min(self._find_rate_wait_ms(1), MAX_RETRY_AFTER_MS)
            ),
        )

    async def enter(self, ticket: Ticket) -> None:
        """Wait for a slot at the target.

        Raises
        ------
        GateRefused
            When the gate is closed, no slot is free for a call that may not
            wait, or the call is not expected to end in time.
        """
        if not self.is_open:
            raise GateRefused(_messages.RefusalReason.LEAVING)
        self._classify_workspace(ticket)
        is_late = self._is_late(ticket)
        can_start = self._can_start(ticket, is_late)
        if not is_late and (can_start or ticket.may_wait):
            self._demand.note(self.work.find_mean_ms(ticket.route))
        if can_start:
            self._check_end(ticket)
            self._occupy_slot(ticket)
            return
        wait_ms = self._estimate_wait_ms(ticket, is_late)
        if not ticket.may_wait:
            raise GateRefused(
                _messages.RefusalReason.BUSY,
                int(min(wait_ms, MAX_RETRY_AFTER_MS)),
            )
        self._check_end(ticket, wait_ms)
        if not self._can_end_in_time(ticket, is_late, wait_ms):
            raise GateRefused(
                self._find_shed_reason(),
                int(min(wait_ms, MAX_RETRY_AFTER_MS)),
            )
        waiter = self._enqueue(ticket, is_late, wait_ms)
        try:
            await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                if waiter.future.exception() is None:
                    # Admitted and cancelled in the same iteration of the loop.
                    self._release_slot()
            else:
                self._remove(waiter)
            raise
        finally:
            waiter.timer.cancel()

    def find_busy_ms(self, ticket: Ticket) -> int | None:
        """Return the estimated wait of a call if no slot is free for it.

        Returns None when a slot is free or the gate is closed.
        """
        if not self.is_open:
            return None
        is_late = self._is_late(ticket)
        if self._can_start(ticket, is_late):
            return None
        wait_ms = self._estimate_wait_ms(ticket, is_late)
        return int(min(wait_ms, MAX_RETRY_AFTER_MS))

    def _is_late(self, ticket: Ticket) -> bool:
        """Whether the goal has passed; nested calls are never late."""
        return ticket.goal_s <= self.now_s() and not ticket.is_nested

    def leave(
        self, ticket: Ticket, result: CallResult, elapsed_ms: float
    ) -> None:
        """Release the slot of a call.

        Parameters
        ----------
        ticket : Ticket
            Ticket with which the slot was taken.
        result : CallResult
            Result of the call.
        elapsed_ms : float
            Time that the call took at the target.
        """
        if result is not CallResult.CANCELLED:
            self._record_result(ticket.route, result, elapsed_ms)
        self._release_slot()

    def _record_result(
        self, route: base.RouteName, result: CallResult, elapsed_ms: float
    ) -> None:
        is_failure = float(result is not CallResult.DONE)
        self._failure_share += FAILURE_WEIGHT * (
            is_failure - self._failure_share
        )
        if result is not CallResult.DONE:
            # Excluded so that a target that fails at once does not seem fast.
            return
        self.work.note(route, elapsed_ms)

    def _classify_workspace(self, ticket: Ticket) -> None:
        """Count a call for its workspace and set the standing of the call."""
        if ticket.workspace == base.NO_WORKSPACE:
            return
        work_ms = self.work.find_mean_ms(ticket.route)
        now_s = self.now_s()
        self._shares.note_requested(ticket.workspace, work_ms, now_s)
        ticket.standing = self._shares.find_standing(
            ticket.workspace, work_ms, now_s
        )

    def _occupy_slot(self, ticket: Ticket) -> None:
        self.running += 1
        if self._bucket is not None:
            self._bucket.take()
        if ticket.workspace != base.NO_WORKSPACE:
            work_ms = self.work.find_mean_ms(ticket.route)
            self._shares.note_served(ticket.workspace, work_ms, self.now_s())

    def _release_slot(self) -> None:
        self.running -= 1
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._queue and self._has_free_slot(self._queue[0][-1].is_late):
            if self._find_rate_wait_ms(1):
                self._schedule_admission()
                return
            waiter = heapq.heappop(self._queue)[-1]
            if waiter.future.done():
                continue
            if self._would_cut_off(waiter.ticket):
                self._refuse(waiter, _messages.RefusalReason.ENDING)
                continue
            self._occupy_slot(waiter.ticket)
            waiter.future.set_result(None)

    def _can_start(self, ticket: Ticket, is_late: bool) -> bool:
        """Whether a call that has just arrived can start without waiting."""
        if not self._has_free_slot(is_late) or self._find_rate_wait_ms(1):
            return False
        return (
            not self._queue
            or ticket.make_sort_key(is_late) < self._queue[0][0]
        )

    def _has_free_slot(self, is_late: bool) -> bool:
        reserve = round(RESERVED_SHARE * self.limit) if is_late else 0
        return self.running < self.limit - reserve

    # The rate limit of the target.

    def _find_rate_wait_ms(self, calls: int) -> float:
        """Return the time until the rate limit allows several calls."""
        if self._bucket is None:
            return 0.0
        return 1000 * self._bucket.find_wait_s(calls)

    def _find_shed_reason(self) -> _messages.RefusalReason:
        """Return why a call cannot wait: for the rate limit, or for a slot."""
        if self._find_rate_wait_ms(1):
            return _messages.RefusalReason.RATE_LIMITED
        return _messages.RefusalReason.SHED

    def _schedule_admission(self) -> None:
        """Admit queued calls when the rate limit allows the next one."""
        if self._bucket_timer is not None:
            self._bucket_timer.cancel()
            self._bucket_timer = None
        wait_ms = self._find_rate_wait_ms(1)
        if wait_ms < math.inf:
            self._bucket_timer = asyncio.get_running_loop().call_later(
                wait_ms / 1000, self._admit_waiting
            )

    # Estimates of whether a call can end in time.

    def review_end(self) -> None:
        """Refuse queued calls that the end of the daemon would cut off."""
        for waiter in [entry[-1] for entry in self._queue]:
            wait_ms = self._estimate_wait_ms(waiter.ticket, waiter.is_late)
            if self._would_cut_off(waiter.ticket, wait_ms):
                self._remove(waiter)
                self._refuse(waiter, _messages.RefusalReason.ENDING)

    def _would_cut_off(self, ticket: Ticket, wait_ms: float = 0.0) -> bool:
        """Whether the daemon is likely to end before a call does."""
        return self.serving.would_cut_off(
            ticket.deadline_s, self.now_s(), self.work, ticket.route, wait_ms
        )

    def _check_end(self, ticket: Ticket, wait_ms: float = 0.0) -> None:
        """Check that a call is likely to end before the daemon does.

        Raises
        ------
        GateRefused
            When it is not.
        """
        if self._would_cut_off(ticket, wait_ms):
            left_ms = self.serving.find_left_ms(self.now_s())
            raise GateRefused(
                _messages.RefusalReason.ENDING,
                int(min(left_ms, MAX_RETRY_AFTER_MS)),
            )

    def _can_end_in_time(
        self, ticket: Ticket, is_late: bool, wait_ms: float
    ) -> bool:
        """Whether a call that has to wait is expected to end in time."""
        if ticket.is_nested or is_late:
            work_ms = self.work.find_mean_ms(ticket.route)
            until_s = ticket.deadline_s
        else:
            work_ms = self.work.find_quantile_ms(ticket.route)
            until_s = ticket.goal_s
        return self.now_s() + (wait_ms + work_ms) / 1000 <= until_s

    def _estimate_wait_ms(self, ticket: Ticket, is_late: bool) -> float:
        """Estimate how long a call waits behind those served before it.

        Calls in time that arrive meanwhile are served before a late one, so
        its wait is divided by the share of the slots that they leave free
        (lower class of a priority queue, Cobham 1954).
        """
        key = ticket.make_sort_key(is_late)
        ahead = [
            entry[-1].ticket.route
            for entry in self._queue
            if entry[0] <= key and entry[-1].ticket is not ticket
        ]
        ahead_ms = self.work.mean_ms + sum(map(self.work.find_mean_ms, ahead))
        wait_ms = ahead_ms / self.limit
        rate_wait_ms = self._find_rate_wait_ms(len(ahead) + 1)
        if rate_wait_ms:
            self.on_rate_limited()
            wait_ms = max(wait_ms, rate_wait_ms)
        if not is_late:
            return wait_ms
        demand_share = self._demand.find_share(self.capacity_slots)
        left_share = 1 - RESERVED_SHARE - demand_share
        return wait_ms / left_share if left_share > 0 else math.inf

    # The queue.

    def _enqueue(
        self, ticket: Ticket, is_late: bool, wait_ms: float
    ) -> _Waiter:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(ticket, is_late, loop.create_future())
        self._push(waiter)
        self._schedule_review(waiter, wait_ms)
        if self._bucket is not None:
            self._admit_waiting()
        return waiter

    def _push(self, waiter: _Waiter) -> None:
        self._sequence += 1
        key = waiter.ticket.make_sort_key(waiter.is_late)
        heapq.heappush(self._queue, (key, self._sequence, waiter))

    def _schedule_review(self, waiter: _Waiter, wait_ms: float) -> None:
        """Schedule a review for when the call should have been admitted.

        A call issued by a target stays queued until it can no longer end in
        time.
        """
        ticket = waiter.ticket
        waiter.wait_ms = wait_ms
        work_s = self.work.find_mean_ms(ticket.route) / 1000
        if ticket.is_nested:
            margin = self.mesh_settings.shed_margin_percent / 100
            review_s = ticket.deadline_s - margin * work_s
        else:
            review_s = self.now_s() + max(wait_ms, MIN_REVIEW_MS) / 1000
        loop = asyncio.get_running_loop()
        waiter.timer = loop.call_at(review_s, self._review, waiter)

    def _review(self, waiter: _Waiter) -> None:
        """Keep a queued call, demote it to late, or refuse it.

        Calls that are served before it may have arrived since the last
        estimate.
        """
        ticket = waiter.ticket
        if waiter.future.done():
            return
        if ticket.is_nested:
            self._shed(waiter)
            return
        wait_ms = self._estimate_wait_ms(ticket, waiter.is_late)
        # A late call is kept only while its estimated wait shrinks: otherwise
        # calls in time may take all slots until its deadline.
        is_nearer = not waiter.is_late or wait_ms < waiter.wait_ms
        if is_nearer and self._can_end_in_time(
            ticket, waiter.is_late, wait_ms
        ):
            self._schedule_review(waiter, wait_ms)
        elif waiter.is_late:
            self._shed(waiter)
        else:
            self._demote(waiter)

    def _review_all(self) -> None:
        """Refuse, or demote, queued calls that a new limit makes too late."""
        for waiter in [entry[-1] for entry in self._queue]:
            ticket = waiter.ticket
            wait_ms = self._estimate_wait_ms(ticket, waiter.is_late)
            if self._can_end_in_time(ticket, waiter.is_late, wait_ms):
                continue
            waiter.timer.cancel()
            self._review(waiter)

    def _demote(self, waiter: _Waiter) -> None:
        """Requeue a call that will miss its goal as late, or refuse it."""
        wait_ms = self._estimate_wait_ms(waiter.ticket, True)
        if not self._can_end_in_time(waiter.ticket, True, wait_ms):
            self._shed(waiter)
            return
        self._remove(waiter)
        waiter.is_late = True
        self._push(waiter)
        self._schedule_review(waiter, wait_ms)

    def _shed(self, waiter: _Waiter) -> None:
        self._remove(waiter)
        self._refuse(waiter, self._find_shed_reason())

    def _remove(self, waiter: _Waiter) -> None:
        self._queue = [
            entry for entry in self._queue if entry[-1] is not waiter
        ]
        heapq.heapify(self._queue)

    def _refuse(
        self, waiter: _Waiter, reason: _messages.RefusalReason
    ) -> None:
        if not waiter.future.done():
            wait_ms = max(self.work.mean_ms, self._find_rate_wait_ms(1))
            wait_ms = min(wait_ms, MAX_RETRY_AFTER_MS)
            waiter.future.set_exception(GateRefused(reason, int(wait_ms)))


def _do_nothing() -> None:
    """Default for `Gate.on_rate_limited`."""
