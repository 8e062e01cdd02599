"""Schedules suspects so that a crash can be attributed to one of them."""

import asyncio

from sedgering import base

__all__ = ['TrialScheduler']

#: Crashes from which on a request runs apart from all other suspects.  A first
#: crash names a dozen requests, most of them harmless repeats, which would
#: wait for seconds if they ran one at a time.
EXCLUSIVE_FROM_CRASHES = 2


class TrialScheduler:
    """Limits which suspects run at the local target at the same time."""

    def __init__(self):
        #: Running suspects, and whether each must run alone.
        self._running: dict[base.Fingerprint, bool] = {}
        self._waiters: set[asyncio.Future] = set()

    def try_start(self, fingerprint: base.Fingerprint, crashes: int) -> bool:
        """Start a suspect if it may run now; return whether it did.

        Parameters
        ----------
        fingerprint : Fingerprint
            Fingerprint of the request, of which one copy runs at a time.
        crashes : int
            Number of crashes that count against it.
        """
        is_exclusive = crashes >= EXCLUSIVE_FROM_CRASHES
        if fingerprint in self._running or any(self._running.values()):
            return False
        if is_exclusive and self._running:
            return False
        self._running[fingerprint] = is_exclusive
        return True

    def finish(self, fingerprint: base.Fingerprint) -> None:
        """Remove a suspect that has ended, whatever its result."""
        del self._running[fingerprint]
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait until a suspect has ended."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)
