"""One attempt at one target over urllib3."""

from collections.abc import Iterator
import threading

import msgspec
import urllib3

from sedgering import exceptions
from sedgering import membership
from sedgering import traffic

__all__ = ['Attempt', 'Upstream', 'UpstreamRequest']

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
UNAVAILABLE = 503
#: Pools kept for targets; the least recently used one is closed.
POOLS_LIMIT = 256

_NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class UpstreamRequest(msgspec.Struct, frozen=True):
    """What goes to a target.

    Parameters
    ----------
    method, url : str
        Request line; the URL is path and query.
    headers : HTTPHeaderDict
        End-to-end headers.
    body : iterator of bytes or None
        Consumed while it is sent.
    timeout_ms : int
        Time until the deadline.
    """

    method: str
    url: str
    headers: urllib3.HTTPHeaderDict
    body: Iterator[bytes] | None
    timeout_ms: int


class Attempt(msgspec.Struct, frozen=True):
    """How one attempt ended; with the response when there is one."""

    outcome: traffic.AttemptOutcome
    response: urllib3.BaseHTTPResponse | None = None
    detail: str = ''


class Upstream:
    """Connections to targets.

    A connection whose exchange did not end cleanly is closed by urllib3
    or by :meth:`Upstream.drop`, and never used again.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], urllib3.HTTPConnectionPool] = {}

    def attempt(
        self, endpoint: membership.Endpoint, request: UpstreamRequest
    ) -> Attempt:
        """Send a request to one target and wait for the response head.

        Returns
        -------
        Attempt
            With outcome ANSWERED, the caller reads the response and then
            releases or drops its connection.
        """
        timeout_s = request.timeout_ms / 1000
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            response = self._pool(endpoint).urlopen(
                request.method,
                request.url,
                body=request.body,
                headers=request.headers,
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
                chunked=_is_chunked(request),
            )
        except _NEVER_SENT as error:
            return Attempt(traffic.AttemptOutcome.NOT_SENT, None, str(error))
        except urllib3.exceptions.HTTPError as error:
            detail = f'{type(error).__name__}: {error}'
            return Attempt(traffic.AttemptOutcome.UNKNOWN, None, detail)
        if _is_refusal(response):
            response.drain_conn()
            return Attempt(traffic.AttemptOutcome.REFUSED)
        return Attempt(traffic.AttemptOutcome.ANSWERED, response)

    def drop(self, response: urllib3.BaseHTTPResponse) -> None:
        """Close a connection whose response was not read to its end."""
        response.close()

    def _pool(
        self, endpoint: membership.Endpoint
    ) -> urllib3.HTTPConnectionPool:
        key = (endpoint.address, endpoint.port)
        with self._lock:
            pool = self._pools.pop(key, None)
            if pool is None:
                pool = urllib3.HTTPConnectionPool(
                    endpoint.address, endpoint.port, maxsize=endpoint.slots
                )
            # Re-inserted last: the first one is the least recently used.
            self._pools[key] = pool
            if len(self._pools) > POOLS_LIMIT:
                oldest = next(iter(self._pools))
                self._pools.pop(oldest).close()
        return pool


def _is_chunked(request: UpstreamRequest) -> bool:
    has_length = 'content-length' in request.headers
    return request.body is not None and not has_length


def _is_refusal(response: urllib3.BaseHTTPResponse) -> bool:
    marker = response.headers.get(traffic.NOT_RUN_HEADER)
    return response.status == UNAVAILABLE and marker is not None


def read_body(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Read a response body in pieces.

    Raises
    ------
    RequestError
        When the target's body ends early.
    """
    try:
        yield from response.stream(CHUNK_BYTES, decode_content=False)
    except urllib3.exceptions.HTTPError as error:
        raise exceptions.RequestError(
            exceptions.Code.REQUEST_UNKNOWN, f'short body: {error}'
        ) from error
