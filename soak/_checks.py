"""The promises, checked from what callers and targets saw."""

from collections.abc import Iterator

from soak import _callers
from soak import _daemons
from soak import _fatal
from soak import _faults
from soak import _targets
from soak import _world

__all__ = ['check_promises']

#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Statuses that no proper request on a route that is there may get.
DENIED_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
STATUS_OK = 200
#: Told to a caller whose key nobody holds.
STATUS_UNAUTHORIZED = 401
#: Told when a request may have run, and no whole answer came.
STATUS_UNKNOWN = 502
#: Time beyond a deadline after which a request counts as held: a loaded
#: machine makes everything late.
HELD_S = 2.5
#: A disturbance counts for what happens so long after it, as on the pages.
TOUCH_S = 3.0
#: Requests sent so long after SIGTERM are answered if they run.
TAKEN_S = 3.0
#: Time before the end of the grace time from which on an answer that is
#: still being read, or that a target gives, may be cut: the margin of the
#: daemon, and its last answers.
LAST_S = 0.6


def check_promises(world: _world.World) -> list[str]:
    """Return a line for each promise that was broken."""
    records = world.list_records()
    return [
        *_check_runs(world, records),
        *_check_keys(world, records),
        *_check_fatal(world),
        *(line for item in records for line in _check_answer(world, item)),
        *(line for probe in world.probes for line in probe.broken),
        *_check_targets(world),
        *world.bad_ends,
        *_check_recovery(world, records),
    ]


def _check_runs(world, records) -> Iterator[str]:
    once = {record.request_id for record in records if record.is_once}
    known = {record.request_id for record in records} | world.fatal.ids
    for request_id, times in world.ledger.runs.items():
        if request_id in once and len(times) > 1:
            yield f'{request_id} may run once, and ran {len(times)} times'
        if request_id not in known and '-p' not in request_id:
            yield f'{request_id} ran, and nobody asked for it'


def _check_keys(world, records) -> Iterator[str]:
    """Check who asked, as targets were told, and that no key came along."""
    ledger = world.ledger
    for request_id in ledger.keys_seen:
        yield f'{request_id} ran, and its key came along'
    for record in records:
        if record.is_forged and record.request_id in ledger.runs:
            yield f'{record.request_id} ran with a forged key'
        if record.is_forged and record.status == STATUS_OK:
            yield f'{record.request_id} was answered with a forged key'
        told = set(ledger.workspaces.get(record.request_id, ()))
        if record.workspace and told - {record.workspace}:
            yield f'{record.request_id} ran for {sorted(told)}'


def _check_fatal(world: _world.World) -> Iterator[str]:
    runs_s = [
        run_s
        for request_id, times in world.ledger.runs.items()
        if request_id in world.fatal.ids
        for run_s in times
    ]
    line = _fatal.check_fatal(runs_s, world.ledger.ends_s)
    if line is not None:
        yield line


def _check_answer(
    world: _world.World, record: _callers.CallRecord
) -> Iterator[str]:
    request_id, status = record.request_id, record.status
    has_run = request_id in world.ledger.runs
    if status == STATUS_OK and not record.is_own:
        yield f'{request_id} got an answer that is not its own'
    if record.is_once and status in NOT_RUN_STATUSES and has_run:
        yield f'{request_id} was told {status}, and ran'
    is_denied = status in DENIED_STATUSES
    if record.is_forged and status == STATUS_UNAUTHORIZED:
        is_denied = False
    if is_denied:
        yield f'{request_id} was told {status}, and has a route'
    waited_s = record.done_s - record.sent_s - record.reading_s
    held_s = waited_s - record.deadline_ms / 1000
    if held_s > HELD_S and not _is_disturbed(world, record, False):
        yield f'{request_id} was held {held_s:.1f} s beyond its deadline'
    if status and record.deadline_ms > _callers.DEADLINE_MS:
        # Work may outlast the daemon beside its target; answers may not.
        has_run = _was_answered(world, request_id)
    if status not in (0, STATUS_UNKNOWN) or not has_run:
        return
    cut_s = None if status else _find_cut_s(world, record)
    if cut_s:
        how = f'without answer {cut_s:.2f} s after SIGTERM: {record.end}'
        yield f'{request_id} ran, and its connection ended {how}'
    elif cut_s is None and not _is_disturbed(world, record, True):
        end = 'was told 502' if status else 'its connection ended'
        yield f'{request_id} ran, and {end} without answer'


def _was_answered(world: _world.World, request_id: str) -> bool:
    """Say whether a target answered while its daemon could pass it on."""
    answered_s, target = world.ledger.answers.get(request_id, (0.0, ''))
    return bool(target) and not any(
        item.fault.kind is _faults.FaultKind.TERMINATE
        and target.startswith(f'i-{world.daemons[item.fault.host].name}-')
        and item.start_s + _daemons.GRACE_S - LAST_S < answered_s < item.end_s
        for item in world.disturbances
    )


def _find_cut_s(
    world: _world.World, record: _callers.CallRecord
) -> float | None:
    """Return how long after SIGTERM a leaving daemon cut; None if not.

    Faults elsewhere end no connection between a caller and its daemon: only
    its own halt excuses, or a caller that reads until after its end (0).
    """
    own = {
        item.fault.kind: item.start_s
        for item in world.disturbances
        if world.daemons[item.fault.host].name == record.host
        and item.start_s < record.done_s
        and record.sent_s < item.end_s
    }
    told_s = own.get(_faults.FaultKind.TERMINATE)
    if told_s is None or own.keys() & _faults.HALTS:
        return None
    end_s = told_s + _daemons.GRACE_S - LAST_S
    if record.began_s and record.began_s + record.reading_s > end_s:
        return 0.0
    is_taken = record.sent_s <= told_s + TAKEN_S
    return record.done_s - told_s if is_taken else None


def _is_disturbed(
    world: _world.World, record: _callers.CallRecord, anywhere: bool
) -> bool:
    """Say whether an unplanned fault explains how a request ended.

    A request that was held is explained by a fault of its own daemon, one
    that was lost by a fault anywhere, since it may have been sent there.
    """
    return any(
        not item.fault.is_planned
        and not (anywhere and item.fault.kind in _faults.COSTLESS)
        and item.start_s < record.done_s
        and record.sent_s < item.end_s + TOUCH_S
        and (anywhere or world.daemons[item.fault.host].name == record.host)
        for item in world.disturbances
    )


def _check_targets(world: _world.World) -> Iterator[str]:
    yield from world.ledger.late_runs
    for target in world.targets:
        running = max(target.most_running, target.books.most_running)
        if running > _targets.SLOTS:
            yield (
                f'the target of {target.daemon.name} worked on {running} '
                f'of {_targets.SLOTS}'
            )


def _check_recovery(world, records) -> Iterator[str]:
    served = {
        record.host
        for record in records
        if record.sent_s > world.closing_s and record.status == STATUS_OK
    }
    for daemon, probe in zip(world.daemons, world.probes, strict=True):
        if daemon.name not in served:
            yield f'{daemon.name} served nobody after the last fault'
        if probe.version < world.version:
            yield (
                f'{daemon.name} has version {probe.version} of '
                f'{world.version} in force'
            )
