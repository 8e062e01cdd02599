"""When refused callers come back, and who of them keeps to it."""

__all__ = ['REJECTED_AFTER_SHARES', 'RETRY_AFTER_SHARES', 'is_hasty']

#: Bounds of the time after which a refused caller returns, as shares of the
#: time that it has left.  Callers honour a third; the spread keeps those
#: that were refused together from returning together.
RETRY_AFTER_SHARES = (0.12, 0.32)
#: The same for who is rejected at the source: its set has just been seen to
#: have no room for its rank, and who returns later finds some sooner.
REJECTED_AFTER_SHARES = (0.22, 0.33)
#: Share of its first time that a caller has waited at the least that came
#: back as it was told; below the least share, for rounding on its way.
KEPT_SHARE = 0.1


def is_hasty(waited_ms: int, longest_ms: int) -> bool:
    """Tell a caller that came back sooner than it was told.

    Parameters
    ----------
    waited_ms : int
        Time since its first try.
    longest_ms : int
        Time that it had then.
    """
    return waited_ms < KEPT_SHARE * longest_ms
