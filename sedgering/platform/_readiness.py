"""Answers the platform's question whether this daemon takes work."""

from collections.abc import Callable

from sedgering import transport

__all__ = ['ReadinessService']

READY_PATH = '/v1/ready'


class ReadinessService(transport.Service):
    """Answers 200 while callers may send new work.

    Parameters
    ----------
    is_ready : callable
        Asked each time.
    """

    def __init__(self, is_ready: Callable[[], bool]):
        super().__init__()
        self.is_ready = is_ready

    def find_limits(self) -> transport.CallerLimits:
        """Return the usual limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> transport.Response:
        """Answer one question."""
        if request.url.partition('?')[0] != READY_PATH:
            return transport.make_json_response(404, {'error': 'no such path'})
        is_ready = self.is_ready()
        status = 200 if is_ready else 503
        return transport.make_json_response(status, {'ready': is_ready})
