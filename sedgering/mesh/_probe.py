"""Asks the local target for its identity before its report arrives."""

import asyncio
import logging

import msgspec

from sedgering import balance
from sedgering import base
from sedgering.mesh import _messages
from sedgering.mesh import _signals
from sedgering import transport

__all__ = ['ProbeAnswer', 'probe_target']

LOG = logging.getLogger(__name__)

#: Longest wait for the answer; the next heartbeat arrives within about 1.5 s
#: in any case.
PROBE_TIMEOUT_S = 1.0
STATUS_OK = 200


class ProbeAnswer(msgspec.Struct, frozen=True):
    """Answer of the local target to its health check.

    Parameters
    ----------
    report : TargetReport
        What it says of its state.
    signals : TargetSignals
        What it states about the calls that it takes.
    sent_s : float
        When the check was sent.
    """

    report: _messages.TargetReport
    signals: _signals.TargetSignals
    sent_s: float


async def probe_target(
    pool: transport.ConnectionPool,
    path: str,
    names: _messages.HeaderNames,
    target_set: base.TargetSetName,
) -> ProbeAnswer | None:
    """Query the health check of the local target.

    A daemon that was restarted beside a running target need not wait for
    the next heartbeat.  A target that is leaving, or reports itself
    unhealthy, does not answer 200; it is reported as draining.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the target.
    path : str
        Path of the health check.
    names : HeaderNames
        Header field names shared with targets.
    target_set : str
        Target set of the target, from the settings.

    Returns
    -------
    ProbeAnswer or None
        None when the target does not identify itself.
    """
    request = transport.Request('GET', path, [('Host', pool.address)])
    sent_s = asyncio.get_running_loop().time()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            connection = await pool.take()
            response = await connection.exchange(
                transport.encode_request(request), lambda _response: True
            )
    except (
        transport.ConnectFailed,
        transport.ExchangeFailed,
        TimeoutError,
    ) as error:
        LOG.info('probe failed', extra={'detail': repr(error)})
        return None
    pool.put(connection)
    target = response.find(names.target.lower())
    load = balance.decode_target_load(response.find(names.load.lower()) or '')
    is_ready = response.status == STATUS_OK
    if target is None or (is_ready and load is None):
        LOG.info('probe refused', extra={'status': response.status})
        return None
    signals = _signals.decode_signals(response, names)
    state = _messages.TargetState.DRAINING
    if is_ready and not signals.is_leaving:
        state = _messages.TargetState.READY
    report = _messages.TargetReport(
        target=base.TargetName(target),
        target_set=target_set,
        slots=load.slots if load is not None else 1,
        state=state,
        cold_ms=0,
        sequence=-1,
    )
    return ProbeAnswer(report, signals, sent_s)
