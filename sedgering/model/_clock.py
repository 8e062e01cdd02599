"""An event loop whose time stands still while there is anything to do."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any

__all__ = ['make_virtual_runner', 'run_virtual']


class _JumpingSelector(selectors.DefaultSelector):
    """Instead of waiting for a time to come, moves the clock there."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Return what is ready; move the clock where nothing is."""
        if timeout is None:
            # Nothing is planned and nothing can come from outside.
            raise RuntimeError('every task waits for another one')
        ready = super().select(0)
        if not ready:
            self.now_s += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a clock of its own."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Return the virtual time in seconds."""
        return self._jumping.now_s


def make_virtual_runner() -> asyncio.Runner:
    """Make a runner of coroutines that follow each other in virtual time."""
    return asyncio.Runner(loop_factory=_VirtualLoop)


def run_virtual(work: Coroutine) -> Any:
    """Run a coroutine to its end in virtual time, and return its result."""
    with make_virtual_runner() as runner:
        return runner.run(work)
