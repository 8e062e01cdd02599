"""Pending requests and responses of one listener, for logs and metrics."""

import math

import msgspec

__all__ = ['ServiceLoad']


class ServiceLoad(msgspec.Struct):
    """Requests without a response, and responses not yet acknowledged.

    Parameters
    ----------
    requests : int
        Requests that are read and not answered yet.
    answers : int
        Responses that are ready and not acknowledged completely.  Those that
        were written to the buffer of one connection count as one.
    held_answers, held_bytes : int
        Number and size of the responses that this process still holds: they
        wait for an earlier response of their connection, are written in
        pieces, or are in the write buffer of a socket that accepts no more
        data.  They are lost when the process ends.
    unacknowledged_bytes : int
        Response data in the kernel that the hosts of the callers have not
        acknowledged.
    oldest_since_s : float
        Time of the event loop since which the oldest of all waits: for a
        request, its arrival; for a written response, the last activity of
        its connection.  Infinite when there is none.
    """

    requests: int = 0
    answers: int = 0
    held_answers: int = 0
    held_bytes: int = 0
    unacknowledged_bytes: int = 0
    oldest_since_s: float = math.inf

    def find_age_ms(self, now_s: float) -> int:
        """Return how long the oldest has waited, in milliseconds."""
        return max(0, int((now_s - min(now_s, self.oldest_since_s)) * 1000))
