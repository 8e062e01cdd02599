"""Tells from the daemons' logs where requests were lost."""

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
    'Span',
    'make_loss_report',
    'show_losses',
]

#: Time and host before the line of a daemon, where its log is kept with those
#: of others; the time is in seconds from a moment that all share.
_STAMP = re.compile(r'\s*(-?\d+(?:\.\d+)?)\s')
#: Lines of an answer that is not that of a target.
_REFUSED_MESSAGES = frozenset(
    ('request refused', 'request rejected at the source')
)
_ANSWERED_MESSAGE = 'request answered'
#: Statuses from which on an answer of a target counts as lost.
FAILED_FROM = 500
#: Requests that may be under way as they end are told so by this mark.
AWAITED = 'awaited'
_COLUMNS = (
    f'{"from s":>8} {"lost":>6} {"code":>10} {"tries":>5} {"hop":8}'
    f' {"reason":16} route'
)

_Reason = mesh.RefusalReason


class Hop(enum.Enum):
    """Where a request was when it was lost."""

    #: At the daemon of its caller, which asked nobody.
    CALLER = 'caller'
    #: Between the two daemons.
    WAY = 'way'
    #: At the daemon beside a target.
    GATE = 'gate'
    #: At a target.
    TARGET = 'target'


_WAY_REASONS = frozenset(
    (_Reason.UNREACHABLE.value, _Reason.CONNECTION_LOST.value)
)
_TARGET_REASONS = frozenset(
    (_Reason.TARGET_REFUSED.value, _Reason.DAMAGED.value, AWAITED)
)


class LossRow(msgspec.Struct, frozen=True, order=True):
    """Requests that were lost alike.

    Parameters
    ----------
    from_s : float
        Start of the time window in which they ended.
    route : str
        That they matched; empty where they matched none.
    code : str
        Numbered code of the daemon, or status of the target.
    reason : str
        Last reason that a daemon was told; `awaited` where an answer was.
    attempts : int
        Hosts asked.
    hop : Hop
        Where they were lost.
    requests : int
        How many.
    """

    from_s: float
    route: str
    code: str
    reason: str
    attempts: int
    hop: str
    requests: int


class LossReport(msgspec.Struct, frozen=True):
    """What was lost in a span of time.

    Parameters
    ----------
    rows : list of LossRow
        By window, then most requests first.
    requests : int
        All of them.
    dropped_lines : int
        Lines that the daemons had no room for; each may have been a loss.
    """

    rows: list[LossRow]
    requests: int
    dropped_lines: int


class Span(msgspec.Struct, frozen=True):
    """The time that is looked at.

    Parameters
    ----------
    from_s, until_s : float
        First moment, and the one that is left out.
    window_s : float
        Length of the windows into which it is cut.
    """

    from_s: float = float('-inf')
    until_s: float = float('inf')
    window_s: float = 5.0

    def find_window_s(self, at_s: float) -> float | None:
        """Return the start of a moment's window; None outside the span."""
        if not self.from_s <= at_s < self.until_s:
            return None
        return at_s // self.window_s * self.window_s


def make_loss_report(lines: Iterable[str], span: Span) -> LossReport:
    """Make the report of a span.

    Parameters
    ----------
    lines : iterable of str
        Of daemons, in any order; other ones are left out.  Without a time
        before them, seconds count from the first line.
    span : Span
        That is looked at.

    Raises
    ------
    SettingsError
        When windows have no length.
    """
    if span.window_s <= 0:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_RANGE, f'window of {span.window_s} s'
        )
    counts: collections.Counter[tuple] = collections.Counter()
    dropped_lines = 0
    for at_s, fields in _read_lines(lines):
        from_s = span.find_window_s(at_s)
        if from_s is None:
            continue
        dropped_lines += fields.get('dropped_lines', 0)
        loss = _find_loss(fields)
        if loss is not None:
            counts[from_s, *loss] += 1
    rows = [LossRow(*key, count) for key, count in counts.items()]
    rows.sort(key=lambda row: (row.from_s, -row.requests, row))
    return LossReport(rows, counts.total(), dropped_lines)


def show_losses(report: LossReport) -> Iterator[str]:
    """Make the lines that operators read."""
    yield _COLUMNS
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


def _read_lines(lines: Iterable[str]) -> Iterator[tuple[float, dict]]:
    """Yield the time and the fields of each line of a daemon."""
    first: datetime.datetime | None = None
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
            moment = datetime.datetime.fromisoformat(fields['time'])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            # Of another program, or cut.
            continue
        stamp = _STAMP.match(line[:start])
        if stamp is not None:
            yield float(stamp[1]), fields
            continue
        first = first or moment
        yield (moment - first).total_seconds(), fields


def _find_loss(fields: dict) -> tuple | None:
    """Return route, code, reason, attempts and hop of a line's loss."""
    message = fields.get('message')
    route = fields.get('route', '')
    if message == _ANSWERED_MESSAGE:
        status = fields.get('status', 0)
        if status < FAILED_FROM:
            return None
        return route, f'status {status}', '', 1, Hop.TARGET.value
    if message not in _REFUSED_MESSAGES:
        return None
    attempts = len(fields.get('asked', ()))
    reason = AWAITED if fields.get('attempts') else fields.get('reason', '')
    hop = _find_hop(attempts, reason)
    return route, f'SDG-{fields["code"]}', reason, attempts, hop.value


def _find_hop(attempts: int, reason: str) -> Hop:
    if not attempts:
        return Hop.CALLER
    if reason in _WAY_REASONS:
        return Hop.WAY
    return Hop.TARGET if reason in _TARGET_REASONS else Hop.GATE
