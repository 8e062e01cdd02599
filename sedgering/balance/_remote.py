"""Decides whether a call is sent to another data centre."""

import msgspec

__all__ = ['Offer', 'RemoteThreshold', 'make_distance']

BYTES_PER_KB = 1000
#: Upper bound of the required gain, whatever the size of the answer: a call
#: whose chance to end in time nearly doubles in another data centre is sent
#: there.
MAX_GAIN_PERCENT = 40
#: Share of calls that end in time below which the latency goal counts as
#: missed; then only the expected times are compared.
MIN_IN_TIME_SHARE = 0.05


class Offer(msgspec.Struct, frozen=True):
    """Expected outcome of a call at a target.

    Parameters
    ----------
    expected_ms : float
        Time until the call is expected to have ended there.
    in_time_share : float
        Share of such calls that end in the time that is left, 0 to 1.
    """

    expected_ms: float
    in_time_share: float


class RemoteThreshold(msgspec.Struct, frozen=True):
    """By how much a target in another data centre must serve a call better.

    An answer that comes well before its latency goal is worth no more than
    one just in time, and the links between data centres are shared.  So the
    shares of calls that end in time are compared, not the times.

    Parameters
    ----------
    min_gain_share : float
        By how much the share of calls that end in time must rise, 0 to 1.
    min_saved_ms : float
        By how much sooner the call must end, in milliseconds; used when hardly
        any calls end in time.
    """

    min_gain_share: float
    min_saved_ms: float

    def is_worth_asking(self, near: Offer) -> bool:
        """Whether a target elsewhere could reach the required gain."""
        return near.in_time_share + self.min_gain_share < 1

    def prefers_far(self, near: Offer, far: Offer) -> bool:
        """Whether the call goes to the target in another data centre.

        Parameters
        ----------
        near : Offer
            Offer of the best target in the caller's data centre.
        far : Offer
            Offer of the best target in another data centre.
        """
        gain = far.in_time_share - near.in_time_share
        if gain > self.min_gain_share:
            return True
        if far.in_time_share >= MIN_IN_TIME_SHARE:
            return False
        return far.expected_ms + self.min_saved_ms < near.expected_ms


def make_distance(
    gain_percent: float,
    gain_percent_per_kb: float,
    size_bytes: float,
    min_saved_ms: float,
) -> RemoteThreshold:
    """Make the threshold at which a call leaves its data centre.

    Parameters
    ----------
    gain_percent, gain_percent_per_kb : float
        Required rise of the percentage of calls that end in time: for any
        call, and in addition for each kilobyte of the call and its answer.
    size_bytes : float
        Total size of the call and its usual answer.
    min_saved_ms : float
        See :class:`RemoteThreshold`.
    """
    gain_percent += gain_percent_per_kb * size_bytes / BYTES_PER_KB
    return RemoteThreshold(
        min(gain_percent, MAX_GAIN_PERCENT) / 100, min_saved_ms
    )
