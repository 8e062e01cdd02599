"""Exponentially decayed sums, by forward decay."""

import math

__all__ = ['ForwardDecay']


class ForwardDecay:
    """Computes the weights of exponentially decayed sums.

    Instead of scaling a sum down with each addition, later additions weigh
    more, relative to a landmark time.  From time to time the landmark moves
    and the sums are rescaled, so that the weights stay bounded.

    Parameters
    ----------
    time_constant_s : float
        Time after which the weight of an addition has fallen to 1/e.
    """

    def __init__(self, time_constant_s: float):
        self.time_constant_s = time_constant_s
        self._landmark_s = 0.0

    def find_weight(self, at_s: float) -> float:
        """Return the weight of what is added at a time."""
        return math.exp((at_s - self._landmark_s) / self.time_constant_s)

    def move_landmark(self, now_s: float) -> float | None:
        """Move the landmark to now if it is older than the time constant.

        Returns
        -------
        float or None
            Factor by which to multiply all sums; None if it did not move.
        """
        if now_s - self._landmark_s < self.time_constant_s:
            return None
        factor = math.exp((self._landmark_s - now_s) / self.time_constant_s)
        self._landmark_s = now_s
        return factor
