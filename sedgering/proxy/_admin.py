"""Admin pages on loopback: health, metrics, targets, status."""

from collections.abc import Callable
import logging
from typing import Any

import cherrypy
import msgspec

from sedgering import exceptions
from sedgering import membership
from sedgering import observability
from sedgering.proxy import _status
from sedgering import settings

__all__ = ['AdminServer', 'make_admin_server']

LOG = logging.getLogger(__name__)

THREADS = 2
MAX_REPORT_BYTES = 4096
_STATES = frozenset(('starting', 'serving', 'draining', 'gone'))


class _Pages:
    """What is served; CherryPy calls the exposed methods."""

    def __init__(
        self,
        metrics: observability.Metrics,
        read_status: Callable[[], _status.ProxyStatus],
        announce: Callable[[membership.TargetReport], None],
    ):
        self.metrics_registry = metrics
        self.read_status = read_status
        self.announce = announce

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Answer as long as the process lives."""
        return _send_json({'alive': True})

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Answer 200 only while requests are taken."""
        status = self.read_status()
        if not status.is_ready:
            cherrypy.response.status = 503
        return _send_json(status)

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Expose the metrics as text."""
        cherrypy.response.headers['Content-Type'] = (
            'text/plain; version=0.0.4; charset=utf-8'
        )
        return self.metrics_registry.render()

    @cherrypy.expose
    def status(self) -> bytes:
        """State what this proxy holds and knows."""
        return _send_json(self.read_status())

    @cherrypy.expose
    def targets(self) -> bytes:
        """Take in the report of a local target."""
        if cherrypy.request.method not in ('POST', 'PUT'):
            raise cherrypy.HTTPError(405)
        body = cherrypy.request.body.read(MAX_REPORT_BYTES)
        try:
            report = msgspec.json.decode(body, type=membership.TargetReport)
            _check_report(report)
        except msgspec.DecodeError as error:
            cherrypy.response.status = 400
            refusal = exceptions.RequestError(
                exceptions.Code.REQUEST_MALFORMED, str(error)
            )
            return _send_json({'error': str(refusal)})
        self.announce(report)
        return _send_json({'accepted': True})


class AdminServer:
    """CherryPy on the admin address.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Admin address and port.
    pages : object
        Root of the pages.
    """

    def __init__(self, proxy_settings: settings.ProxySettings, pages: _Pages):
        self.proxy_settings = proxy_settings
        self.pages = pages

    def start(self) -> None:
        """Bind the port and serve in the background."""
        cherrypy.config.update(
            {
                'environment': 'embedded',
                'server.socket_host': str(self.proxy_settings.admin_address),
                'server.socket_port': self.proxy_settings.admin_port,
                'server.thread_pool': THREADS,
                'log.screen': False,
                'request.body.processors': {},
            }
        )
        cherrypy.engine.autoreload.unsubscribe()
        cherrypy.server.subscribe()
        application = cherrypy.tree.mount(self.pages, '/', {})
        for log in (cherrypy.log, application.log):
            log.access_log.propagate = False
            log.error_log.setLevel(logging.WARNING)
        cherrypy.engine.start()

    def stop(self) -> None:
        """Stop serving."""
        cherrypy.engine.exit()


def make_admin_server(
    proxy_settings: settings.ProxySettings,
    metrics: observability.Metrics,
    read_status: Callable[[], _status.ProxyStatus],
    announce: Callable[[membership.TargetReport], None],
) -> AdminServer:
    """Make the admin pages of a proxy.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Admin address and port.
    metrics : Metrics
        Exposed at /metrics.
    read_status : callable
        Returns the present status.
    announce : callable
        Takes the report of a local target.
    """
    pages = _Pages(metrics, read_status, announce)
    return AdminServer(proxy_settings, pages)


def _send_json(value: Any) -> bytes:
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return msgspec.json.encode(value)


def _check_report(report: membership.TargetReport) -> None:
    if report.state not in _STATES:
        raise msgspec.ValidationError(f'state: {report.state!r}')
    if not report.name or not report.target_set:
        raise msgspec.ValidationError('name and target_set are needed')
    if not 0 < report.port < 65536 or not 0 < report.slots < 10_000:
        raise msgspec.ValidationError('port or slots out of range')
