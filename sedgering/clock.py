"""The two clocks; systems are handed the time and read neither."""

import time

__all__ = ['monotonic_ms', 'wall_ms']

_NS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return monotonic time in milliseconds; every decision rests on it.

    It goes on while the host is suspended, as the time of callers does.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


def wall_ms() -> int:
    """Return wall-clock time in milliseconds, for records to read."""
    return time.time_ns() // _NS_PER_MS
