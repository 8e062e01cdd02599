"""Makes the records that the judges of lost requests need."""

from soak import _callers
from soak import _daemons
from soak import _faults
from soak import _lost
from soak import _world

__all__ = ['make_trial']

_Kind = _faults.FaultKind
_Scope = _lost.Scope
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
    _Kind.TERMINATE: _lost.WorkKind.TERMINATE,
    _Kind.VERSION: _lost.WorkKind.CONFIGURATION,
    _Kind.RELOAD: _lost.WorkKind.RELOAD,
}


def make_trial(
    world: _world.World, records: list[_callers.CallRecord]
) -> _lost.Trial:
    """Make the records of a soak.

    Parameters
    ----------
    world : World
        Soak that has ended.
    records : list of CallRecord
        Requests of all callers.
    """
    trial = _lost.Trial(
        bounds=_lost.Bounds(grace_s=_daemons.GRACE_S),
        requests=[
            _make_request(world, record)
            for record in records
            if record.last_byte_s
        ],
        ends=[
            end
            for process in (*world.daemons, world.store)
            for end in process.ends
        ],
    )
    for item in world.disturbances:
        kind, times_s = item.fault.kind, (item.start_s, item.end_s)
        host = world.daemons[item.fault.host].name
        if kind in _PLANNED:
            planned = _lost.PlannedWork(_PLANNED[kind], host, *times_s)
            trial.planned.append(planned)
        elif kind in _SCOPES:
            disruption = _lost.Disruption(_SCOPES[kind], host, *times_s)
            trial.disruptions.append(disruption)
    return trial


def _make_request(
    world: _world.World, record: _callers.CallRecord
) -> _lost.Request:
    return _lost.Request(
        record.request_id,
        record.host,
        record.last_byte_s,
        record.done_s,
        _find_end(record),
        min(record.deadline_ms / 1000, record.timeout_s),
        record.is_kept,
        record.is_behind,
        work=tuple(world.ledger.work.get(record.request_id, ())),
        sending_s=record.last_byte_s - record.sent_s,
    )


def _find_end(record: _callers.CallRecord) -> _lost.End:
    if record.has_left:
        return _lost.End.CALLER_LEFT
    if not record.status:
        return _lost.End.CUT
    return _lost.End.ANSWERED if record.is_own else _lost.End.OWN_ANSWER
