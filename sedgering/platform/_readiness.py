"""Serves the readiness check that the platform sends to a daemon."""

from collections.abc import Callable

from sedgering import transport

__all__ = ['ReadinessService']

READY_PATH = '/v1/ready'


class ReadinessService(transport.Service):
    """Responds with status 200 while callers may send requests, else 503.

    Parameters
    ----------
    is_ready : callable
        Called for each check.
    """

    def __init__(self, is_ready: Callable[[], bool]):
        super().__init__()
        self.is_ready = is_ready

    def find_limits(self) -> transport.CallerLimits:
        """Return the default limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> transport.Response:
        """Return the readiness, or status 404 for another path."""
        if request.url.partition('?')[0] != READY_PATH:
            return transport.make_json_response(404, {'error': 'no such path'})
        is_ready = self.is_ready()
        status = 200 if is_ready else 503
        return transport.make_json_response(status, {'ready': is_ready})
