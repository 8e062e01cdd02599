"""Retry times of refused callers, and detection of early retries."""

__all__ = ['REJECTED_AFTER_SHARES', 'RETRY_AFTER_SHARES', 'is_early_retry']

#: Bounds of the time after which a refused caller retries, as shares of the
#: time left to its deadline.  Callers honour up to a third; the spread keeps
#: callers that were refused together from retrying together.
RETRY_AFTER_SHARES = (0.12, 0.32)
#: The same for callers that are rejected at the source.  Their set has just
#: had no capacity for their rank, so a later retry is more likely to succeed.
REJECTED_AFTER_SHARES = (0.22, 0.33)
#: Share of its first timeout that a caller waits at the least when it retries
#: as it was told.  It is below the least of the shares above, which allows for
#: rounding of the times that are sent.
COMPLIANT_SHARE = 0.1


def is_early_retry(waited_ms: int, longest_ms: int) -> bool:
    """Return whether a caller retried sooner than it was told.

    Parameters
    ----------
    waited_ms : int
        Time since its first try, in milliseconds.
    longest_ms : int
        Timeout of its first try, in milliseconds.
    """
    return waited_ms < COMPLIANT_SHARE * longest_ms
