"""Makes the records that the judges need."""

import math

from sedgering.testing import judges
from soak import _callers
from soak import _daemons
from soak import _faults
from soak import _world

__all__ = ['make_trial']

_Kind = _faults.FaultKind
_Scope = judges.Scope
_SCOPES = {
    _Kind.KILL: _Scope.MACHINE,
    _Kind.PAUSE: _Scope.MACHINE,
    _Kind.SUSPEND: _Scope.MACHINE,
    _Kind.PEER_LINK: _Scope.MACHINE,
    _Kind.DEAD_CONNECTIONS: _Scope.CONNECTIONS,
    _Kind.THROTTLE: _Scope.MACHINE,
    _Kind.STORE_LINK: _Scope.STORE_PATH,
    _Kind.STORE: _Scope.STORE,
    _Kind.TARGET_HABIT: _Scope.TARGET,
    _Kind.TARGET_ENDS: _Scope.TARGET,
    _Kind.STORE_SLOW: _Scope.STORE,
    _Kind.TARGET_CRASH: _Scope.TARGET,
    _Kind.TARGET_MOVES: _Scope.TARGET,
}
_PLANNED = {
    _Kind.TERMINATE: judges.WorkKind.TERMINATE,
    _Kind.VERSION: judges.WorkKind.CONFIGURATION,
    _Kind.RELOAD: judges.WorkKind.RELOAD,
}


def make_trial(
    world: _world.World, records: list[_callers.CallRecord]
) -> judges.Trial:
    """Make the records of a soak.

    Parameters
    ----------
    world : World
        Soak that has ended.
    records : list of CallRecord
        Requests of all callers.
    """
    origins = _find_origins(world)
    trial = judges.Trial(
        bounds=judges.Bounds(grace_s=_daemons.GRACE_S),
        requests=[
            _make_request(world, record, origins)
            for record in records
            if record.last_byte_s
        ],
        ends=[
            end
            for process in (*world.daemons, world.store)
            for end in process.ends
        ],
        departures=world.ledger.departures,
    )
    for item in world.disturbances:
        kind, times_s = item.fault.kind, (item.start_s, item.end_s)
        host = world.daemons[item.fault.host].name
        if kind in _PLANNED:
            planned = judges.PlannedWork(_PLANNED[kind], host, *times_s)
            trial.planned.append(planned)
        elif kind in _SCOPES:
            disruption = judges.Disruption(_SCOPES[kind], host, *times_s)
            trial.disruptions.append(disruption)
    return trial


def _make_request(
    world: _world.World,
    record: _callers.CallRecord,
    origins: dict[str, str],
) -> judges.Request:
    is_read_late = record.reading_s or record.is_behind
    # Times are those at the daemon: what its caller sends, or that it leaves,
    # gets there later, and what the daemon does is seen later.
    end_delay_s = record.delay_s if record.has_left else -record.delay_s
    return judges.Request(
        record.request_id,
        record.host,
        record.last_byte_s + record.delay_s,
        record.done_s + end_delay_s,
        _find_end(record),
        min(record.deadline_ms / 1000, record.timeout_s),
        record.is_kept,
        record.is_behind,
        work=tuple(world.ledger.work.get(record.request_id, ())),
        sending_s=record.last_byte_s - record.sent_s,
        status=record.status,
        has_proof=record.has_proof,
        is_own=record.is_own,
        is_once=record.is_once,
        is_proper=not record.is_forged,
        timeout_s=math.inf if is_read_late else record.timeout_s,
        route_since_s=0.0,
        line=f'{record.method} {record.path}',
        origin=origins.get(record.host, ''),
        target_set=record.target_set,
    )


def _find_origins(world: _world.World) -> dict[str, str]:
    """Return the sets of all hosts but those that have served several."""
    moved = {
        item.fault.host
        for item in world.disturbances
        if item.fault.kind is _Kind.TARGET_MOVES
    }
    return {
        daemon.name: daemon.target_set
        for number, daemon in enumerate(world.daemons)
        if number not in moved
    }


def _find_end(record: _callers.CallRecord) -> judges.End:
    is_cut = not record.status
    if record.has_left or is_cut and record.is_unread:
        return judges.End.CALLER_LEFT
    if is_cut:
        return judges.End.CUT
    return judges.End.ANSWERED if record.is_own else judges.End.OWN_ANSWER
