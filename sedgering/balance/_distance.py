"""Whether a call leaves its data centre."""

import msgspec

__all__ = ['Distance', 'Offer', 'make_distance']

BYTES_PER_KB = 1000
#: Most that is asked for, however large an answer is: a caller whose chance
#: nearly doubles elsewhere is served there.
MOST_GAIN_PERCENT = 40
#: Share of calls in time below which a goal is as good as missed: what
#: counts then is the time alone.
LEAST_HOPE = 0.05


class Offer(msgspec.Struct, frozen=True):
    """What a target offers to a call.

    Parameters
    ----------
    expected_ms : float
        Time until it is expected to have ended there.
    in_time_share : float
        Share of such calls that end in the time they have, 0 to 1.
    """

    expected_ms: float
    in_time_share: float


class Distance(msgspec.Struct, frozen=True):
    """By how much a target elsewhere must serve a call better.

    An answer that comes sooner than its caller wants it is worth no more,
    and the links between data centres are shared.  So the shares of calls in
    time are compared, not times.

    Parameters
    ----------
    gain_share : float
        More such calls that must end in time, 0 to 1.
    quicker_ms : float
        Where that says nothing, by how much the call must end sooner.
    """

    gain_share: float
    quicker_ms: float

    def is_worth_asking(self, near: Offer) -> bool:
        """Say whether any target elsewhere could serve the call better."""
        return near.in_time_share + self.gain_share < 1

    def prefers_far(self, near: Offer, far: Offer) -> bool:
        """Say whether the call goes to the target elsewhere.

        Parameters
        ----------
        near : Offer
            Of the best target of the own data centre.
        far : Offer
            Of the best one elsewhere.
        """
        gain = far.in_time_share - near.in_time_share
        if gain > self.gain_share:
            return True
        if far.in_time_share >= LEAST_HOPE:
            return False
        return far.expected_ms + self.quicker_ms < near.expected_ms


def make_distance(
    gain_percent: float,
    gain_percent_per_kb: float,
    size_bytes: float,
    quicker_ms: float,
) -> Distance:
    """Make the terms on which a call leaves its data centre.

    Parameters
    ----------
    gain_percent, gain_percent_per_kb : float
        More calls in time that are asked for, for any call and for each
        kilobyte of it and of its answer.
    size_bytes : float
        Of the call and its usual answer.
    quicker_ms : float
        See :class:`Distance`.
    """
    gain_percent += gain_percent_per_kb * size_bytes / BYTES_PER_KB
    return Distance(min(gain_percent, MOST_GAIN_PERCENT) / 100, quicker_ms)
