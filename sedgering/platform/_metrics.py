"""Serves the metrics of a daemon over HTTP."""

from sedgering import mesh
from sedgering import transport

__all__ = ['METRICS_PORT', 'MetricsService']

#: Also listed in deploy/system.toml.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'


class MetricsService(transport.Service):
    """Responds with the metrics in the Prometheus text format.

    Parameters
    ----------
    daemon : MeshDaemon
        Source of the metrics.
    """

    def __init__(self, daemon: mesh.MeshDaemon):
        super().__init__()
        self.daemon = daemon

    def find_limits(self) -> transport.CallerLimits:
        """Return the default limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> transport.Response:
        """Return the metrics, or status 404 for another path."""
        if request.url.partition('?')[0] != METRICS_PATH:
            return transport.make_json_response(404, {'error': 'no such path'})
        return transport.Response(
            200,
            [('Content-Type', 'text/plain; version=0.0.4; charset=utf-8')],
            self.daemon.render_metrics(),
        )
