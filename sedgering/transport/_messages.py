"""Requests and responses with whole bodies, and their encoding."""

import http
import json

import msgspec

from sedgering.transport import _headers

__all__ = [
    'Request',
    'Response',
    'encode_request',
    'encode_response',
    'make_json_response',
]

_REASONS = {int(item): item.phrase for item in http.HTTPStatus}


class Request(msgspec.Struct):
    """A request whose body has arrived whole.

    Parameters
    ----------
    method : str
        As received.
    url : str
        Path and query as received.
    headers : Headers
        As received.
    body : bytes
        Decoded from chunks; empty where there is none.
    has_body : bool
        Whether the request stated a body, be it empty.
    received_s : float
        Time of the event loop at which its head began to arrive.
    fields : dict of str to str or None
        First value of each field by its name in lower case, as it was
        received: a message is asked for a dozen of them.  None where it was
        not received.
    workspace : str
        That asks, where a daemon has found it out; its key is no field any
        more.
    """

    method: str
    url: str
    headers: _headers.Headers
    body: bytes = b''
    has_body: bool = False
    received_s: float = 0.0
    fields: dict[str, str] | None = None
    workspace: str = ''

    def find(self, name: str) -> str | None:
        """Return the first value of a field; `name` is in lower case."""
        if self.fields is None:
            return _headers.find_header(self.headers, name)
        return self.fields.get(name)


class Response(msgspec.Struct):
    """A response whose body has arrived whole.

    Parameters
    ----------
    status : int
        Status code.
    headers : Headers
        As received, or as they are to be sent.
    body : bytes
        Decoded from chunks.
    reason : str
        Reason phrase; the standard one where it is empty.
    must_close : bool
        Whether the connection is closed after it.
    fields : dict of str to str or None
        First value of each field by its name in lower case, as it was
        received: a message is asked for a dozen of them.  None where it was
        not received.
    """

    status: int
    headers: _headers.Headers
    body: bytes = b''
    reason: str = ''
    must_close: bool = False
    fields: dict[str, str] | None = None

    def find(self, name: str) -> str | None:
        """Return the first value of a field; `name` is in lower case."""
        if self.fields is None:
            return _headers.find_header(self.headers, name)
        return self.fields.get(name)


def encode_request(
    request: Request, headers: _headers.Headers | None = None
) -> bytes:
    """Encode a request with the length of its body.

    Parameters
    ----------
    request : Request
        To send.
    headers : Headers or None
        Sent in place of its own.
    """
    if headers is None:
        headers = request.headers
    lines = [f'{request.method} {request.url} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if request.has_body or request.body:
        lines.append(f'Content-Length: {len(request.body)}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1') + request.body


def encode_response(
    response: Response, connection: str, is_head: bool = False
) -> bytes:
    """Encode a response with the length of its body.

    Parameters
    ----------
    response : Response
        To send.
    connection : str
        Lines of the fields ``Connection`` and ``Keep-Alive``.
    is_head : bool
        Whether it answers a HEAD request, which gets no body.
    """
    reason = response.reason or _REASONS.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines += [f'{name}: {value}' for name, value in response.headers]
    lines.append(connection)
    has_body = response.status >= 200 and response.status not in (204, 304)
    if has_body:
        lines.append(f'Content-Length: {len(response.body)}')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return head if is_head or not has_body else head + response.body


def make_json_response(status: int, value: object) -> Response:
    """Make a response with a JSON body."""
    return Response(
        status,
        [('Content-Type', 'application/json')],
        json.dumps(value).encode(),
    )
