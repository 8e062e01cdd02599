"""What the connections of one listener hold, for logs and metrics."""

import math

import msgspec

__all__ = ['ServiceLoad']


class ServiceLoad(msgspec.Struct):
    """Requests without an answer, and answers that have not arrived.

    Parameters
    ----------
    requests : int
        Read, and not answered yet.
    answers : int
        Ready, and not acknowledged whole; those that were handed to one
        connection together count as one.
    held_answers, held_bytes : int
        Of these, what this process holds: behind earlier answers of their
        connection, in pieces, or in the buffer before a socket that takes no
        more.  It is lost with the process.
    unacknowledged_bytes : int
        Of these, what the kernel holds and the hosts of the readers have not
        acknowledged.
    oldest_s : float
        Time of the event loop since which the oldest of all waits; a written
        answer counts from then on.  Infinite when there is none.
    """

    requests: int = 0
    answers: int = 0
    held_answers: int = 0
    held_bytes: int = 0
    unacknowledged_bytes: int = 0
    oldest_s: float = math.inf

    def find_age_ms(self, now_s: float) -> int:
        """Return for how long the oldest has waited."""
        return max(0, int((now_s - min(now_s, self.oldest_s)) * 1000))
