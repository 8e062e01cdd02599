"""Serves the daemon's counters as text."""

from sedgering import mesh
from sedgering import transport

__all__ = ['METRICS_PORT', 'MetricsService']

#: Also stands in deploy/system.toml.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'


class MetricsService(transport.Service):
    """Answers with the text exposition.

    Parameters
    ----------
    daemon : MeshDaemon
        Whose counters are shown.
    """

    def __init__(self, daemon: mesh.MeshDaemon):
        super().__init__()
        self.daemon = daemon

    def find_limits(self) -> transport.CallerLimits:
        """Return the usual limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> transport.Response:
        """Answer one question."""
        if request.url.partition('?')[0] != METRICS_PATH:
            return transport.make_json_response(404, {'error': 'no such path'})
        return transport.Response(
            200,
            [('Content-Type', 'text/plain; version=0.0.4; charset=utf-8')],
            self.daemon.render_metrics(),
        )
