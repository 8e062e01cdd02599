"""Targets that answer, but much more slowly than their siblings."""

from collections.abc import Sequence
import statistics

from sedgering import membership
from sedgering.traffic import _load

__all__ = ['find_slow']

#: Answers before the latency of a target counts.
ANSWERS_NEEDED = 20
#: Multiple of the median of the target set that ejects.
SLOW_FACTOR = 4.0
#: Latency under which nobody is ejected, in milliseconds.
HARMLESS_MS = 50.0


def find_slow(
    endpoints: Sequence[membership.Endpoint],
    loads: _load.LoadTable,
    now_ms: int,
) -> list[membership.Endpoint]:
    """Find the targets of one set that are much slower than the others.

    Parameters
    ----------
    endpoints : sequence of Endpoint
        Of one target set.
    loads : LoadTable
        Moving averages of their latencies.
    now_ms : int
        Monotonic time in milliseconds.

    Returns
    -------
    list of Endpoint
        At most the slower half: the median is not among them.
    """
    known = [
        (loads.get(endpoint, now_ms).latency_ms, endpoint)
        for endpoint in endpoints
        if loads.get(endpoint, now_ms).answers >= ANSWERS_NEEDED
    ]
    if len(known) < 3:
        return []
    median_ms = statistics.median(latency for latency, _item in known)
    limit_ms = max(HARMLESS_MS, SLOW_FACTOR * median_ms)
    return [
        endpoint
        for latency_ms, endpoint in known
        if latency_ms > limit_ms and not loads.is_ejected(endpoint, now_ms)
    ]
