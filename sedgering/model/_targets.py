"""Model of a target: its slots, queue, speed and nested calls."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from sedgering import mesh
from sedgering.model import _loads
from sedgering import transport

__all__ = ['ModelTarget', 'TargetCrashed', 'TargetDown', 'Work']


class TargetDown(Exception):
    """The target is not listening, so the request was not sent."""


class TargetCrashed(Exception):
    """The target crashed while it was processing the request."""


class Work:
    """Work that one request causes at a target.

    Parameters
    ----------
    work_ms : float
        Processing time at a target of speed 1, in milliseconds.
    nested : NestedCalls or None
        Calls that the target makes while it processes the request.
    nested_ms : tuple of float
        Processing time of each nested call, in milliseconds.
    is_fatal : bool
        Whether the target crashes after the processing time.
    is_hasty : bool
        Whether the caller ignores Retry-After and retries almost at once.
    answer_bytes : int
        Size of the response body in bytes.
    """

    def __init__(
        self,
        work_ms: float,
        nested: _loads.NestedCalls | None = None,
        nested_ms: tuple[float, ...] = (),
        is_fatal: bool = False,
        is_hasty: bool = False,
        answer_bytes: int = 0,
    ):
        self.is_fatal = is_fatal
        self.is_hasty = is_hasty
        self.work_ms = work_ms
        self.nested = nested
        self.nested_ms = nested_ms
        self.answer_bytes = answer_bytes


class ModelTarget:
    """A simulated target.

    Parameters
    ----------
    group : TargetGroup
        Number of slots, length of the queue, and noise.
    speed : float
        Divides the processing time of a request.
    rng : random.Random
        Draws refusals and noise.
    """

    def __init__(
        self, group: _loads.TargetGroup, speed: float, rng: random.Random
    ):
        self.group = group
        self.speed = speed
        self.rng = rng
        self.slowness = 1.0
        #: Factor by which noisy neighbours currently slow down its host.
        self.noise = 1.0
        self.shed_share = 0.0
        self.is_up = True
        #: Number of crashes so far.
        self.crash_count = 0
        #: Schedules a restart after a crash; set by the simulation.
        self.schedule_restart: Callable[[], None]
        self._running: set[asyncio.Task] = set()
        self._reset_slots()
        #: Makes one nested call and returns whether it succeeded; set by the
        #: simulation.
        self.call_nested: Callable[
            [_loads.NestedCalls, float, float], Awaitable[bool]
        ]

    def _reset_slots(self) -> None:
        self._slots = asyncio.Semaphore(self.group.slots)
        self._waiting = 0

    @property
    def load_field(self) -> str | None:
        """Load header field of an answer; None if slowness is not reported."""
        if not self.group.tells_slowness:
            return None
        slots = self.group.slots
        percent = round(100 * self.noise)
        return f'{len(self._running)},{self._waiting},{slots},{percent}'

    def draw_noise(self) -> None:
        """Redraw whether noisy neighbours slow down the host."""
        noise = self.group.noise
        has_noise = self.rng.random() < noise.share
        self.noise = noise.factor if has_noise else 1.0

    def crash(self) -> None:
        """Crash, and abort all requests in progress."""
        if not self.is_up:
            return
        self.is_up = False
        self.crash_count += 1
        for task in self._running:
            task.cancel()
        self.schedule_restart()

    def start(self) -> None:
        """Start a new lifetime with empty slots and an empty queue."""
        self._reset_slots()
        self.is_up = True

    async def run(self, work: Work, deadline_s: float) -> mesh.CallAnswer:
        """Process one request.

        Parameters
        ----------
        work : Work
            Work that the request causes.
        deadline_s : float
            Deadline of the request, which also limits its nested calls, in
            seconds of the event loop's clock.

        Raises
        ------
        TargetDown
            If the target is not running.
        TargetCrashed
            If the target crashes before it answers.
        """
        if not self.is_up:
            raise TargetDown
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run(work, deadline_s))
        self._running.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            task.cancel()
            if not asyncio.current_task().cancelling():
                raise TargetCrashed from None
            raise
        finally:
            self._running.discard(task)

    async def _run(self, work: Work, deadline_s: float) -> mesh.CallAnswer:
        is_full = self._slots.locked() and self._waiting >= self.group.queue
        if is_full or self.rng.random() < self.shed_share:
            return mesh.CallAnswer(
                mesh.CallOutcome.NOT_RUN,
                reason=mesh.RefusalReason.TARGET_REFUSED,
                reached_target=True,
            )
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            is_successful = await self._process(work, deadline_s)
        finally:
            self._slots.release()
        return mesh.CallAnswer(
            mesh.CallOutcome.ANSWERED,
            transport.Response(
                200 if is_successful else 500, [], bytes(work.answer_bytes)
            ),
            reached_target=True,
        )

    async def _process(self, work: Work, deadline_s: float) -> bool:
        slowness = self.slowness * self.noise / self.speed
        await asyncio.sleep(work.work_ms * slowness / 1000)
        if work.is_fatal:
            self.crash()
        nested = work.nested
        if nested is None:
            return True
        if nested.is_parallel:
            calls = [
                self.call_nested(nested, work_ms, deadline_s)
                for work_ms in work.nested_ms
            ]
            return all(await asyncio.gather(*calls))
        for work_ms in work.nested_ms:
            if not await self.call_nested(nested, work_ms, deadline_s):
                return False
        return True
