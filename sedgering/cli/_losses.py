"""Report on lost requests from the logs of the daemons."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import enum
import re

import msgspec

from sedgering import exceptions
from sedgering import mesh

__all__ = [
    'Hop',
    'LossReport',
    'LossRow',
    'TimeRange',
    'format_loss_report',
    'make_loss_report',
]

#: Prefix of a line in a log collected from several daemons: a time in seconds
#: since an origin common to all of them, then the host.
_TIME_PREFIX = re.compile(r'\s*(-?\d+(?:\.\d+)?)\s')
#: Log messages about requests that a daemon answered instead of a target.
_REFUSED_MESSAGES = frozenset(
    ('request refused', 'request rejected at the source')
)
_ANSWERED_MESSAGE = 'request answered'
#: Lowest HTTP status of a target that counts as a lost request.
MIN_FAILURE_STATUS = 500
#: Reason reported for a request that ended while attempts still awaited an
#: answer, so that a target may have been running it.
AWAITED_REASON = 'awaited'
_HEADER = (
    f'{"from s":>8} {"lost":>6} {"code":>10} {"tries":>5} {"hop":8}'
    f' {"reason":16} route'
)

_Reason = mesh.RefusalReason


class Hop(enum.Enum):
    """Where a request was lost."""

    #: At the daemon of its caller, which made no attempt.
    CALLER = 'caller'
    #: On the network between the two daemons.
    NETWORK = 'way'
    #: At the daemon on the host of a target.
    TARGET_DAEMON = 'gate'
    #: At a target.
    TARGET = 'target'


_NETWORK_REASONS = frozenset(
    (_Reason.UNREACHABLE.value, _Reason.CONNECTION_LOST.value)
)
_TARGET_REASONS = frozenset(
    (_Reason.TARGET_REFUSED.value, _Reason.DAMAGED.value, AWAITED_REASON)
)


class LossRow(msgspec.Struct, frozen=True, order=True):
    """Number of lost requests that agree in all other fields.

    Parameters
    ----------
    from_s : float
        Start of the time window in which the requests ended, in seconds.
    route : str
        Name of the route that they matched; empty if none.
    code : str
        Error code of the daemon, or HTTP status of the target.
    reason : str
        Last refusal reason that the caller's daemon received; `awaited` if
        attempts were still awaiting an answer.
    attempts : int
        Number of hosts asked for each request.
    hop : str
        Where they were lost: a value of :class:`Hop`.
    requests : int
        Number of requests.
    """

    from_s: float
    route: str
    code: str
    reason: str
    attempts: int
    hop: str
    requests: int


class LossReport(msgspec.Struct, frozen=True):
    """Requests lost in a time range.

    Parameters
    ----------
    rows : list of LossRow
        Sorted by window, then by descending number of requests.
    requests : int
        Total number of lost requests.
    dropped_lines : int
        Number of log lines that daemons dropped over their rate limit; each
        may have recorded a loss.
    """

    rows: list[LossRow]
    requests: int
    dropped_lines: int


class TimeRange(msgspec.Struct, frozen=True):
    """Time range of a report.

    Parameters
    ----------
    from_s, until_s : float
        Start (inclusive) and end (exclusive), in seconds.
    window_s : float
        Length of the time windows of the report, in seconds.
    """

    from_s: float = float('-inf')
    until_s: float = float('inf')
    window_s: float = 5.0

    def compute_window_start_s(self, at_s: float) -> float | None:
        """Return the start of the window of a time; None if out of range."""
        if not self.from_s <= at_s < self.until_s:
            return None
        return at_s // self.window_s * self.window_s


def make_loss_report(
    lines: Iterable[str], time_range: TimeRange
) -> LossReport:
    """Make the report on a time range.

    Parameters
    ----------
    lines : iterable of str
        Log lines of daemons, in any order; other lines are skipped.  For
        lines without a time prefix, seconds count from the first such line.
    time_range : TimeRange
        Time range and length of the windows.

    Raises
    ------
    SettingsError
        If the length of the windows is not positive.
    """
    if time_range.window_s <= 0:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_RANGE,
            f'window of {time_range.window_s} s is not positive',
        )
    counts: collections.Counter[tuple] = collections.Counter()
    dropped_lines = 0
    for at_s, fields in _decode_lines(lines):
        from_s = time_range.compute_window_start_s(at_s)
        if from_s is None:
            continue
        dropped_lines += fields.get('dropped_lines', 0)
        loss = _classify_line(fields)
        if loss is not None:
            counts[from_s, *loss] += 1
    rows = [LossRow(*key, count) for key, count in counts.items()]
    rows.sort(key=lambda row: (row.from_s, -row.requests, row))
    return LossReport(rows, counts.total(), dropped_lines)


def format_loss_report(report: LossReport) -> Iterator[str]:
    """Format a report as a table with a line of totals."""
    yield _HEADER
    for row in report.rows:
        yield (
            f'{row.from_s:8.1f} {row.requests:6} {row.code:>10}'
            f' {row.attempts:5} {row.hop:8} {row.reason or "-":16}'
            f' {row.route or "-"}'
        )
    yield (
        f'{report.requests} requests lost, {report.dropped_lines} log lines'
        ' dropped'
    )


def _decode_lines(lines: Iterable[str]) -> Iterator[tuple[float, dict]]:
    """Yield the time in seconds and the fields of each daemon log line."""
    first_written_at: datetime.datetime | None = None
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
            written_at = datetime.datetime.fromisoformat(fields['time'])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            # Written by another program, or truncated.
            continue
        time_prefix = _TIME_PREFIX.match(line[:start])
        if time_prefix is not None:
            yield float(time_prefix[1]), fields
            continue
        first_written_at = first_written_at or written_at
        yield (written_at - first_written_at).total_seconds(), fields


def _classify_line(fields: dict) -> tuple | None:
    """Return the fields of the loss row of a log line, or None.

    The fields are route, code, reason, number of attempts and hop.
    """
    message = fields.get('message')
    route = fields.get('route', '')
    if message == _ANSWERED_MESSAGE:
        status = fields.get('status', 0)
        if status < MIN_FAILURE_STATUS:
            return None
        return route, f'status {status}', '', 1, Hop.TARGET.value
    if message not in _REFUSED_MESSAGES:
        return None
    attempts = len(fields.get('asked', ()))
    reason = (
        AWAITED_REASON if fields.get('attempts') else fields.get('reason', '')
    )
    hop = _choose_hop(attempts, reason)
    return route, f'SDG-{fields["code"]}', reason, attempts, hop.value


def _choose_hop(attempts: int, reason: str) -> Hop:
    if not attempts:
        return Hop.CALLER
    if reason in _NETWORK_REASONS:
        return Hop.NETWORK
    return Hop.TARGET if reason in _TARGET_REASONS else Hop.TARGET_DAEMON
