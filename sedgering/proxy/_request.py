"""What is known of a request when its head has been read."""

from cheroot import server as cheroot_server

from sedgering import base
from sedgering import bundle as bundles
from sedgering import clock
from sedgering.proxy import _body
from sedgering.proxy import _headers
from sedgering.proxy import _shared

__all__ = ['CallerRequest', 'make_caller_request', 'make_random_id']

MAX_DEADLINE_MS = 3_600_000
MAX_ATTEMPTS_SPENT = 100
_ID_BITS = 128


class CallerRequest:
    """A caller's request.

    Parameters
    ----------
    raw : HTTPRequest
        Of cheroot; the answer is written through it.
    headers : dict of str to str
        Names in lower case.
    request_id : RequestId
        As the caller states it, or made here.
    body : CallerBody or None
        Not yet read.
    started_ms : int
        Monotonic time at which the head had been read.
    """

    def __init__(self, raw, headers, request_id, body, started_ms):
        self.raw: cheroot_server.HTTPRequest = raw
        self.headers: dict[str, str] = headers
        self.request_id: base.RequestId = request_id
        self.body: _body.CallerBody | None = body
        self.started_ms: int = started_ms
        self.method = raw.method.decode('ascii')
        self.url = raw.uri.decode('iso-8859-1')
        self.deadline_ms = started_ms

    @property
    def remaining_ms(self) -> int:
        """Time until the deadline."""
        return self.deadline_ms - clock.monotonic_ms()

    @property
    def is_body_consumed(self) -> bool:
        """Whether part of the body is gone and cannot be sent again."""
        return self.body is not None and self.body.is_consumed

    @property
    def attempts_spent(self) -> int:
        """Attempts that earlier proxies made beyond their first."""
        return (
            _headers.parse_number(
                self.headers, _headers.ATTEMPTS_HEADER, MAX_ATTEMPTS_SPENT
            )
            or 0
        )

    def make_head(self) -> bundles.RequestHead:
        """Make what routing needs."""
        host = self.headers.get('host', '').partition(':')[0].lower()
        path = self.url.partition('?')[0]
        return bundles.RequestHead(self.method, host, path, self.headers)

    def set_deadline(self, policy: bundles.Policy) -> None:
        """Set the deadline: the policy's, or an earlier one as stated.

        Raises
        ------
        RequestError
            When the stated deadline is no number.
        """
        timeout_ms = policy.timeout_ms
        stated_ms = _headers.parse_number(
            self.headers, _headers.DEADLINE_HEADER, MAX_DEADLINE_MS
        )
        if stated_ms is not None:
            timeout_ms = min(timeout_ms, stated_ms)
        self.deadline_ms = self.started_ms + timeout_ms


def make_caller_request(
    raw: cheroot_server.HTTPRequest, state: _shared.RequestState
) -> CallerRequest:
    """Make the request whose head cheroot has read."""
    headers = _headers.decode_headers(raw)
    request_id = headers.get(_headers.REQUEST_ID_HEADER)
    return CallerRequest(
        raw,
        headers,
        base.RequestId(request_id or make_random_id(state)),
        _body.make_body(raw),
        clock.monotonic_ms(),
    )


def make_random_id(state: _shared.RequestState) -> str:
    """Make an id; faster than a UUID, which asks the system."""
    return f'{state.rng.getrandbits(_ID_BITS):032x}'
