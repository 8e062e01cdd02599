"""The platform stand-in over HTTP, as docs/platform.md publishes it."""

from collections.abc import Callable
import time

from cheroot import server as cheroot_server
import msgspec

from sedgering import exceptions
from sedgering import storage
from sedgering.testing import _engine
from sedgering.testing import _http

__all__ = ['make_platform_server']

THREADS = 16
OBJECT_PATH = '/v1/objects/'


class _Gateway(cheroot_server.Gateway):
    """Answers one call of the platform's interface."""

    def respond(self):
        """Answer, or cut the connection when the answer is to be lost."""
        engine: _engine.PlatformEngine = self.req.server.engine
        path = self.req.uri.decode('ascii')
        body = _http.read_body(self.req)
        if path in _CONTROL:
            _http.send_json(self.req, b'200 OK', _CONTROL[path](engine, body))
            return
        if engine.faults.slow_ms:
            time.sleep(engine.faults.slow_ms / 1000)
        try:
            self._answer(engine, path, body)
        except _engine.AnswerLost:
            self.req.close_connection = True
            raise
        except exceptions.PlatformError as error:
            self._send_failure(error)
        except msgspec.DecodeError as error:
            self._send(b'400 Bad Request', storage.ErrorBody(str(error)))

    def _answer(self, engine, path: str, body: bytes) -> None:
        if path == '/v1/table/read':
            request = msgspec.json.decode(body, type=storage.ReadRequest)
            self._send_rows(engine.read(request.keys))
        elif path == '/v1/table/scan':
            request = msgspec.json.decode(body, type=storage.ScanRequest)
            rows = engine.scan(request.prefix, request.after, request.limit)
            self._send_rows(rows)
        elif path == '/v1/table/transact':
            transaction = msgspec.json.decode(body, type=storage.Transaction)
            self._send_outcome(engine.transact(transaction))
        elif path.startswith(OBJECT_PATH):
            self._answer_object(engine, path.removeprefix(OBJECT_PATH), body)
        else:
            self._send(b'404 Not Found', storage.ErrorBody(path))

    def _answer_object(self, engine, name: str, body: bytes) -> None:
        if self.req.method == b'PUT':
            engine.put_object(name, body)
            self._send(b'200 OK', {})
            return
        found = engine.get_object(name)
        if found is None:
            self._send(b'404 Not Found', storage.ErrorBody(name))
            return
        engine.stats.bytes_out += len(found)
        _http.send(self.req, b'200 OK', found)

    def _send_rows(self, rows) -> None:
        self._send(b'200 OK', storage.RowsBody(rows))

    def _send_outcome(self, is_met: bool) -> None:
        if is_met:
            self._send(b'200 OK', {})
        else:
            self._send(b'409 Conflict', storage.ErrorBody('condition'))

    def _send_failure(self, error: exceptions.PlatformError) -> None:
        status = b'503 Service Unavailable'
        if error.code is exceptions.Code.PLATFORM_BUSY:
            status = b'429 Too Many Requests'
        header = (storage.NOT_RUN_HEADER.encode(), b'1')
        body = msgspec.json.encode(storage.ErrorBody(str(error)))
        _http.send(self.req, status, body, (header,))

    def _send(self, status: bytes, value) -> None:
        body = _http.send_json(self.req, status, value)
        self.req.server.engine.stats.bytes_out += len(body)


def _set_faults(engine: _engine.PlatformEngine, body: bytes):
    engine.faults = msgspec.json.decode(body, type=_engine.Faults)
    return engine.faults


def _read_stats(engine: _engine.PlatformEngine, _body: bytes):
    return engine.stats


_CONTROL: dict[str, Callable] = {
    '/standin/faults': _set_faults,
    '/standin/stats': _read_stats,
}


def make_platform_server(
    address: str, port: int, engine: _engine.PlatformEngine
) -> cheroot_server.HTTPServer:
    """Make the platform stand-in; its owner calls start and stop.

    Parameters
    ----------
    address, port
        Where to listen.
    engine : PlatformEngine
        Rows, objects and faults.
    """
    server = cheroot_server.HTTPServer(
        (address, port), _Gateway, minthreads=THREADS, maxthreads=THREADS
    )
    server.request_queue_size = 512
    server.shutdown_timeout = 1
    server.keep_alive_conn_limit = 2000
    server.error_log = _http.ignore_errors
    server.engine = engine
    return server
