"""How much of a target's places the calls that go first ask for."""

from collections.abc import Callable
import math

__all__ = ['Demand']

#: Time constant over which demand is averaged: some tens of work times, so
#: that it tells lasting load from chance, and well below a deadline.
MEMORY_S = 0.5


class Demand:
    """Work that arrives, as a share of what the places can do.

    Parameters
    ----------
    now_s : callable
        Time of the event loop.
    """

    def __init__(self, now_s: Callable[[], float]):
        self.now_s = now_s
        self._work_ms = 0.0
        self._at_s = now_s()

    def note(self, work_ms: float) -> None:
        """Take in the work of a call that has arrived, admitted or not."""
        self._decay()
        self._work_ms += work_ms

    def find_share(self, places: int) -> float:
        """Return the demand as a share of the places; 1 fills them all."""
        self._decay()
        return self._work_ms / (places * MEMORY_S * 1000)

    def _decay(self) -> None:
        now_s = self.now_s()
        self._work_ms *= math.exp((self._at_s - now_s) / MEMORY_S)
        self._at_s = now_s
