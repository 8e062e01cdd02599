"""Answers the callers of this host."""

from sedgering.mesh import _exchange
from sedgering.mesh import _pause
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
