"""Requests that may outlast their daemon.

They have long work or large answers, are read slowly, or are pipelined.
"""

import re

from soak import _callers

__all__ = ['LINK_RATES_MBPS', 'LongCaller', 'ROUTES', 'decode_work']

REPEATABLE_PATH = '/long/'
ONCE_PATH = '/long-once/'
#: Longer than the grace time of a daemon, so that work can outlast it.
DEADLINE_MS = 8000
TIMEOUT_S = 9.0
ROUTES = (
    {'prefix': REPEATABLE_PATH, 'timeout': f'{TIMEOUT_S}s'},
    {
        'prefix': ONCE_PATH,
        'timeout': f'{TIMEOUT_S}s',
        'kind': 'non_idempotent',
    },
)
#: Link capacities in the settings of daemons; below 200 Mbit/s they pace
#: large answers.
LINK_RATES_MBPS = (1000.0, 100.0, 20.0)
#: Shares of requests with long work, large answers and slow reading, and the
#: ranges from which work time, size and reading rate are drawn.
WORK_SHARE, WORK_MS = 0.4, (300, 7500)
LARGE_SHARE, SIZE_BYTES = 0.6, (50_000, 500_000)
SLOW_SHARE, READ_BYTES_PER_S = 0.35, (150_000, 600_000)
SHORT_WORK_MS = 30
#: Share of requests with a second one pipelined after them, and the greatest
#: delay of the second one.
PIPELINED_SHARE, MAX_PIPELINE_DELAY_S = 0.3, 0.4

_WORK = re.compile(r'\S+ /[\w-]+/(\d+)/(\d+)/ ')


def decode_work(request_line: str, default_s: float) -> tuple[float, int]:
    """Decode work time in seconds and answer size in bytes from a request.

    The request line of other requests gives `default_s` and 0.
    """
    match = _WORK.match(request_line)
    return (int(match[1]) / 1000, int(match[2])) if match else (default_s, 0)


class LongCaller(_callers.Caller):
    """Caller whose requests may outlast the daemon."""

    #: Long enough to receive answers that are overdue.
    receive_timeout_s = 14.0

    def _choose_requests(self) -> list[_callers.CallRecord]:
        self.read_bytes_per_s = self._draw(SLOW_SHARE, READ_BYTES_PER_S)
        self.pipeline_delay_s = self._rng.uniform(0, MAX_PIPELINE_DELAY_S)
        records, reading_s = [], 0.0
        for number in range(1 + (self._rng.random() < PIPELINED_SHARE)):
            is_once = self._rng.random() < _callers.ONCE_SHARE
            work_ms = self._draw(WORK_SHARE, WORK_MS, SHORT_WORK_MS)
            size_bytes = self._draw(LARGE_SHARE, SIZE_BYTES)
            reading_s += (
                size_bytes / self.read_bytes_per_s
                if self.read_bytes_per_s
                else 0.0
            )
            prefix = ONCE_PATH if is_once else REPEATABLE_PATH
            path = f'{prefix}{work_ms}/{size_bytes}/'
            record = self._make_record(number, is_once, path)
            record.deadline_ms, record.size_bytes = DEADLINE_MS, size_bytes
            record.reading_s = reading_s
            record.timeout_s = TIMEOUT_S
            records.append(record)
        return records

    def _draw(self, share: float, bounds, default: int = 0) -> int:
        """Draw a number within bounds, kept with probability `share`.

        Otherwise `default` is returned; both draws always take place.
        """
        value = self._rng.randint(*bounds)
        return value if self._rng.random() < share else default
