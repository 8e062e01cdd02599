"""The request side: cheroot listens, exchanges answer."""

import logging
import threading
import time

from cheroot import server as cheroot_server

from sedgering import handshakes
from sedgering.proxy import _connection
from sedgering.proxy import _connection_loop
from sedgering.proxy import _exchange
from sedgering.proxy import _shared
from sedgering.proxy import _upstream
from sedgering import settings

__all__ = ['DataPath', 'make_data_path']

LOG = logging.getLogger(__name__)

MAX_HEADER_BYTES = 64 * 1024
KEPT_CONNECTIONS = 1000
#: Interval between checks while the proxy shuts down.
CHECK_INTERVAL_S = 0.05


class _Gateway(cheroot_server.Gateway):
    """Hands each request to an exchange."""

    def respond(self):
        """Answer one request."""
        state = self.req.server.state
        state.gate.enter()
        try:
            _exchange.Exchange(self.req, state).run()
        except _upstream.CallerGone:
            self.req.close_connection = True
            # Nothing is sent to a caller that is gone.
            self.req.sent_headers = True
            raise
        finally:
            state.gate.leave()


class _Server(cheroot_server.HTTPServer):
    """Serves connections of its own loop."""

    @property
    def connections(self) -> _connection_loop.ConnectionLoop:
        """The connections of callers."""
        return self._connections

    def prepare(self) -> None:
        """Bind the port."""
        super().prepare()
        # cheroot has no hook for a connection manager.
        self._connections.close()
        self._connections = _connection_loop.ConnectionLoop(self)


class DataPath:
    """The request side of one proxy.

    Parameters
    ----------
    server : _Server
        Listens for callers.
    """

    def __init__(self, server: _Server):
        self.server = server

    def start(self) -> None:
        """Bind the port, then serve in the background."""
        self.server.prepare()
        threading.Thread(
            target=self.server.serve, name='data-path', daemon=True
        ).start()

    def finish(self, timeout_s: float) -> bool:
        """Stop listening; answer the requests that can still be expected.

        A request may be on its way on any connection whose caller was not
        told that it closes.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
            Whether no request is under way or expected.
        """
        deadline_s = time.monotonic() + timeout_s
        connections = self.server.connections
        handshakes.refuse_handshakes(self.server.socket)
        # For handshakes that have begun.
        time.sleep(CHECK_INTERVAL_S)
        connections.stop_listening()
        while connections.expects_request():
            if time.monotonic() >= deadline_s:
                return False
            time.sleep(CHECK_INTERVAL_S)
        return True

    def stop(self) -> None:
        """Stop listening and close the connections without a request."""
        self.server.connections.stop_listening()
        self.server.stop()


def make_data_path(
    proxy_settings: settings.ProxySettings, state: _shared.RequestState
) -> DataPath:
    """Make the request side of a proxy.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Address, port and limits.
    state : RequestState
        Shared by all requests.
    """
    limits = proxy_settings.traffic
    server = _Server(
        (str(proxy_settings.address), proxy_settings.data_port),
        _Gateway,
        minthreads=limits.threads,
        maxthreads=limits.threads,
        server_name='sedgering',
    )
    server.ConnectionClass = _connection.CallerConnection
    server.request_queue_size = limits.queue_limit
    server.timeout = limits.caller_timeout_ms / 1000
    server.max_request_header_size = MAX_HEADER_BYTES
    server.keep_alive_conn_limit = KEPT_CONNECTIONS
    server.error_log = _log_server_error
    server.state = state
    return DataPath(server)


def _log_server_error(msg='', level=logging.INFO, traceback=False) -> None:
    LOG.log(min(level, logging.INFO), 'connection: %s', msg)
