"""Attempts at targets over urllib3's connections.

urllib3's connection objects are used directly, without its pool manager:
an attempt that is no longer wanted can be cancelled by closing its
connection.  Answers are read through http.client, on which these
connections are built: see docs/design/0006-call-overhead.md.
"""

from collections.abc import Iterator
import http.client
import select
import socket
import threading
import time

import msgspec
import urllib3
from urllib3 import connection as urllib3_connection

from sedgering import exceptions
from sedgering import membership
from sedgering import responses
from sedgering import traffic

__all__ = ['Attempt', 'CallerGone', 'Flight', 'Upstream', 'UpstreamRequest']

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
UNAVAILABLE = 503
#: Idle time after which a kept connection is not used again: a target
#: that closes it at the same moment would leave the outcome unknown.
IDLE_LIMIT_S = 4.0
#: Pools kept; the least recently used one is closed.
POOLS_LIMIT = 256
_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT
_READABLE = select.POLLIN | select.POLLHUP | select.POLLERR

_FAILURES = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class CallerGone(Exception):
    """The caller went away; nothing can be told to it."""


class UpstreamRequest(msgspec.Struct, frozen=True):
    """What goes to a target.

    Parameters
    ----------
    method, url : str
        Request line; the URL is path and query.
    headers : dict of str to str
        End-to-end headers.
    body : iterator of bytes or None
        Consumed while it is sent.
    is_chunked : bool
        Whether the length of the body is unknown.
    timeout_ms : int
        Time until the deadline.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: Iterator[bytes] | None
    is_chunked: bool
    timeout_ms: int


class Flight:
    """An attempt under way: a request was sent on a connection.

    Parameters
    ----------
    endpoint : Endpoint
        Where to.
    connection : HTTPConnection
        Used for nothing else meanwhile.
    """

    def __init__(self, endpoint, connection):
        self.endpoint: membership.Endpoint = endpoint
        self.connection: urllib3_connection.HTTPConnection = connection
        self.started_s = time.monotonic()

    @property
    def elapsed_ms(self) -> float:
        """Time since the start."""
        return (time.monotonic() - self.started_s) * 1000


class Attempt(msgspec.Struct, frozen=True):
    """How one attempt ended, or that it is under way."""

    outcome: traffic.AttemptOutcome | None
    endpoint: membership.Endpoint
    flight: Flight | None = None
    response: http.client.HTTPResponse | None = None
    detail: str = ''


class _Pool:
    """Idle connections to one target, the last used first."""

    def __init__(self, endpoint: membership.Endpoint):
        self.endpoint = endpoint
        self._lock = threading.Lock()
        self._idle: list[tuple[float, urllib3_connection.HTTPConnection]] = []

    def take(self) -> urllib3_connection.HTTPConnection | None:
        """Take an idle connection that is still sound."""
        limit_s = time.monotonic() - IDLE_LIMIT_S
        while True:
            with self._lock:
                if not self._idle:
                    return None
                since_s, connection = self._idle.pop()
            if since_s >= limit_s and connection.is_connected:
                return connection
            connection.close()

    def put(self, connection: urllib3_connection.HTTPConnection) -> None:
        """Keep a connection whose exchange ended cleanly."""
        with self._lock:
            if len(self._idle) < self.endpoint.slots:
                self._idle.append((time.monotonic(), connection))
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for _since_s, connection in idle:
            connection.close()


class Upstream:
    """Connections to targets.

    A connection whose exchange did not end cleanly is closed, and never
    used again: a late answer can then reach nobody.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], _Pool] = {}

    def start(
        self, endpoint: membership.Endpoint, request: UpstreamRequest
    ) -> Attempt:
        """Send a request to one target.

        Returns
        -------
        Attempt
            With a flight when the request is under way.

        Raises
        ------
        CallerGone
            When the caller's body ends early; the target's connection is
            closed then.
        """
        timeout_s = max(0.001, request.timeout_ms / 1000)
        connection = self._find_pool(endpoint).take()
        if connection is None:
            connection = urllib3_connection.HTTPConnection(
                endpoint.address,
                endpoint.port,
                timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            )
            connection.response_class = responses.WholeResponse
            try:
                connection.connect()
            except _FAILURES as error:
                connection.close()
                return Attempt(
                    traffic.AttemptOutcome.NOT_SENT,
                    endpoint,
                    detail=_describe(error),
                )
        connection.timeout = timeout_s
        flight = Flight(endpoint, connection)
        return self._send(flight, request)

    def wait(
        self,
        flights: list[Flight],
        caller: socket.socket,
        timeout_ms: float,
    ) -> Flight | None:
        """Wait for the first answer.

        Returns
        -------
        Flight or None
            The one whose answer begins; None when time runs out.

        Raises
        ------
        CallerGone
            When the caller closes its connection meanwhile.
        """
        poller = select.poll()
        by_descriptor = {}
        for flight in flights:
            descriptor = flight.connection.sock.fileno()
            by_descriptor[descriptor] = flight
            poller.register(descriptor, _READABLE)
        caller_descriptor = caller.fileno()
        poller.register(caller_descriptor, _READABLE)
        deadline_s = time.monotonic() + timeout_ms / 1000
        while True:
            remaining_ms = (deadline_s - time.monotonic()) * 1000
            ready = poller.poll(max(0, remaining_ms))
            if not ready:
                return None
            for descriptor, _event in ready:
                if descriptor in by_descriptor:
                    return by_descriptor[descriptor]
            if _is_closed(caller):
                raise CallerGone
            # The caller's next request is there already; it can wait.
            poller.unregister(caller_descriptor)

    def finish(self, flight: Flight) -> Attempt:
        """Read the head of an answer."""
        try:
            response = http.client.HTTPConnection.getresponse(
                flight.connection
            )
        except TimeoutError as error:
            return self._fail(flight, traffic.AttemptOutcome.LATE, error)
        except _FAILURES as error:
            return self._fail(flight, traffic.AttemptOutcome.UNKNOWN, error)
        if _is_refusal(response):
            self.drop(flight)
            return Attempt(traffic.AttemptOutcome.REFUSED, flight.endpoint)
        return Attempt(
            traffic.AttemptOutcome.ANSWERED,
            flight.endpoint,
            flight,
            response,
        )

    def release(self, attempt: Attempt) -> None:
        """Keep the connection of an exchange that ended cleanly."""
        flight = attempt.flight
        attempt.response.close()
        if flight.connection.sock is not None:
            self._find_pool(flight.endpoint).put(flight.connection)

    def drop(self, flight: Flight) -> None:
        """Close the connection of an exchange; cancels it if under way."""
        flight.connection.close()

    def _send(self, flight: Flight, request: UpstreamRequest) -> Attempt:
        try:
            flight.connection.request(
                request.method,
                request.url,
                body=request.body,
                headers=request.headers,
                chunked=request.is_chunked,
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # The target may have answered early, with a refusal say.
            return self.finish(flight)
        except _FAILURES as error:
            return self._fail(flight, traffic.AttemptOutcome.UNKNOWN, error)
        except BaseException:
            self.drop(flight)
            raise
        return Attempt(None, flight.endpoint, flight)

    def _fail(
        self,
        flight: Flight,
        outcome: traffic.AttemptOutcome,
        error: Exception,
    ) -> Attempt:
        self.drop(flight)
        return Attempt(outcome, flight.endpoint, detail=_describe(error))

    def _find_pool(self, endpoint: membership.Endpoint) -> _Pool:
        key = (endpoint.address, endpoint.port)
        with self._lock:
            pool = self._pools.pop(key, None)
            if pool is None:
                pool = _Pool(endpoint)
            # Re-inserted last: the first one is the least recently used.
            self._pools[key] = pool
            if len(self._pools) > POOLS_LIMIT:
                oldest = next(iter(self._pools))
                self._pools.pop(oldest).close()
        return pool


def read_body(response: http.client.HTTPResponse) -> Iterator[bytes]:
    """Read a response body in pieces, each as soon as it is there.

    Raises
    ------
    RequestError
        When the target's body ends early.
    """
    try:
        while chunk := response.read1(CHUNK_BYTES):
            yield chunk
    except _FAILURES as error:
        raise _short_body(_describe(error)) from error
    # An end before the stated length raises nothing by itself.
    if response.length:
        raise _short_body(f'{response.length} bytes missing')


def _short_body(detail: str) -> exceptions.RequestError:
    return exceptions.RequestError(
        exceptions.Code.REQUEST_UNKNOWN, f'short body: {detail}'
    )


def _is_refusal(response: http.client.HTTPResponse) -> bool:
    if response.status != UNAVAILABLE:
        return False
    return response.getheader(traffic.NOT_RUN_HEADER) is not None


def _is_closed(caller: socket.socket) -> bool:
    try:
        return not caller.recv(1, _PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
