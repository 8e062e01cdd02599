"""Lets suspects run at the local target so that an end tells whose it was."""

import asyncio

from sedgering import base

__all__ = ['TrialDesk']

#: Ends from which on a request runs apart from all other suspects.  Those of
#: the first end are a dozen, most of them repeats that do no harm: one at a
#: time they would wait for seconds.
ALONE_FROM_CRASHES = 2


class TrialDesk:
    """Suspects that run at the local target."""

    def __init__(self):
        #: Whether each must be the only one.
        self._running: dict[base.Fingerprint, bool] = {}
        self._waiters: list[asyncio.Future] = []

    def begin(self, fingerprint: base.Fingerprint, crashes: int) -> bool:
        """Let a suspect run if it may; say whether it does.

        Parameters
        ----------
        fingerprint : Fingerprint
            Of the request, of which one copy runs at a time.
        crashes : int
            Ends that speak against it.
        """
        is_alone = crashes >= ALONE_FROM_CRASHES
        if fingerprint in self._running or any(self._running.values()):
            return False
        if is_alone and self._running:
            return False
        self._running[fingerprint] = is_alone
        return True

    def end(self, fingerprint: base.Fingerprint) -> None:
        """Note that a suspect has ended, in whatever way."""
        del self._running[fingerprint]
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait until a suspect has ended."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter
