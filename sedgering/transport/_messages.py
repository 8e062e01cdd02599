"""Requests and responses with complete bodies, and their encoding."""

import http
import json

import msgspec

from sedgering.transport import _headers

__all__ = [
    'EncodedResponse',
    'Request',
    'Response',
    'encode_request',
    'encode_response',
    'make_json_response',
]

#: Larger bodies are not copied behind the head.
JOINED_BYTES = 8 * 1024

_REASON_PHRASES = {int(item): item.phrase for item in http.HTTPStatus}


class Request(msgspec.Struct):
    """A request with its complete body.

    Parameters
    ----------
    method : str
        Method as received.
    url : str
        Path and query as received.
    headers : Headers
        Fields as received.
    body : bytes
        Body without chunked transfer coding; empty when there is none.
    has_body : bool
        Whether the request declares a body, even an empty one.
    received_s : float
        Time of the event loop at which the head began to arrive.
    fields : dict of str to str or None
        First value of each received field by its lower-case name.  The index
        pays off because about a dozen fields are looked up per message.
        None for a message that was not received.
    workspace : str
        Workspace of the caller, once a daemon has identified it by its key;
        the key is then no longer among the fields.
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
        """Return the first value of a field; `name` must be lower case."""
        if self.fields is None:
            return _headers.find_header(self.headers, name)
        return self.fields.get(name)


class Response(msgspec.Struct):
    """A response with its complete body.

    Parameters
    ----------
    status : int
        Status code.
    headers : Headers
        Fields as received, or as they are to be sent.
    body : bytes
        Body without chunked transfer coding.
    reason : str
        Reason phrase; if empty, the standard one of the status.
    must_close : bool
        Whether the connection is closed after the response.
    fields : dict of str to str or None
        First value of each received field by its lower-case name.  The index
        pays off because about a dozen fields are looked up per message.
        None for a message that was not received.
    """

    status: int
    headers: _headers.Headers
    body: bytes = b''
    reason: str = ''
    must_close: bool = False
    fields: dict[str, str] | None = None

    def find(self, name: str) -> str | None:
        """Return the first value of a field; `name` must be lower case."""
        if self.fields is None:
            return _headers.find_header(self.headers, name)
        return self.fields.get(name)


class EncodedResponse(msgspec.Struct):
    """A response as it is sent.

    Parameters
    ----------
    head : bytes
        Head, with a small body behind it.
    body : bytes
        A large body; empty otherwise.
    """

    head: bytes
    body: bytes = b''

    @property
    def size_bytes(self) -> int:
        """Size of head and body."""
        return len(self.head) + len(self.body)


def encode_request(
    request: Request, headers: _headers.Headers | None = None
) -> bytes:
    """Encode a request with the Content-Length of its body.

    Parameters
    ----------
    request : Request
        Request to send.
    headers : Headers or None
        Sent instead of the fields of the request.
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
) -> EncodedResponse:
    """Encode a response with the Content-Length of its body.

    Parameters
    ----------
    response : Response
        Response to send.
    connection : str
        Encoded header line ``Connection`` or ``Keep-Alive``.
    is_head : bool
        Whether the request was a HEAD request, whose response has no body.
    """
    reason = response.reason or _REASON_PHRASES.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines += [f'{name}: {value}' for name, value in response.headers]
    lines.append(connection)
    has_body = response.status >= 200 and response.status not in (204, 304)
    if has_body:
        lines.append(f'Content-Length: {len(response.body)}')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    if is_head or not has_body:
        return EncodedResponse(head)
    if len(response.body) <= JOINED_BYTES:
        return EncodedResponse(head + response.body)
    return EncodedResponse(head, response.body)


def make_json_response(status: int, value: object) -> Response:
    """Make a response with a JSON body."""
    return Response(
        status,
        [('Content-Type', 'application/json')],
        json.dumps(value).encode(),
    )
