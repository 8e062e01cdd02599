"""Model of a target: slots, a queue, speed, and calls of its own."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from sedgering import mesh
from sedgering.model import _loads
from sedgering import transport

__all__ = ['ModelTarget', 'Work']


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
    """

    def __init__(
        self,
        work_ms: float,
        nested: _loads.NestedCalls | None = None,
        nested_ms: tuple[float, ...] = (),
    ):
        self.work_ms = work_ms
        self.nested = nested
        self.nested_ms = nested_ms


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
        self.shed_share = 0.0
        self._slots = asyncio.Semaphore(group.slots)
        self._waiting = 0
        #: Makes one nested call and says whether it succeeded.
        self.call: Callable[
            [_loads.NestedCalls, float, float], Awaitable[bool]
        ]

    async def run(self, work: Work, deadline_s: float) -> mesh.CallAnswer:
        """Run one request."""
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
            transport.Response(200 if is_good else 500, []),
            reached_target=True,
        )

    async def _work(self, work: Work, deadline_s: float) -> bool:
        await asyncio.sleep(work.work_ms * self.slowness / self.speed / 1000)
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
