"""Paces what is sent to the capacity of a link."""

import asyncio

__all__ = ['Pacer']


class Pacer:
    """Capacity that everything sent through it shares.

    Parameters
    ----------
    bytes_per_s : float
        The capacity; 0 for unlimited.
    """

    def __init__(self, bytes_per_s: float = 0.0):
        self.bytes_per_s = bytes_per_s
        #: When everything that was handed over will have been sent.
        self._idle_at_s = 0.0

    async def wait(self, size_bytes: int) -> None:
        """Wait until bytes may be sent."""
        if not self.bytes_per_s:
            return
        now_s = asyncio.get_running_loop().time()
        idle_at_s = max(now_s, self._idle_at_s)
        self._idle_at_s = idle_at_s + size_bytes / self.bytes_per_s
        await asyncio.sleep(idle_at_s - now_s)
