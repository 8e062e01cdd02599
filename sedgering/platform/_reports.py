"""Heartbeats of the local target, decoded into reports."""

import logging
import re

import msgspec

from sedgering import base
from sedgering import mesh
from sedgering.platform import _wire
from sedgering import transport

__all__ = ['ReportsService']

LOG = logging.getLogger(__name__)

_PATH = re.compile(r'/v1/instances/([^/?]+)/(heartbeat|deregister)')


class _Heartbeat(msgspec.Struct):
    #: Target set.
    service: str
    slots: int
    state: str
    #: For how much longer the target is slow after its start.
    cold_remaining: str = '0ms'
    sequence: int = 0
    #: Unix time of the start of the lifetime, in milliseconds.
    born: int = mesh.UNKNOWN_BORN_MS


class _Goodbye(msgspec.Struct):
    born: int = mesh.UNKNOWN_BORN_MS


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

    def find_limits(self) -> transport.CallerLimits:
        """Return the usual limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> transport.Response:
        """Acknowledge a report once this daemon holds to it."""
        match = _PATH.fullmatch(request.url)
        if match is None or request.method != 'POST':
            return transport.make_json_response(404, {'error': 'no such path'})
        target = base.TargetName(match.group(1))
        try:
            if match.group(2) == 'deregister':
                self.daemon.take_leave(_decode_goodbye(target, request.body))
            else:
                self.daemon.take_report(_decode_report(target, request.body))
        except (msgspec.MsgspecError, ValueError) as error:
            LOG.warning('report refused', extra={'detail': str(error)})
            return transport.make_json_response(400, {'error': str(error)})
        return transport.make_json_response(200, {})


def _decode_goodbye(target: base.TargetName, body: bytes) -> mesh.Lifetime:
    """Decode a goodbye; targets that do not tell their start send no body."""
    goodbye = msgspec.json.decode(body or b'{}', type=_Goodbye)
    return mesh.Lifetime(target, goodbye.born)


def _decode_report(target: base.TargetName, body: bytes) -> mesh.TargetReport:
    heartbeat = msgspec.json.decode(body, type=_Heartbeat)
    return mesh.TargetReport(
        target=target,
        target_set=base.TargetSetName(heartbeat.service),
        slots=heartbeat.slots,
        state=mesh.TargetState(heartbeat.state),
        cold_ms=_wire.parse_duration_ms(heartbeat.cold_remaining),
        sequence=heartbeat.sequence,
        born_ms=heartbeat.born,
    )
