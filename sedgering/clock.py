"""Monotonic and wall-clock time.

Systems don't read the clocks; they get the time as an argument.
"""

import time

__all__ = ['monotonic_ms', 'wall_ms']

_NS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return monotonic time in milliseconds, for all decisions.

    It advances while the host is suspended, as the time of the callers
    does.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


def wall_ms() -> int:
    """Return wall-clock time in milliseconds, for records that people read."""
    return time.time_ns() // _NS_PER_MS
