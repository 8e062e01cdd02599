"""Serves the heartbeats and deregistrations of the local target."""

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
#: Ids of targets: only characters that a path contains unescaped.
_TARGET_ID = re.compile(r'[A-Za-z0-9._~-]{1,200}')
#: States in a heartbeat.  A target that is gone has sent a deregistration.
_TARGET_STATES = {
    'ready': mesh.TargetState.READY,
    'draining': mesh.TargetState.DRAINING,
}
#: Longest remaining warm-up that a target may report; starts take seconds.
MAX_COLD_MS = 3_600_000
#: Status of a refusal after which the message is to be sent again.
STATUS_UNAVAILABLE = 503
STATUS_BAD_REQUEST = 400
RETRY_AFTER_S = 1
#: Statuses of refusals for another reason than the message itself.
_STATUSES = {exceptions.Code.REPORT_NOT_HELD: STATUS_UNAVAILABLE}
#: Length at which the detail of an error response is cut.
MAX_DETAIL_CHARACTERS = 200

_StartTimeMs = Annotated[int, msgspec.Meta(ge=1, le=2**53 - 1)]
_Version = Annotated[str, msgspec.Meta(max_length=200)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class _TargetMessage(msgspec.Struct, kw_only=True):
    """Fields that all messages of a target have."""

    #: Unix time of the start of the target, in milliseconds.
    born: _StartTimeMs | msgspec.UnsetType = msgspec.UNSET
    #: Must equal the id in the path when it is present.
    id: str | msgspec.UnsetType = msgspec.UNSET

    def make_lifetime(self, target: base.TargetName) -> mesh.Lifetime:
        """Return the lifetime that the message is about.

        Raises
        ------
        ReportError
            When the message is about another target.
        """
        if self.id is not msgspec.UNSET and self.id != target:
            detail = f'{target} in the path, {self.id!r} in the body'
            raise exceptions.ReportError(exceptions.Code.REPORT_TARGET, detail)
        if self.born is msgspec.UNSET:
            return mesh.Lifetime(target)
        return mesh.Lifetime(target, self.born)


MessageT = TypeVar('MessageT', bound=_TargetMessage)


class _Heartbeat(_TargetMessage, kw_only=True):
    #: Target set of the target.
    service: str
    #: Address of the target for clients other than the daemon of its host.
    address: str
    zone: str
    #: Version of the software of the target.
    version: _Version
    slots: _Slots
    state: str
    #: Remaining duration of the warm-up, in which the target is slow.
    cold_remaining: str
    sequence: base.Count


class _Deregistration(_TargetMessage, kw_only=True):
    pass


class ReportsService(transport.Service):
    """Accepts heartbeats and deregistrations of the local target.

    Parameters
    ----------
    daemon : MeshDaemon
        Daemon that processes them.
    """

    keeps_half_closed = True

    def __init__(self, daemon: mesh.MeshDaemon):
        super().__init__()
        self.daemon = daemon
        self._refusals = observability.RefusalLog(LOG, logging.WARNING)

    def find_limits(self) -> transport.CallerLimits:
        """Return the default limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> transport.Response:
        """Process a message, and acknowledge it once it is in effect.

        The departure of a target is acknowledged once it outlives this
        process.
        """
        match = _PATH.fullmatch(request.url)
        if match is None or request.method != 'POST':
            return transport.make_json_response(404, {'error': 'no such path'})
        name, action = match.groups()
        try:
            target = _check_target(name)
            if action == 'deregister':
                await self._handle_deregistration(target, request.body)
            else:
                await self._handle_report(_decode_report(target, request.body))
        except exceptions.ReportError as error:
            return self._refuse(name, error)
        return transport.make_json_response(200, {})

    async def _handle_report(self, report: mesh.TargetReport) -> None:
        self.daemon.take_report(report)
        if report.state.is_final:
            await self.daemon.hold_departure(report.lifetime)

    async def _handle_deregistration(
        self, target: base.TargetName, body: bytes
    ) -> None:
        lifetime = _decode_deregistration(target, body)
        if body:
            # A target that never states its start time deregisters without
            # a body, and is not checked for one.
            self.daemon.check_lifetime(lifetime)
        self.daemon.take_leave(lifetime)
        await self.daemon.hold_departure(lifetime)

    def _refuse(
        self, name: str, error: exceptions.ReportError
    ) -> transport.Response:
        self._refusals.note(
            (name, error.code), 'report refused', error, target=name
        )
        response = transport.make_json_response(
            _STATUSES.get(error.code, STATUS_BAD_REQUEST),
            {
                'code': int(error.code),
                'error': error.code.text,
                'detail': error.detail[:MAX_DETAIL_CHARACTERS],
            },
        )
        if response.status == STATUS_UNAVAILABLE:
            response.headers.append(('Retry-After', str(RETRY_AFTER_S)))
        return response


def _check_target(name: str) -> base.TargetName:
    if not _TARGET_ID.fullmatch(name):
        raise _make_error(f'id {name!r}')
    return base.TargetName(name)


def _decode_deregistration(
    target: base.TargetName, body: bytes
) -> mesh.Lifetime:
    if not body:
        return mesh.Lifetime(target)
    return _decode(body, _Deregistration).make_lifetime(target)


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


def _decode(body: bytes, message_type: type[MessageT]) -> MessageT:
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _make_error(str(error)) from error


def _decode_state(text: str) -> mesh.TargetState:
    state = _TARGET_STATES.get(text)
    if state is None:
        raise _make_error(f'state {text!r}')
    return state


def _decode_cold_ms(text: str) -> int:
    try:
        cold_ms = _wire.parse_duration_ms(text)
    except ValueError as error:
        raise _make_error(str(error)) from error
    if cold_ms > MAX_COLD_MS:
        raise _make_error(f'cold for {text}')
    return cold_ms


def _make_error(detail: str) -> exceptions.ReportError:
    return exceptions.ReportError(exceptions.Code.REPORT_UNREADABLE, detail)
