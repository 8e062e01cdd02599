"""Serves the metrics of a daemon over HTTP."""

import asyncio
import logging

from sedgering import mesh
from sedgering import transport

__all__ = ['METRICS_PORT', 'MetricsService', 'serve_metrics']

LOG = logging.getLogger(__name__)

#: Also listed in deploy/system.toml.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'
#: Time between attempts to open the port while it is in use.
RETRY_INTERVAL_S = 1.0


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


async def serve_metrics(daemon: mesh.MeshDaemon, address: str) -> None:
    """Serve the metrics as soon as their port is free.

    Requests are served without them: a port that is in use must not end the
    daemon.

    Parameters
    ----------
    daemon : MeshDaemon
        Source of the metrics.
    address : str
        Where to listen.
    """
    service = MetricsService(daemon)
    is_logged = False
    while True:
        try:
            await transport.serve(service, address, METRICS_PORT)
            return
        except OSError as error:
            if not is_logged:
                LOG.warning('no metrics', extra={'detail': str(error)})
            is_logged = True
        await asyncio.sleep(RETRY_INTERVAL_S)
