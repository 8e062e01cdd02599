"""Serves other daemons: calls, relay polls, quotas and notices."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _crash_notice
from sedgering.mesh import _departure_notice
from sedgering.mesh import _evidence_hop
from sedgering.mesh import _hop
from sedgering.mesh import _link_reservations
from sedgering.mesh import _messages
from sedgering.mesh import _pause
from sedgering.mesh import _quota_hop
from sedgering.mesh import _quotas
from sedgering.mesh import _relay
from sedgering.mesh import _target_client
from sedgering import observability
from sedgering import transport

__all__ = ['InboundService']

LOG = logging.getLogger(__name__)

#: Limits between daemons are wide: the caller's limits have already been
#: checked by the sending daemon.
PEER_LIMITS = transport.CallerLimits(header_bytes=256 * 1024)
#: A daemon reads nothing of a large answer until its own callers have made
#: room for it.
PEER_PATIENCE_S = 2.0


class InboundService(transport.Service):
    """Serves requests of other daemons.

    Parameters
    ----------
    target_client : TargetClient
        Runs calls at the local target.
    note_version : callable
        Called with the version by which each call was routed.
    pause : PauseDetector
        Measures how late a call is read after a pause of the process.
    poll_handler : PollHandler
        Answers relay polls.
    quotas : WorkspaceQuotas
        Answers daemons that request quota tokens.
    """

    patience_s = PEER_PATIENCE_S

    def __init__(
        self,
        target_client: _target_client.TargetClient,
        note_version: Callable[[base.Version], None],
        pause: _pause.PauseDetector,
        poll_handler: _relay.PollHandler,
        quotas: _quotas.WorkspaceQuotas,
    ):
        super().__init__()
        self.target_client = target_client
        self.note_version = note_version
        self.pause = pause
        self.poll_handler = poll_handler
        self.quotas = quotas
        self._refusals = observability.RefusalLog(LOG, logging.WARNING)
        #: Called with the row of a host whose target is leaving.
        self.on_departure: Callable[[_messages.MemberRow], None] = _ignore

    def find_limits(self) -> transport.CallerLimits:
        """Return the limits between daemons."""
        return PEER_LIMITS

    def begin(
        self, request: transport.Request
    ) -> Coroutine | transport.Response:
        """Return an immediate response, or a coroutine that answers."""
        if _relay.is_poll(request):
            return self.poll_handler.answer(request)
        try:
            if not _hop.is_call(request):
                return self._answer_directly(request)
            call = _hop.decode_call(request)
        except exceptions.PeerError as error:
            return self._refuse_unreadable(error)
        if call.may_wait or self.pause.find_lag_s():
            return self._run(call)
        answer = self.target_client.refuse_if_busy(call)
        if answer is None:
            return self._run(call)
        self.note_version(call.version)
        return _hop.encode_answer(answer)

    async def answer(self, request: transport.Request) -> transport.Response:
        """Return the response to any request of another daemon."""
        result = self.begin(request)
        return (
            result if isinstance(result, transport.Response) else await result
        )

    def _answer_directly(
        self, request: transport.Request
    ) -> transport.Response:
        """Answer requests other than calls and polls.

        Raises
        ------
        PeerError
            When the request cannot be decoded.
        """
        if _quota_hop.is_quota_request(request):
            return self.quotas.answer(request)
        if _hop.is_ping(request):
            return transport.Response(200, [])
        if _crash_notice.is_notice(request):
            return self._take_notice(request)
        if _departure_notice.is_notice(request):
            return self._take_departure(request)
        if _evidence_hop.is_evidence_request(request):
            return self._answer_evidence_query(request)
        body_bytes = _link_reservations.find_reservation_bytes(request)
        if body_bytes is not None:
            return _hop.encode_answer(
                self.target_client.answer_reservation_request(body_bytes)
            )
        raise _hop.HopError('neither call nor poll')

    def _refuse_unreadable(
        self, error: exceptions.PeerError
    ) -> transport.Response:
        self._refusals.note(
            error.detail, 'unreadable message from a peer', error
        )
        return transport.make_json_response(400, {'error': str(error)})

    async def _run(self, call: _messages.TargetCall) -> transport.Response:
        """Run a call and encode its result."""
        self.note_version(call.version)
        self.target_client.link_reservations.release(len(call.request.body))
        if self.pause.find_lag_s():
            lag_ms = int(1000 * await self.pause.settle())
            call.remaining_ms = max(0, call.remaining_ms - lag_ms)
            call.goal_ms = max(0, call.goal_ms - lag_ms)
        try:
            async with asyncio.timeout(call.remaining_ms / 1000):
                answer = await self.target_client.run_for_peer(call)
        except TimeoutError:
            answer = _messages.CallAnswer(
                _messages.CallOutcome.UNKNOWN,
                reason=_messages.RefusalReason.DEADLINE,
                load=self.target_client.make_report(call.route),
            )
        return _hop.encode_answer(answer)

    def _answer_evidence_query(
        self, request: transport.Request
    ) -> transport.Response:
        """Return the trial evidence on the version of the local target."""
        order_revision = _evidence_hop.decode_evidence_request(request)
        return _evidence_hop.encode_evidence(
            self.target_client.version_trial.find_evidence(
                order_revision, self.target_client.gate
            )
        )

    def _take_notice(self, request: transport.Request) -> transport.Response:
        """Record the crash of the target of another daemon."""
        record = _crash_notice.decode_notice(request)
        self.target_client.crashes.add_record(record)
        return transport.Response(200, [])

    def _take_departure(
        self, request: transport.Request
    ) -> transport.Response:
        """Record that the target of a host is leaving."""
        self.on_departure(_departure_notice.decode_notice(request))
        return transport.Response(200, [])


def _ignore(_row: _messages.MemberRow) -> None:
    """Default for `InboundService.on_departure`."""
