"""Requests that may outlast their daemon: long, large, read slowly, ahead."""

import re

from soak import _callers

__all__ = ['LINKS_MBPS', 'LongCaller', 'ROUTES', 'read_work']

REPEATABLE_PATH = '/long/'
ONCE_PATH = '/long-once/'
#: Longer than the grace time of a daemon.
DEADLINE_MS = 8000
ROUTES = (
    {'prefix': REPEATABLE_PATH, 'timeout': '9000ms'},
    {'prefix': ONCE_PATH, 'timeout': '9000ms', 'kind': 'non_idempotent'},
)
#: Widths that daemons are told; below 200 they pace large answers.
LINKS_MBPS = (1000.0, 100.0, 20.0)
#: Shares of requests, and between what they are drawn: work that takes long,
#: answers that are large, and those that are read slowly.
WORK_SHARE, WORK_MS = 0.4, (300, 7500)
LARGE_SHARE, SIZE_BYTES = 0.6, (50_000, 500_000)
SLOW_SHARE, READ_BYTES_PER_S = 0.35, (150_000, 600_000)
SHORT_WORK_MS = 30
#: Share of requests with a second one behind, and the longest time between.
AHEAD_SHARE, BEHIND_S = 0.3, 0.4

_WORK = re.compile(r'\S+ /long(?:-once)?/(\d+)/(\d+)/ ')


def read_work(line: str, usual_s: float) -> tuple[float, int]:
    """Read from the first line of a request its work and size of answer."""
    found = _WORK.match(line)
    return (int(found[1]) / 1000, int(found[2])) if found else (usual_s, 0)


class LongCaller(_callers.Caller):
    """A caller whose requests may outlast its daemon."""

    #: It must see answers that come too late.
    patience_s = 14.0

    def _choose(self) -> list[_callers.CallRecord]:
        self.rate = self._draw(SLOW_SHARE, READ_BYTES_PER_S)
        self.behind_s = self._rng.uniform(0, BEHIND_S)
        records, reading_s = [], 0.0
        for number in range(1 + (self._rng.random() < AHEAD_SHARE)):
            is_once = self._rng.random() < _callers.ONCE_SHARE
            work_ms = self._draw(WORK_SHARE, WORK_MS, SHORT_WORK_MS)
            size_bytes = self._draw(LARGE_SHARE, SIZE_BYTES)
            reading_s += size_bytes / self.rate if self.rate else 0.0
            prefix = ONCE_PATH if is_once else REPEATABLE_PATH
            path = f'{prefix}{work_ms}/{size_bytes}/'
            record = self._make_record(number, is_once, path)
            record.deadline_ms, record.size_bytes = DEADLINE_MS, size_bytes
            record.reading_s = reading_s
            records.append(record)
        return records

    def _draw(self, share: float, bounds, other: int = 0) -> int:
        """Draw a number within bounds for a share, `other` for the rest."""
        value = self._rng.randint(*bounds)
        return value if self._rng.random() < share else other
