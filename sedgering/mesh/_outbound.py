"""Answers the callers of this host."""

from collections.abc import Coroutine

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _exchange
from sedgering.mesh import _pause
from sedgering.mesh import _refusal
from sedgering.mesh import _state
from sedgering import transport

__all__ = ['OutboundService']

#: Response data held for callers above which new requests are refused, and
#: above which connections whose callers do not read are closed.  With the
#: bodies of requests that is half of the smallest memory limit, 200 MB.
REFUSE_HELD_BYTES = 32 * 1024 * 1024
CLOSE_HELD_BYTES = 64 * 1024 * 1024


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
    held_limit_bytes = CLOSE_HELD_BYTES

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
        """Refuse a request while callers leave too many answers unread."""
        if self.holding and self.held_bytes > REFUSE_HELD_BYTES:
            return self._refuse_unread(request)
        return self.answer(request)

    def _refuse_unread(self, request: transport.Request) -> transport.Response:
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
