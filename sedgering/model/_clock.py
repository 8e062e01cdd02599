"""An asyncio event loop that runs on simulated time."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any

__all__ = ['make_virtual_runner', 'run_virtual']


class _SimulatedTimeSelector(selectors.DefaultSelector):
    """Advances the simulated clock instead of blocking until a timeout."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Return the ready events; without any, advance the clock."""
        if timeout is None:
            # No timer is scheduled, and there is no external I/O.
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        ready = super().select(0)
        if not ready:
            self.now_s += timeout
        return ready


class _SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is simulated."""

    def __init__(self):
        self._time_selector = _SimulatedTimeSelector()
        super().__init__(self._time_selector)

    def time(self):
        """Return the simulated time in seconds."""
        return self._time_selector.now_s


def make_virtual_runner() -> asyncio.Runner:
    """Make a runner that runs successive coroutines in simulated time."""
    return asyncio.Runner(loop_factory=_SimulatedTimeLoop)


def run_virtual(coroutine: Coroutine) -> Any:
    """Run a coroutine to completion in simulated time; return its result."""
    with make_virtual_runner() as runner:
        return runner.run(coroutine)
