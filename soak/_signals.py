"""Rate limits and departures that targets state, and whether they are kept."""

from collections.abc import Callable
from collections.abc import Iterator
import math
import random

import msgspec

from sedgering import platform

__all__ = [
    'SignalLedger',
    'check_leaving',
    'check_limits',
    'choose_limits',
    'is_limit',
    'make_limit_fields',
]

LIMIT_FIELD = platform.HEADERS.rate_limit
#: A limit binds this long after the target began to state one.
SETTLE_S = 3.0
#: A host that passed on an answer with a limit is bound this much later.
TOLD_S = 0.5
#: Most requests in a window: this factor of what the limit allows, and more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
#: Range of stated limits, and shares of limits of 0, of limits that change,
#: and of values that are malformed.
LIMITS_PER_S = (0.2, 12.0)
ZERO_SHARE, CHANGE_SHARE, MALFORMED_SHARE = 0.1, 0.4, 0.2
MALFORMED = ('-3', '1e9', 'many', '', '4, 5')

#: Name of one lifetime of a target.
Label = str


class _Statement(msgspec.Struct, frozen=True):
    """Limit that a target states from a time on; None for none."""

    at_s: float
    per_s: float | None


class _Told(msgspec.Struct, frozen=True):
    """What the answer to a request stated."""

    label: Label
    is_limited: bool
    is_leaving: bool


class SignalLedger:
    """What targets stated, and which requests reached them.

    Attributes
    ----------
    arrivals : dict
        Time and id of each request that reached a target, by lifetime.
    statements : dict
        Limits in the order in which they were stated, by lifetime.
    told : dict
        What the answers to a request stated, by request id.
    """

    def __init__(self):
        self.arrivals: dict[Label, list[tuple[float, str]]] = {}
        self.statements: dict[Label, list[_Statement]] = {}
        self.told: dict[str, list[_Told]] = {}

    def state_limit(self, label: Label, field: str | None, at_s: float):
        """Record that a target states a limit; None when it ends.

        A malformed value says nothing, so that the one before it holds.
        """
        if field in MALFORMED:
            return
        per_s = None if field is None else float(field)
        self.statements.setdefault(label, []).append(_Statement(at_s, per_s))

    def record_answer(
        self, request_id: str, label: Label, is_limited: bool, is_leaving: bool
    ) -> None:
        """Record what the answer to a request states."""
        told = _Told(label, is_limited, is_leaving)
        self.told.setdefault(request_id, []).append(told)


def choose_limits(rng: random.Random) -> str:
    """Choose one or two limits, of which the second replaces the first."""
    fields = [_choose_limit(rng)]
    if rng.random() < CHANGE_SHARE:
        fields.append(_choose_limit(rng))
    if rng.random() < MALFORMED_SHARE:
        fields.append(rng.choice(MALFORMED))
    return '|'.join(fields)


def _choose_limit(rng: random.Random) -> str:
    low, high = map(math.log, LIMITS_PER_S)
    per_s = math.exp(rng.uniform(low, high))
    return '0' if rng.random() < ZERO_SHARE else f'{per_s:.2f}'


def make_limit_fields(field: str | None) -> list[tuple[str, str]]:
    """Return the header fields that state a limit."""
    return [] if field is None else [(LIMIT_FIELD, field)]


def is_limit(fields: list[tuple[str, str]]) -> bool:
    """Return whether header fields state a limit that is not malformed."""
    return any(value not in MALFORMED for _name, value in fields)


def _find_told(ledger: SignalLedger, records, is_wanted) -> dict:
    """Return when each host first passed on an answer, by host and lifetime.

    Only answers count that certainly come from one lifetime.
    """
    times_s = {}
    for record in records:
        told = ledger.told.get(record.request_id, ())
        if record.status != 200 or len(told) != 1 or not is_wanted(told[0]):
            continue
        key = record.host, told[0].label
        times_s[key] = min(times_s.get(key, math.inf), record.done_s)
    return times_s


def check_leaving(
    ledger: SignalLedger,
    records,
    drain_s: float,
    is_excused: Callable[[str, float, float], bool],
) -> Iterator[str]:
    """Check that who was told that a target is leaving sends nothing more.

    Parameters
    ----------
    ledger : SignalLedger
        What targets stated.
    records : list of CallRecord
        Requests of all callers.
    drain_s : float
        Time after which requests must not reach the target.
    is_excused : callable
        Whether a fault halted a host in a period.
    """
    told_s = _find_told(ledger, records, lambda told: told.is_leaving)
    by_id = {record.request_id: record for record in records}
    for label, arrivals in ledger.arrivals.items():
        for at_s, request_id in arrivals:
            record = by_id.get(request_id)
            if record is None or (record.host, label) not in told_s:
                continue
            since_s = told_s[record.host, label]
            late_s = record.sent_s - since_s
            if late_s > drain_s and not is_excused(record.host, since_s, at_s):
                yield (
                    f'{request_id} reached {label}, {late_s:.2f} s after its '
                    'host had passed on that it is leaving'
                )


def check_limits(
    ledger: SignalLedger,
    records,
    is_excused: Callable[[str, float, float], bool],
) -> Iterator[str]:
    """Check that targets got no more than their limits from who was told."""
    hosts = {record.request_id: record.host for record in records}
    told_s = _find_told(ledger, records, lambda told: told.is_limited)
    for label, statements in ledger.statements.items():
        for since_s, until_s in _list_periods(statements):
            times_s = [
                at_s
                for at_s, request_id in ledger.arrivals.get(label, ())
                if since_s + SETTLE_S <= at_s < until_s
                and _is_bound(told_s, hosts, label, request_id, since_s, at_s)
                and not is_excused(hosts[request_id], since_s, at_s)
            ]
            yield from _check_windows(label, times_s, statements)


def _is_bound(told_s, hosts, label, request_id, since_s, at_s) -> bool:
    host = hosts.get(request_id)
    heard_s = told_s.get((host, label), math.inf)
    return max(since_s, heard_s) + TOLD_S <= at_s


def _list_periods(statements) -> Iterator[tuple[float, float]]:
    """Return the periods in which a target stated any limit."""
    since_s = None
    for statement in statements:
        if statement.per_s is None:
            if since_s is not None:
                yield since_s, statement.at_s
            since_s = None
        elif since_s is None:
            since_s = statement.at_s
    if since_s is not None:
        yield since_s, math.inf


def _check_windows(label, times_s, statements) -> Iterator[str]:
    """Return the worst window in which a target got too much."""
    worst = max(
        (
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
                - _find_allowed(statements, start_s),
                start_s,
            )
            for start_s in times_s
        ),
        default=(0.0, 0.0),
    )
    if worst[0] > 0:
        yield (
            f'{label} got {worst[0]:.1f} requests more than its limit allows '
            f'in {WINDOW_S:g} s'
        )


def _find_allowed(statements, start_s: float) -> float:
    """Return the most requests that are allowed in a window."""
    end_s = start_s + WINDOW_S
    allowed = 0.0
    for number, statement in enumerate(statements):
        later = statements[number + 1 : number + 2]
        until_s = min(end_s, later[0].at_s if later else math.inf)
        per_s = statement.per_s
        if per_s is None:
            # After the period the limit before counts on.
            per_s = statements[number - 1].per_s or 0.0 if number else 0.0
        allowed += per_s * max(0.0, until_s - max(start_s, statement.at_s))
    return ALLOWED_FACTOR * allowed + ALLOWED_EXTRA
