"""Heartbeats of the local target, decoded into reports."""

import logging
import re
from typing import Annotated
from typing import TypeVar

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import mesh
from sedgering import observability
from sedgering.platform import _wire
from sedgering import transport

__all__ = ['ReportsService']

LOG = logging.getLogger(__name__)

_PATH = re.compile(r'/v1/instances/([^/?]+)/(heartbeat|deregister)')
#: Ids of targets: what stands in a path as it is.
_TARGET = re.compile(r'[A-Za-z0-9._~-]{1,200}')
#: States that a target may tell; it is gone once it has said goodbye.
_STATES = {
    'ready': mesh.TargetState.READY,
    'draining': mesh.TargetState.DRAINING,
}
#: Longest time for which a target may say that it is still cold; starts take
#: seconds.
MOST_COLD_MS = 3_600_000
#: Most of the particulars that an answer repeats.
DETAIL_CHARACTERS = 200

_BornMs = Annotated[int, msgspec.Meta(ge=1, le=2**53 - 1)]
_Version = Annotated[str, msgspec.Meta(max_length=200)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class _Told(msgspec.Struct, kw_only=True):
    #: Unix time of the start of the lifetime, in milliseconds.
    born: _BornMs | msgspec.UnsetType = msgspec.UNSET
    #: The id in the path counts; another one here is a contradiction.
    id: str | msgspec.UnsetType = msgspec.UNSET

    def make_lifetime(self, target: base.TargetName) -> mesh.Lifetime:
        """Return the lifetime that is told of.

        Raises
        ------
        ReportError
            When it is told of another target.
        """
        if self.id is not msgspec.UNSET and self.id != target:
            detail = f'{target} in the path, {self.id!r} in the body'
            raise exceptions.ReportError(exceptions.Code.REPORT_TARGET, detail)
        if self.born is msgspec.UNSET:
            return mesh.Lifetime(target)
        return mesh.Lifetime(target, self.born)


ToldT = TypeVar('ToldT', bound=_Told)


class _Heartbeat(_Told, kw_only=True):
    #: Target set.
    service: str
    #: Where the target listens, for others than the daemon beside it.
    address: str
    zone: str
    #: Of its software.
    version: _Version
    slots: _Slots
    state: str
    #: For how much longer the target is slow after its start.
    cold_remaining: str
    sequence: base.Count


class _Goodbye(_Told, kw_only=True):
    pass


class ReportsService(transport.Service):
    """Takes heartbeats and goodbyes of the local target.

    Parameters
    ----------
    daemon : MeshDaemon
        Told of them.
    """

    def __init__(self, daemon: mesh.MeshDaemon):
        super().__init__()
        self.daemon = daemon
        self._refusals = observability.RefusalLog(LOG, logging.WARNING)

    def find_limits(self) -> transport.CallerLimits:
        """Return the usual limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> transport.Response:
        """Acknowledge a report once this daemon holds to it."""
        match = _PATH.fullmatch(request.url)
        if match is None or request.method != 'POST':
            return transport.make_json_response(404, {'error': 'no such path'})
        name, verb = match.groups()
        try:
            target = _check_target(name)
            if verb == 'deregister':
                self._take_goodbye(target, request.body)
            else:
                self.daemon.take_report(_decode_report(target, request.body))
        except exceptions.ReportError as error:
            return self._refuse(name, error)
        return transport.make_json_response(200, {})

    def _take_goodbye(self, target: base.TargetName, body: bytes) -> None:
        lifetime = _decode_goodbye(target, body)
        if body:
            # Targets that do not tell their start say goodbye without a body.
            self.daemon.check_lifetime(lifetime)
        self.daemon.take_leave(lifetime)

    def _refuse(
        self, name: str, error: exceptions.ReportError
    ) -> transport.Response:
        self._refusals.note(
            (name, error.code), 'report refused', error, target=name
        )
        return transport.make_json_response(
            400,
            {
                'code': int(error.code),
                'error': error.code.text,
                'detail': error.detail[:DETAIL_CHARACTERS],
            },
        )


def _check_target(name: str) -> base.TargetName:
    if not _TARGET.fullmatch(name):
        raise _make_error(f'id {name!r}')
    return base.TargetName(name)


def _decode_goodbye(target: base.TargetName, body: bytes) -> mesh.Lifetime:
    if not body:
        return mesh.Lifetime(target)
    return _decode(body, _Goodbye).make_lifetime(target)


def _decode_report(target: base.TargetName, body: bytes) -> mesh.TargetReport:
    heartbeat = _decode(body, _Heartbeat)
    lifetime = heartbeat.make_lifetime(target)
    return mesh.TargetReport(
        target=target,
        target_set=base.TargetSetName(heartbeat.service),
        slots=heartbeat.slots,
        state=_decode_state(heartbeat.state),
        cold_ms=_decode_cold_ms(heartbeat.cold_remaining),
        sequence=heartbeat.sequence,
        born_ms=lifetime.born_ms,
        version=base.SoftwareVersion(heartbeat.version),
    )


def _decode(body: bytes, told: type[ToldT]) -> ToldT:
    try:
        return msgspec.json.decode(body, type=told)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _make_error(str(error)) from error


def _decode_state(text: str) -> mesh.TargetState:
    state = _STATES.get(text)
    if state is None:
        raise _make_error(f'state {text!r}')
    return state


def _decode_cold_ms(text: str) -> int:
    try:
        cold_ms = _wire.parse_duration_ms(text)
    except ValueError as error:
        raise _make_error(str(error)) from error
    if cold_ms > MOST_COLD_MS:
        raise _make_error(f'cold for {text}')
    return cold_ms


def _make_error(detail: str) -> exceptions.ReportError:
    return exceptions.ReportError(exceptions.Code.REPORT_UNREADABLE, detail)
