"""The first moments of a daemon: requests come before it can route them."""

import asyncio

__all__ = ['StartWait']

#: Time after the start within which a daemon usually has its version and its
#: members: reading them takes 0.1 to 0.3 s with all hosts starting at once.
#: Later the store is away, and nobody knows for how long.
USUAL_START_S = 1.0
#: Longest hold of one request.  A caller that is held and then served does
#: better than one that spends one of its two or three tries on a refusal;
#: one that is refused in the end has lost less than its next try would take.
LONGEST_HOLD_S = 0.4


class StartWait:
    """Holds requests until the daemon knows where they go."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._ready = asyncio.Event()

    @property
    def is_usual(self) -> bool:
        """Whether the daemon may still be ready in a moment."""
        return self._loop.time() < self._started_s + USUAL_START_S

    def end(self) -> None:
        """Let all requests go on: the daemon is ready."""
        self._ready.set()

    async def wait(self) -> None:
        """Wait until the daemon is ready, if that is near."""
        if self._ready.is_set() or not self.is_usual:
            return
        left_s = self._started_s + USUAL_START_S - self._loop.time()
        try:
            async with asyncio.timeout(min(LONGEST_HOLD_S, left_s)):
                await self._ready.wait()
        except TimeoutError:
            return
