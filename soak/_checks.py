"""Checks the guarantees against what callers and targets recorded."""

from collections.abc import Iterator

from sedgering import testing
from sedgering.testing import judges
from soak import _callers
from soak import _crash_requests
from soak import _daemons
from soak import _faults
from soak import _rollouts
from soak import _signals
from soak import _trial
from soak import _world

__all__ = ['check_guarantees']

#: Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Statuses that a valid request to an existing route must not get.
REJECTED_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
STATUS_OK = 200
#: Returned for a key that belongs to no workspace.
STATUS_UNAUTHORIZED = 401
#: Returned when a request may have run but no complete answer arrived.
STATUS_BAD_GATEWAY = 502
#: A request is overdue this long after its deadline; the margin allows for
#: delays on a loaded machine.
OVERDUE_S = 2.5
#: A fault explains failures until this long after its end, as documented.
AFTEREFFECT_S = 3.0
#: A request sent within this time after SIGTERM is answered if it runs.
ACCEPTED_AFTER_SIGTERM_S = 3.0
#: An answer that is still being read, or that a target gives, may be cut off
#: in this last part of the grace time: the daemon reserves a margin and
#: sends its last answers.
GRACE_MARGIN_S = 0.6
#: Faults of a host after which it need not know what a target stated to it.
EXCUSING_KINDS = testing.HALTING_KINDS | {_faults.FaultKind.TERMINATE}


def check_guarantees(world: _world.World) -> list[str]:
    """Return a line for each violated guarantee."""
    records = world.list_records()
    return [
        *_check_runs(world, records),
        *_check_keys(world, records),
        *_check_quarantine(world),
        *_check_signals(world, records),
        *_rollouts.check_rollout(
            world.rollout, world.ledger.version_runs_s, world.disturbances
        ),
        *(
            violation
            for record in records
            for violation in _check_answer(world, record)
        ),
        *(
            violation
            for probe in world.probes
            for violation in probe.regressions
        ),
        *_check_targets(world),
        *world.bad_exits,
        *(kill for watch in world.watches for kill in watch.kills),
        *map(str, judges.judge_trial(_trial.make_trial(world, records))),
        *_check_recovery(world, records),
    ]


def _check_runs(world, records) -> Iterator[str]:
    once_ids = {record.request_id for record in records if record.is_once}
    known_ids = {
        record.request_id for record in records
    } | world.crash_caller.ids
    for request_id, times in world.ledger.runs.items():
        if request_id in once_ids and len(times) > 1:
            yield f'{request_id} may run once, but ran {len(times)} times'
        if request_id not in known_ids and '-p' not in request_id:
            yield f'{request_id} ran, but no caller sent it'


def _check_keys(world, records) -> Iterator[str]:
    """Check the workspaces that targets saw, and that they saw no keys."""
    ledger = world.ledger
    for request_id in ledger.keys_seen:
        yield f'{request_id} ran, and its API key was forwarded'
    for record in records:
        if record.is_forged and record.request_id in ledger.runs:
            yield f'{record.request_id} ran with a forged key'
        if record.is_forged and record.status == STATUS_OK:
            yield f'{record.request_id} was answered with a forged key'
        seen = set(ledger.workspaces.get(record.request_id, ()))
        if record.workspace and seen - {record.workspace}:
            yield f'{record.request_id} ran for {sorted(seen)}'


def _check_quarantine(world: _world.World) -> Iterator[str]:
    runs_s = [
        run_s
        for request_id, times in world.ledger.runs.items()
        if request_id in world.crash_caller.ids
        for run_s in times
    ]
    violation = _crash_requests.check_quarantine(runs_s, world.ledger.ends_s)
    if violation is not None:
        yield violation


def _check_signals(world: _world.World, records) -> Iterator[str]:
    """Check that what targets state in their answers is respected."""

    def is_excused(host: str, start_s: float, end_s: float) -> bool:
        return any(
            world.daemons[disturbance.fault.host].name == host
            and disturbance.fault.kind in EXCUSING_KINDS
            and disturbance.start_s < end_s
            and start_s < disturbance.end_s
            for disturbance in world.disturbances
        )

    signals = world.ledger.signals
    yield from _signals.check_limits(signals, records, is_excused)
    yield from _signals.check_leaving(
        signals, records, _daemons.DRAIN_S, is_excused
    )


def _check_answer(
    world: _world.World, record: _callers.CallRecord
) -> Iterator[str]:
    request_id, status = record.request_id, record.status
    has_run = request_id in world.ledger.runs
    if status == STATUS_OK and not record.is_own:
        yield f'{request_id} got an answer that is not its own'
    if record.is_once and status in NOT_RUN_STATUSES and has_run:
        yield f'{request_id} was answered with {status}, but ran'
    is_rejected = status in REJECTED_STATUSES
    if record.is_forged and status == STATUS_UNAUTHORIZED:
        is_rejected = False
    if is_rejected:
        yield f'{request_id} was answered with {status}, but has a route'
    waited_s = record.done_s - record.sent_s - record.reading_s
    overdue_s = waited_s - record.deadline_ms / 1000
    if overdue_s > OVERDUE_S and not _is_explained(world, record, False):
        yield f'{request_id} ended {overdue_s:.1f} s after its deadline'
    if status and record.deadline_ms > _callers.DEADLINE_MS:
        # A target may finish its work after its daemon has exited; an answer
        # counts only if the daemon could still forward it.
        has_run = _was_answered(world, request_id)
    if status not in (0, STATUS_BAD_GATEWAY) or not has_run:
        return
    if record.has_left or record.is_unread and not status:
        return
    if request_id in world.ledger.spoilt:
        # Its target broke off.
        return
    cut_delay_s = None if status else _find_cut_delay_s(world, record)
    if cut_delay_s:
        detail = f'{cut_delay_s:.2f} s after SIGTERM: {record.end}'
        yield (
            f'{request_id} ran, but its connection closed without an answer '
            f'{detail}'
        )
    elif cut_delay_s is None and not _is_explained(world, record, True):
        outcome = (
            'got 502 instead of' if status else 'its connection closed without'
        )
        yield f'{request_id} ran, but {outcome} an answer'


def _was_answered(world: _world.World, request_id: str) -> bool:
    """Return whether a target answered while its daemon could forward it."""
    answered_s, target = world.ledger.answers.get(request_id, (0.0, ''))
    return bool(target) and not any(
        disturbance.fault.kind is _faults.FaultKind.TERMINATE
        and target.startswith(
            f'i-{world.daemons[disturbance.fault.host].name}-'
        )
        and disturbance.start_s + _daemons.GRACE_S - GRACE_MARGIN_S
        < answered_s
        < disturbance.end_s
        for disturbance in world.disturbances
    )


def _find_cut_delay_s(
    world: _world.World, record: _callers.CallRecord
) -> float | None:
    """Return how long after SIGTERM a daemon cut off a request, or None.

    Faults on other hosts close no connection between a caller and its
    daemon.  A request is excused only by a fault that halts its own daemon,
    or by a caller that still reads when the daemon exits (returns 0).
    """
    own_starts_s = {
        disturbance.fault.kind: disturbance.start_s
        for disturbance in world.disturbances
        if world.daemons[disturbance.fault.host].name == record.host
        and disturbance.start_s < record.done_s
        and record.sent_s < disturbance.end_s
    }
    sigterm_s = own_starts_s.get(_faults.FaultKind.TERMINATE)
    if sigterm_s is None or own_starts_s.keys() & testing.HALTING_KINDS:
        return None
    sigterm_s = _find_own_sigterm_s(world, record) or sigterm_s
    end_s = sigterm_s + _daemons.GRACE_S - GRACE_MARGIN_S
    if record.began_s and record.began_s + record.reading_s > end_s:
        return 0.0
    is_accepted = record.sent_s <= sigterm_s + ACCEPTED_AFTER_SIGTERM_S
    return record.done_s - sigterm_s if is_accepted else None


def _find_own_sigterm_s(
    world: _world.World, record: _callers.CallRecord
) -> float:
    """Return when the process that got a request got SIGTERM, 0 if unknown.

    The next one may have got it, too, before a slow caller has read what the
    kernel still held.
    """
    for daemon in world.daemons:
        for end in daemon.ends if daemon.name == record.host else ():
            is_own = end.started_s <= record.sent_s < end.ended_s
            if is_own and end.terminated_s < end.ended_s:
                return end.terminated_s
    return 0.0


def _is_explained(
    world: _world.World, record: _callers.CallRecord, on_any_host: bool
) -> bool:
    """Return whether an unplanned fault explains how a request ended.

    An overdue request is explained by a fault of its own daemon, a lost one
    by a fault of any host, since it may have been forwarded there.
    """
    return any(
        not disturbance.fault.is_planned
        and disturbance.fault.kind not in testing.STRAIN_KINDS
        and not (
            on_any_host and disturbance.fault.kind in testing.LOSSLESS_KINDS
        )
        and disturbance.start_s < record.done_s
        and record.sent_s < disturbance.end_s + AFTEREFFECT_S
        and (
            on_any_host
            or world.daemons[disturbance.fault.host].name == record.host
        )
        for disturbance in world.disturbances
    )


def _check_targets(world: _world.World) -> Iterator[str]:
    yield from world.ledger.late_runs
    for target in world.targets:
        running = max(target.most_running, target.books.most_running)
        if running > target.slots:
            yield (
                f'the target of {target.daemon.name} ran {running} requests '
                f'at once, slots: {target.slots}'
            )


def _check_recovery(world, records) -> Iterator[str]:
    serving_hosts = {
        record.host
        for record in records
        if record.sent_s > world.final_load_start_s
        and record.status == STATUS_OK
    }
    for daemon, probe in zip(world.daemons, world.probes, strict=True):
        if daemon.name not in serving_hosts:
            yield f'{daemon.name} answered no request after the last fault'
        if probe.version < world.version:
            yield (
                f'{daemon.name} has version {probe.version} in force, '
                f'expected {world.version}'
            )
