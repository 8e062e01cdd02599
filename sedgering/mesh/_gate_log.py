"""Logs once a second what the gate did, and which answers are delayed."""

import asyncio
import logging

import msgspec

from sedgering import base
from sedgering.mesh import _backlog
from sedgering.mesh import _gate

__all__ = ['GateLog']

LOG = logging.getLogger(__name__)

#: Time between two lines, short enough to show a burst of a few seconds.
INTERVAL_S = 1.0
#: Maximum number of routes in one line; the busiest are named.
MAX_ROUTES = 8


class _RouteCounts(msgspec.Struct):
    """Counters of one route since the last line."""

    admitted: int = 0
    refused: int = 0
    wait_ms: float = 0.0


class GateLog:
    """Counts admitted and refused calls and logs them each second.

    Together with the log lines of single requests, its lines show why callers
    were refused at a moment: how many slots were in use, how long calls were
    queued, and how long the work of each route took.  Answers that wait for
    the link explain calls that seem slow although their work is done.
    """

    def __init__(self):
        self._counts: dict[base.RouteName, _RouteCounts] = {}

    def count_admitted(self, route: base.RouteName, wait_ms: float) -> None:
        """Count a call that was admitted after `wait_ms` in the queue."""
        counts = self._find_counts(route)
        counts.admitted += 1
        counts.wait_ms += wait_ms

    def count_refused(self, route: base.RouteName) -> None:
        """Count a call that was refused."""
        self._find_counts(route).refused += 1

    def _find_counts(self, route: base.RouteName) -> _RouteCounts:
        counts = self._counts.get(route)
        if counts is None:
            counts = self._counts[route] = _RouteCounts()
        return counts

    async def run(
        self, gate: _gate.Gate, backlog: _backlog.AnswerBacklog
    ) -> None:
        """Log a line each second in which calls arrive or answers wait."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            text = self.take_summary(gate)
            answers = backlog.describe()
            if text or answers:
                LOG.info(
                    'gate',
                    extra={
                        'load': f'{gate.running}/{gate.limit}'
                        f'+{gate.waiting} {gate.work.mean_ms:.0f}ms',
                        'limit_per_s': gate.rate_limit_per_s,
                        'detail': text,
                        'answers': answers,
                    },
                )

    def take_summary(self, gate: _gate.Gate) -> str:
        """Return a summary of the counters and reset them."""
        counts_by_route, self._counts = self._counts, {}
        busiest = sorted(
            counts_by_route.items(),
            key=lambda item: item[1].admitted + item[1].refused,
            reverse=True,
        )
        return ', '.join(
            _describe(route, counts, gate)
            for route, counts in busiest[:MAX_ROUTES]
        )


def _describe(
    route: base.RouteName, counts: _RouteCounts, gate: _gate.Gate
) -> str:
    """Describe what happened to the calls of one route."""
    wait_ms = counts.wait_ms / max(1, counts.admitted)
    work_ms = gate.work.find_mean_ms(route)
    return (
        f'{route}: {counts.admitted} admitted after {wait_ms:.0f} ms,'
        f' {counts.refused} refused, work {work_ms:.0f} ms'
    )
