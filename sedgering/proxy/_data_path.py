"""Requests of callers: cheroot in, decisions, urllib3 out."""

from collections.abc import Iterator
import logging
import random
import threading
import time
import uuid

from cheroot import server as cheroot_server
import urllib3

from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering import membership
from sedgering.proxy import _answers
from sedgering.proxy import _shared
from sedgering.proxy import _upstream
from sedgering import settings
from sedgering import traffic

__all__ = ['DataPath', 'make_data_path']

LOG = logging.getLogger(__name__)

REQUEST_ID_HEADER = 'x-request-id'
DEADLINE_HEADER = 'x-deadline-ms'
CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
_MAX_DEADLINE_MS = 3_600_000
#: Meaningful for one connection only (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_METHODS_WITHOUT_BODY = frozenset((204, 304))


class _CallerGone(Exception):
    """The caller's body ended early; nothing can be told to it."""


class _Body:
    """The caller's body, read while it is sent on.

    Parameters
    ----------
    reader : file
        Of cheroot; ends at the end of the body.
    length : int or None
        Stated length in bytes; None for a chunked body.
    """

    def __init__(self, reader, length: int | None):
        self.reader = reader
        self.length = length
        self.is_consumed = False

    def __iter__(self) -> Iterator[bytes]:
        """Read the body once."""
        received = 0
        while True:
            chunk = self._read()
            if not chunk:
                break
            self.is_consumed = True
            received += len(chunk)
            yield chunk
        if self.length is not None and received != self.length:
            raise _CallerGone

    def _read(self) -> bytes:
        try:
            return self.reader.read(CHUNK_BYTES)
        except (OSError, ValueError) as error:
            raise _CallerGone from error


class _Exchange:
    """One request from its head to the end of its answer."""

    def __init__(self, request, path: 'DataPath'):
        self.request = request
        self.path = path
        self.headers = _decode_headers(request.inheaders)
        self.request_id = self.headers.get(REQUEST_ID_HEADER)
        if self.request_id is None:
            self.request_id = uuid.uuid4().hex
        self.started_s = time.monotonic()
        self.body = self._make_body()

    def run(self) -> None:
        """Answer the request, with the target's answer or an own one."""
        code = 0
        try:
            response, endpoint = self._find_response()
        except exceptions.RequestError as error:
            code = int(error.code)
            self._send_own(error)
        else:
            self._pass_on(response, endpoint)
        state = self.path.state
        state.metrics.requests.labels(str(code)).inc()
        state.metrics.request_seconds.observe(
            time.monotonic() - self.started_s
        )

    def _find_response(self):
        state = self.path.state
        snapshot = state.holder.snapshot
        if snapshot is None or not state.gate.is_open:
            raise exceptions.RequestError(exceptions.Code.REQUEST_NOT_READY)
        route = traffic.find_route(snapshot, self._make_head())
        if route is None:
            raise exceptions.RequestError(
                exceptions.Code.REQUEST_NO_ROUTE, self.request_id
            )
        policy = snapshot.policies[route.policy]
        deadline_s = self.started_s + self._timeout_ms(policy) / 1000
        return self._try_targets(route, policy, deadline_s)

    def _try_targets(
        self, route: bundles.Route, policy: bundles.Policy, deadline_s: float
    ):
        target_set = traffic.choose_target_set(route, self.path.rng)
        tried: list[membership.Endpoint] = []
        last = None
        while True:
            endpoint = self._take_endpoint(target_set, tried)
            if endpoint is None:
                raise _make_error(last)
            tried.append(endpoint)
            remaining_ms = int((deadline_s - time.monotonic()) * 1000)
            if remaining_ms <= 0:
                self.path.state.loads.finish(endpoint, True)
                raise _make_error(last, exceptions.Code.REQUEST_DEADLINE)
            last = self._attempt(endpoint, remaining_ms)
            if last.outcome is traffic.AttemptOutcome.ANSWERED:
                return last.response, endpoint
            self.path.state.loads.finish(endpoint, False)
            if not traffic.may_try_again(
                last.outcome,
                route,
                len(tried),
                policy.attempts,
                self.body is not None and self.body.is_consumed,
                int((deadline_s - time.monotonic()) * 1000),
            ):
                raise _make_error(last)

    def _take_endpoint(self, target_set: str, tried: list):
        state = self.path.state
        endpoints = state.view.by_set.get(target_set, ())
        while True:
            endpoint = traffic.choose_endpoint(
                endpoints,
                tried,
                state.loads,
                self.path.data_centre,
                self.path.rng,
            )
            # Another thread may have taken the last slot meanwhile.
            if endpoint is None or state.loads.start(endpoint):
                return endpoint

    def _attempt(
        self, endpoint: membership.Endpoint, remaining_ms: int
    ) -> _upstream.Attempt:
        headers = self._make_headers(remaining_ms)
        request = _upstream.UpstreamRequest(
            method=self.request.method.decode('ascii'),
            url=self._url(),
            headers=headers,
            body=None if self.body is None else iter(self.body),
            timeout_ms=remaining_ms,
        )
        try:
            return self.path.upstream.attempt(endpoint, request)
        except BaseException:
            self.path.state.loads.finish(endpoint, False)
            raise

    def _make_headers(self, remaining_ms: int) -> urllib3.HTTPHeaderDict:
        named = self.headers.get('connection', '').lower().split(',')
        dropped = HOP_HEADERS.union(name.strip() for name in named)
        headers = urllib3.HTTPHeaderDict()
        for name, value in self.headers.items():
            if name not in dropped and name != 'expect':
                headers.add(name, value)
        headers[REQUEST_ID_HEADER] = self.request_id
        headers[DEADLINE_HEADER] = str(remaining_ms)
        # The library would state an encoding and an agent of its own.
        for name in ('accept-encoding', 'user-agent'):
            if name not in headers:
                headers[name] = urllib3.util.SKIP_HEADER
        return headers

    def _make_head(self) -> traffic.RequestHead:
        host = self.headers.get('host', '').partition(':')[0].lower()
        return traffic.RequestHead(
            method=self.request.method.decode('ascii'),
            host=host,
            path=self._url().partition('?')[0],
            headers=self.headers,
        )

    def _url(self) -> str:
        return self.request.uri.decode('iso-8859-1')

    def _timeout_ms(self, policy: bundles.Policy) -> int:
        stated = self.headers.get(DEADLINE_HEADER)
        if stated is None:
            return policy.timeout_ms
        if not stated.isdecimal() or int(stated) > _MAX_DEADLINE_MS:
            raise exceptions.RequestError(
                exceptions.Code.REQUEST_MALFORMED, DEADLINE_HEADER
            )
        return min(policy.timeout_ms, int(stated))

    def _make_body(self) -> _Body | None:
        if self.request.chunked_read:
            return _Body(self.request.rfile, None)
        length = int(self.headers.get('content-length', 0))
        if not length:
            return None
        return _Body(self.request.rfile, length)

    def _pass_on(self, response, endpoint: membership.Endpoint) -> None:
        """Send the target's answer; an early end cuts the connection."""
        succeeded = False
        try:
            self._send_head(response)
            if not self._is_bodiless(response):
                for chunk in _upstream.read_body(response):
                    self.request.write(chunk)
            succeeded = True
        except exceptions.RequestError as error:
            # The head is out: only a cut connection can tell the caller
            # that the body is not whole.
            self.request.close_connection = True
            LOG.warning(
                'answer cut',
                extra={
                    'code': int(error.code),
                    'request_id': self.request_id,
                    'detail': error.detail,
                },
            )
            raise
        finally:
            self.path.state.loads.finish(endpoint, succeeded)
            if succeeded:
                response.release_conn()
            else:
                self.path.upstream.drop(response)

    def _send_head(self, response) -> None:
        status = f'{response.status} {response.reason or ""}'.strip()
        self.request.status = status.encode('iso-8859-1')
        out = self.request.outheaders
        for name, value in response.headers.iteritems():
            if name.lower() not in HOP_HEADERS:
                out.append(
                    (name.encode('iso-8859-1'), value.encode('iso-8859-1'))
                )
        out.append((b'X-Request-Id', self.request_id.encode()))
        self._finish_head()

    def _is_bodiless(self, response) -> bool:
        is_head = self.request.method == b'HEAD'
        return is_head or response.status in _METHODS_WITHOUT_BODY

    def _send_own(self, error: exceptions.RequestError) -> None:
        answer = _answers.make_answer(error)
        if self.body is not None:
            # What is left of the body is not read, so the connection
            # cannot carry another request.
            self.request.close_connection = True
        self.request.status = answer.status
        self.request.outheaders.extend(answer.headers)
        self.request.outheaders.append(
            (b'X-Request-Id', self.request_id.encode())
        )
        self._finish_head()
        if self.request.method != b'HEAD':
            self.request.write(answer.body)

    def _finish_head(self) -> None:
        if self.path.state.gate.is_leaving:
            self.request.close_connection = True
        self.request.sent_headers = True
        self.request.send_headers()


class _Gateway(cheroot_server.Gateway):
    """Hands each request to the data path."""

    def respond(self):
        """Answer one request."""
        path = self.req.server.data_path
        path.state.gate.enter()
        try:
            _Exchange(self.req, path).run()
        except _CallerGone:
            self.req.close_connection = True
            raise
        finally:
            path.state.gate.leave()


class DataPath:
    """The request side of one proxy.

    Parameters
    ----------
    state : RequestState
        What is shared with the control thread.
    data_centre : DataCentre
        Of this host.
    upstream : Upstream
        Connections to targets.
    rng : random.Random
        Source of choices.
    server : HTTPServer
        Listens for callers.
    """

    def __init__(self, state, data_centre, upstream, rng, server):
        self.state: _shared.RequestState = state
        self.data_centre = data_centre
        self.upstream: _upstream.Upstream = upstream
        self.rng: random.Random = rng
        self.server: cheroot_server.HTTPServer = server

    def start(self) -> None:
        """Bind the port, then serve in the background."""
        self.server.prepare()
        threading.Thread(
            target=self.server.serve, name='data-path', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop listening and end idle connections."""
        self.server.stop()


def make_data_path(
    proxy_settings: settings.ProxySettings,
    state: _shared.RequestState,
    rng: random.Random,
) -> DataPath:
    """Make the request side of a proxy.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Address, port and limits.
    state : RequestState
        What is shared with the control thread.
    rng : random.Random
        Source of choices.
    """
    limits = proxy_settings.traffic
    server = cheroot_server.HTTPServer(
        (str(proxy_settings.address), proxy_settings.data_port),
        _Gateway,
        minthreads=limits.threads,
        maxthreads=limits.threads,
        server_name='sedgering',
    )
    server.request_queue_size = limits.queue_limit
    server.timeout = limits.caller_timeout_ms / 1000
    server.max_request_header_size = MAX_HEADER_BYTES
    server.error_log = _log_server_error
    path = DataPath(
        state,
        proxy_settings.data_centre,
        _upstream.Upstream(),
        rng,
        server,
    )
    server.data_path = path
    return path


def _log_server_error(msg='', level=logging.INFO, traceback=False) -> None:
    LOG.log(min(level, logging.INFO), 'connection: %s', msg)


def _decode_headers(inheaders: dict[bytes, bytes]) -> dict[str, str]:
    return {
        name.decode('iso-8859-1').lower(): value.decode('iso-8859-1')
        for name, value in inheaders.items()
    }


def _make_error(
    last: _upstream.Attempt | None,
    code: exceptions.Code = exceptions.Code.REQUEST_NO_TARGET,
) -> exceptions.RequestError:
    """Make the error that tells what is known after the last attempt."""
    if last is None:
        return exceptions.RequestError(code)
    if last.outcome is traffic.AttemptOutcome.UNKNOWN:
        code = exceptions.Code.REQUEST_UNKNOWN
    elif last.outcome is traffic.AttemptOutcome.REFUSED:
        code = exceptions.Code.REQUEST_NOT_RUN
    return exceptions.RequestError(code, last.detail)
