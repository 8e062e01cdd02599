"""The promises, checked from what callers and targets saw."""

from collections.abc import Iterator

from soak import _callers
from soak import _faults
from soak import _targets
from soak import _world

__all__ = ['check_promises']

#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Statuses that no proper request on a route that is there may get.
DENIED_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
STATUS_OK = 200
#: Told when a request may have run, and no whole answer came.
STATUS_UNKNOWN = 502
#: Time beyond a deadline after which a request counts as held: a loaded
#: machine makes everything late.
HELD_S = 2.5
#: A disturbance counts for what happens so long after it, as on the pages.
TOUCH_S = 3.0


def check_promises(world: _world.World) -> list[str]:
    """Return a line for each promise that was broken."""
    records = [record for caller in world.callers for record in caller.records]
    return [
        *_check_runs(world, records),
        *(line for item in records for line in _check_answer(world, item)),
        *(line for probe in world.probes for line in probe.broken),
        *_check_targets(world),
        *_check_recovery(world, records),
    ]


def _check_runs(world, records) -> Iterator[str]:
    once = {record.request_id for record in records if record.is_once}
    known = {record.request_id for record in records}
    for request_id, times in world.ledger.runs.items():
        if request_id in once and len(times) > 1:
            yield f'{request_id} may run once, and ran {len(times)} times'
        if request_id not in known and '-p' not in request_id:
            yield f'{request_id} ran, and nobody asked for it'


def _check_answer(
    world: _world.World, record: _callers.CallRecord
) -> Iterator[str]:
    request_id, status = record.request_id, record.status
    has_run = request_id in world.ledger.runs
    if status == STATUS_OK and not record.is_own:
        yield f'{request_id} got an answer that is not its own'
    if record.is_once and status in NOT_RUN_STATUSES and has_run:
        yield f'{request_id} was told {status}, and ran'
    if status in DENIED_STATUSES:
        yield f'{request_id} was told {status}, and has a route'
    held_s = record.done_s - record.sent_s - _callers.DEADLINE_MS / 1000
    if held_s > HELD_S and not _is_disturbed(world, record, False):
        yield f'{request_id} was held {held_s:.1f} s beyond its deadline'
    if status not in (0, STATUS_UNKNOWN) or not has_run:
        return
    if not _is_disturbed(world, record, True):
        end = 'was told 502' if status else 'its connection ended'
        yield f'{request_id} ran, and {end} without answer'


def _is_disturbed(
    world: _world.World, record: _callers.CallRecord, anywhere: bool
) -> bool:
    """Say whether an unplanned fault explains how a request ended.

    A request that was held is explained by a fault of its own daemon, one
    that was lost by a fault anywhere, since it may have been sent there.
    """
    return any(
        not item.fault.is_planned
        and not (anywhere and item.fault.kind in _faults.STORE_KINDS)
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
