"""Model of a target: slots, a queue, speed, and calls of its own."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from sedgering import mesh
from sedgering.model import _loads
from sedgering import transport

__all__ = ['ModelTarget', 'TargetDown', 'TargetEnded', 'Work']


class TargetDown(Exception):
    """Nobody listens; nothing was sent."""


class TargetEnded(Exception):
    """The target has ended while a request was under way."""


class Work:
    """What one request asks of a target.

    Parameters
    ----------
    work_ms : float
        Time at a target of speed 1.
    nested : NestedCalls or None
        Calls that it makes.
    nested_ms : tuple of float
        Work of each of these.
    is_fatal : bool
        Whether a target ends after this work.
    is_hasty : bool
        Whether its caller comes back at once.
    answer_bytes : int
        Size of the answer.
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
    """One target.

    Parameters
    ----------
    group : TargetGroup
        Its slots and queue.
    speed : float
        Work takes its time divided by this.
    rng : random.Random
        Draws refusals.
    """

    def __init__(
        self, group: _loads.TargetGroup, speed: float, rng: random.Random
    ):
        self.group = group
        self.speed = speed
        self.rng = rng
        self.slowness = 1.0
        #: How many times as long work takes on its host at this moment.
        self.noise = 1.0
        self.shed_share = 0.0
        self.is_up = True
        #: Times that it has ended.
        self.ends = 0
        #: Plans its return; set by the player.
        self.on_end: Callable[[], None]
        self._working: set[asyncio.Task] = set()
        self._start_anew()
        #: Makes one nested call and says whether it succeeded.
        self.call: Callable[
            [_loads.NestedCalls, float, float], Awaitable[bool]
        ]

    def _start_anew(self) -> None:
        self._slots = asyncio.Semaphore(self.group.slots)
        self._waiting = 0

    @property
    def load_field(self) -> str | None:
        """What it tells of its load; None when it tells no slowness."""
        if not self.group.tells_slowness:
            return None
        slots = self.group.slots
        percent = round(100 * self.noise)
        return f'{len(self._working)},{self._waiting},{slots},{percent}'

    def change_noise(self) -> None:
        """Draw anew whether its host is slow."""
        noise = self.group.noise
        is_slow = self.rng.random() < noise.share
        self.noise = noise.factor if is_slow else 1.0

    def end(self) -> None:
        """End, with all that is under way."""
        if not self.is_up:
            return
        self.is_up = False
        self.ends += 1
        for working in self._working:
            working.cancel()
        self.on_end()

    def start(self) -> None:
        """Start a new lifetime."""
        self._start_anew()
        self.is_up = True

    async def run(self, work: Work, deadline_s: float) -> mesh.CallAnswer:
        """Run one request.

        Raises
        ------
        TargetDown, TargetEnded
            When there is no answer.
        """
        if not self.is_up:
            raise TargetDown
        loop = asyncio.get_running_loop()
        working = loop.create_task(self._run(work, deadline_s))
        self._working.add(working)
        try:
            return await working
        except asyncio.CancelledError:
            working.cancel()
            if not asyncio.current_task().cancelling():
                raise TargetEnded from None
            raise
        finally:
            self._working.discard(working)

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
            is_good = await self._work(work, deadline_s)
        finally:
            self._slots.release()
        return mesh.CallAnswer(
            mesh.CallOutcome.ANSWERED,
            transport.Response(
                200 if is_good else 500, [], bytes(work.answer_bytes)
            ),
            reached_target=True,
        )

    async def _work(self, work: Work, deadline_s: float) -> bool:
        slowness = self.slowness * self.noise / self.speed
        await asyncio.sleep(work.work_ms * slowness / 1000)
        if work.is_fatal:
            self.end()
        nested = work.nested
        if nested is None:
            return True
        if nested.is_parallel:
            calls = [
                self.call(nested, work_ms, deadline_s)
                for work_ms in work.nested_ms
            ]
            return all(await asyncio.gather(*calls))
        for work_ms in work.nested_ms:
            if not await self.call(nested, work_ms, deadline_s):
                return False
        return True
