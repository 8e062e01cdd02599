"""One log line a second on what a gate did, and on answers that wait."""

import asyncio
import logging

import msgspec

from sedgering import base
from sedgering.mesh import _backlog
from sedgering.mesh import _gate

__all__ = ['GateLog']

LOG = logging.getLogger(__name__)

#: Between two lines: short enough to see a burst of some seconds.
INTERVAL_S = 1.0
#: Most routes named in one line, those with most calls first.
MOST_ROUTES = 8


class _Tally(msgspec.Struct):
    """What the gate did with the calls of one route since the last line."""

    admitted: int = 0
    refused: int = 0
    wait_ms: float = 0.0


class GateLog:
    """Counts what a gate does, and writes it down each second.

    Together with the lines on single requests it tells why callers were
    refused at a moment: how full the places were, how long calls waited,
    and how long the work of each route took.  Answers that wait for the link
    tell why calls seem slow whose work is done.
    """

    def __init__(self):
        self._tallies: dict[base.RouteName, _Tally] = {}

    def note_admitted(self, route: base.RouteName, wait_ms: float) -> None:
        """Count a call that got a place."""
        tally = self._find(route)
        tally.admitted += 1
        tally.wait_ms += wait_ms

    def note_refused(self, route: base.RouteName) -> None:
        """Count a call that was refused."""
        self._find(route).refused += 1

    def _find(self, route: base.RouteName) -> _Tally:
        tally = self._tallies.get(route)
        if tally is None:
            tally = self._tallies[route] = _Tally()
        return tally

    async def run(
        self, gate: _gate.Gate, backlog: _backlog.AnswerBacklog
    ) -> None:
        """Write a line each second in which calls came or answers wait."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            text = self.take_text(gate)
            answers = backlog.describe()
            if text or answers:
                LOG.info(
                    'gate',
                    extra={
                        'load': f'{gate.running}/{gate.limit}'
                        f'+{gate.waiting} {gate.work.mean_ms:.0f}ms',
                        'detail': text,
                        'answers': answers,
                    },
                )

    def take_text(self, gate: _gate.Gate) -> str:
        """Return what happened since the last call, and count anew."""
        tallies, self._tallies = self._tallies, {}
        busiest = sorted(
            tallies.items(),
            key=lambda item: item[1].admitted + item[1].refused,
            reverse=True,
        )
        return ', '.join(
            _describe(route, tally, gate)
            for route, tally in busiest[:MOST_ROUTES]
        )


def _describe(route: base.RouteName, tally: _Tally, gate: _gate.Gate) -> str:
    """Say what happened to the calls of one route."""
    wait_ms = tally.wait_ms / max(1, tally.admitted)
    work_ms = gate.work.find_mean_ms(route)
    return (
        f'{route}: {tally.admitted} admitted after {wait_ms:.0f} ms,'
        f' {tally.refused} refused, work {work_ms:.0f} ms'
    )
