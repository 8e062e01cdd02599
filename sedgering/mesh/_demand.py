"""Demand for the slots of a target by calls served before late ones."""

from collections.abc import Callable
import math

__all__ = ['Demand']

#: Time constant of the moving average: some tens of work times, so that it
#: separates lasting load from random variation, and well below a deadline.
TIME_CONSTANT_S = 0.5


class Demand:
    """Moving average of arriving work, relative to the slots.

    Parameters
    ----------
    now_s : callable
        Returns the event loop time in seconds.
    """

    def __init__(self, now_s: Callable[[], float]):
        self.now_s = now_s
        self._work_ms = 0.0
        self._updated_s = now_s()

    def note(self, work_ms: float) -> None:
        """Add the work of a call that has arrived, admitted or not."""
        self._decay()
        self._work_ms += work_ms

    def find_share(self, slots: int) -> float:
        """Return the demand as a share of the slots; 1 fills them all."""
        self._decay()
        return self._work_ms / (slots * TIME_CONSTANT_S * 1000)

    def _decay(self) -> None:
        now_s = self.now_s()
        self._work_ms *= math.exp((self._updated_s - now_s) / TIME_CONSTANT_S)
        self._updated_s = now_s
