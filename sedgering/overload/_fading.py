"""Sums in which what lies back counts for less."""

import math

__all__ = ['Fading']


class Fading:
    """Tells the weight of each moment in sums that fade.

    What is added weighs more the later it comes, in place of all that is
    remembered being scaled down with each call; sums are scaled once in a
    while.

    Parameters
    ----------
    memory_s : float
        Time constant.
    """

    def __init__(self, memory_s: float):
        self.memory_s = memory_s
        self._base_s = 0.0

    def find_weight(self, at_s: float) -> float:
        """Return the weight of a moment."""
        return math.exp((at_s - self._base_s) / self.memory_s)

    def renew(self, now_s: float) -> float | None:
        """Return the factor by which sums are to be scaled now, if any."""
        if now_s - self._base_s < self.memory_s:
            return None
        factor = math.exp((self._base_s - now_s) / self.memory_s)
        self._base_s = now_s
        return factor
