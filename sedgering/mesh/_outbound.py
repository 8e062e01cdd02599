"""Answers the callers of this host."""

from collections.abc import Coroutine

from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering.mesh import _exchange
from sedgering.mesh import _pause
from sedgering.mesh import _refusal
from sedgering.mesh import _state
from sedgering import transport

__all__ = ['OutboundService']


class OutboundService(transport.Service):
    """Answers the callers of this host.

    Parameters
    ----------
    state : RequestState
        Shared by all requests.
    pause : PauseDetector
        Measures by how much the reading of requests lags.
    """

    keeps_half_closed = True

    def __init__(
        self, state: _state.RequestState, pause: _pause.PauseDetector
    ):
        super().__init__()
        self.state = state
        self.pause = pause
        #: Requests without an answer yet.
        self.in_flight: set[_exchange.Exchange] = set()

    def find_limits(self) -> transport.CallerLimits:
        """Return the caller limits set by the operator."""
        return self.state.config.limits

    def begin(
        self, request: transport.Request
    ) -> Coroutine | transport.Response:
        """Refuse a request whose answer there is no room for."""
        memory = self.response_memory
        if memory is None or memory.has_room:
            return self.answer(request)
        if memory.may_hold(self._find_usual_bytes(request)):
            return self.answer(request)
        return self._refuse_large(request)

    def _find_usual_bytes(self, request: transport.Request) -> float:
        """Return the usual size of an answer; 0 when unknown."""
        snapshot = self.state.config.snapshot
        if snapshot is None:
            return 0.0
        route = bundles.find_route(snapshot, _make_head(request))
        if route is None:
            return 0.0
        return self.state.peers.typical_answer_bytes(route.name)

    def _refuse_large(self, request: transport.Request) -> transport.Response:
        code = exceptions.Code.REQUEST_UNREAD
        self.state.decisions.counts.count('refused', str(int(code)))
        id_field = self.state.names.request_id
        return _refusal.make_refusal(
            code,
            id_field,
            base.RequestId(request.find(id_field.lower()) or ''),
            self.state.mesh_settings.longest_retry_after_ms / 1000,
        )

    async def answer(self, request: transport.Request) -> transport.Response:
        """Answer one request."""
        if self.pause.find_lag_s():
            request.received_s -= await self.pause.settle()
        exchange = _exchange.Exchange(request, self.state)
        self.in_flight.add(exchange)
        try:
            return await exchange.run()
        finally:
            self.in_flight.discard(exchange)


def _make_head(request: transport.Request) -> bundles.RequestHead:
    """Make what a route is found by."""
    host = request.find('host') or ''
    return bundles.RequestHead(
        request.method,
        host.partition(':')[0].lower(),
        request.url.partition('?')[0],
        {},
    )
