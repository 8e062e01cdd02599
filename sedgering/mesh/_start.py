"""Holds requests that arrive before a starting daemon can route them."""

import asyncio

__all__ = ['StartupWait']

#: Time after the start within which a daemon usually has its version and its
#: members: reading them takes 0.1 to 0.3 s with all hosts starting at once.
#: After that the store is unavailable for an unknown time.
STARTUP_S = 1.0
#: Longest hold of one request. Being held and then served is better for a
#: caller than spending one of its two or three tries on a refusal; a caller
#: refused after the hold has lost less time than its next try would take.
MAX_HOLD_S = 0.4


class StartupWait:
    """Holds requests until the daemon knows version and members."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._ready = asyncio.Event()

    @property
    def is_usual(self) -> bool:
        """Whether the usual startup time has not passed yet."""
        return self._loop.time() < self._started_s + STARTUP_S

    def end(self) -> None:
        """Release all held requests: the daemon is ready."""
        self._ready.set()

    async def wait(self) -> None:
        """Wait until the daemon is ready, if that is likely to be soon."""
        if self._ready.is_set() or not self.is_usual:
            return
        left_s = self._started_s + STARTUP_S - self._loop.time()
        try:
            async with asyncio.timeout(min(MAX_HOLD_S, left_s)):
                await self._ready.wait()
        except TimeoutError:
            return
