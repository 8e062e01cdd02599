"""Headers on their way in and out."""

from cheroot import server as cheroot_server
import urllib3

from sedgering import exceptions

__all__ = [
    'ATTEMPTS_HEADER',
    'DEADLINE_HEADER',
    'HOP_HEADERS',
    'IDEMPOTENCY_HEADER',
    'KEY_SCHEME',
    'LOAD_HEADER',
    'REQUEST_ID_HEADER',
    'WORKSPACE_HEADER',
    'decode_headers',
    'make_request_headers',
    'parse_number',
]

REQUEST_ID_HEADER = 'x-request-id'
#: Time until the deadline, in milliseconds; shrinks on the way.
DEADLINE_HEADER = 'x-deadline-ms'
#: Attempts that proxies on the way made beyond their first.
ATTEMPTS_HEADER = 'x-attempts-spent'
#: Names a request that may come again; the guard claims it.
IDEMPOTENCY_HEADER = 'idempotency-key'
#: Stands before the key of a workspace.
KEY_SCHEME = 'Bearer'
#: Name of the workspace that asks, for the target.
WORKSPACE_HEADER = 'x-workspace'
#: Slots in use, on answers of targets.
LOAD_HEADER = 'X-Target-Load'
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
_SKIPPED = HOP_HEADERS | {'expect'}


def decode_headers(
    request: cheroot_server.HTTPRequest,
) -> dict[str, str]:
    """Decode request headers; names in lower case."""
    return {
        name.decode('iso-8859-1').lower(): value.decode('iso-8859-1')
        for name, value in request.inheaders.items()
    }


def make_request_headers(headers: dict[str, str]) -> dict[str, str]:
    """Make the end-to-end headers that go to a target."""
    skipped = _SKIPPED
    if 'connection' in headers:
        named = headers['connection'].lower().split(',')
        skipped = skipped.union(name.strip() for name in named)
    passed = {
        name: value for name, value in headers.items() if name not in skipped
    }
    # The library would state an encoding and an agent of its own.
    passed.setdefault('accept-encoding', urllib3.util.SKIP_HEADER)
    passed.setdefault('user-agent', urllib3.util.SKIP_HEADER)
    return passed


def parse_number(headers: dict[str, str], name: str, limit: int) -> int | None:
    """Parse a header that holds a natural number.

    Raises
    ------
    RequestError
        When it holds something else.
    """
    stated = headers.get(name)
    if stated is None:
        return None
    if not stated.isascii() or not stated.isdigit() or len(stated) > 9:
        raise exceptions.RequestError(exceptions.Code.REQUEST_MALFORMED, name)
    return min(int(stated), limit)
