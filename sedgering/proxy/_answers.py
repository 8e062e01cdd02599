"""Answers of the proxy's own, each with its code and what is known."""

import enum

import msgspec

from sedgering import exceptions
from sedgering.proxy import _headers

__all__ = ['CODE_HEADER', 'OUTCOME_HEADER', 'Answer', 'Told', 'make_answer']

CODE_HEADER = b'X-Sedgering-Code'
OUTCOME_HEADER = b'X-Sedgering-Outcome'
RETRY_AFTER_S = b'1'


class Told(enum.Enum):
    """What a caller is told of a request that got no answer."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    #: An earlier request with the same key ran; this one did not.
    RUN_BEFORE = 'run-before'


class Answer(msgspec.Struct, frozen=True):
    """An answer that the proxy gives itself.

    Parameters
    ----------
    status : bytes
        Status line without the protocol.
    told : Told
        Whether the request is known not to have run.
    headers : tuple of (bytes, bytes)
        Content headers included.
    body : bytes
        JSON.
    """

    status: bytes
    told: Told
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class _Body(msgspec.Struct, frozen=True):
    code: int
    outcome: str
    message: str


_UNAVAILABLE = b'503 Service Unavailable'
_UNAUTHORIZED = b'401 Unauthorized'
_STATUSES = {
    exceptions.Code.REQUEST_NO_ROUTE: b'404 Not Found',
    exceptions.Code.REQUEST_NO_TARGET: _UNAVAILABLE,
    exceptions.Code.REQUEST_NOT_RUN: _UNAVAILABLE,
    exceptions.Code.REQUEST_NOT_READY: _UNAVAILABLE,
    exceptions.Code.REQUEST_SHED: _UNAVAILABLE,
    exceptions.Code.REQUEST_LEAVING: _UNAVAILABLE,
    exceptions.Code.REQUEST_GUARD_DOWN: _UNAVAILABLE,
    exceptions.Code.REQUEST_KEY_UNKNOWN: _UNAUTHORIZED,
    exceptions.Code.REQUEST_KEY_UNSURE: _UNAVAILABLE,
    exceptions.Code.REQUEST_ALREADY_RUN: b'409 Conflict',
    exceptions.Code.REQUEST_CLAIMED: b'409 Conflict',
    exceptions.Code.REQUEST_KEY_REUSED: b'422 Unprocessable Content',
    exceptions.Code.REQUEST_MALFORMED: b'400 Bad Request',
    exceptions.Code.REQUEST_DEADLINE: b'504 Gateway Timeout',
    exceptions.Code.REQUEST_LATE: b'504 Gateway Timeout',
    exceptions.Code.REQUEST_UNKNOWN: b'502 Bad Gateway',
}
_TOLD = {
    exceptions.Code.REQUEST_UNKNOWN: Told.UNKNOWN,
    exceptions.Code.REQUEST_LATE: Told.UNKNOWN,
    exceptions.Code.REQUEST_CLAIMED: Told.UNKNOWN,
    exceptions.Code.REQUEST_ALREADY_RUN: Told.RUN_BEFORE,
}


def make_answer(error: exceptions.RequestError) -> Answer:
    """Make the answer that tells a caller of an error."""
    told = _TOLD.get(error.code, Told.NOT_RUN)
    status = _STATUSES[error.code]
    body = msgspec.json.encode(
        _Body(code=int(error.code), outcome=told.value, message=str(error))
    )
    headers = [
        (b'Content-Type', b'application/json'),
        (b'Content-Length', str(len(body)).encode()),
        (CODE_HEADER, str(int(error.code)).encode()),
        (OUTCOME_HEADER, told.value.encode()),
    ]
    if status == _UNAUTHORIZED:
        headers.append((b'WWW-Authenticate', _headers.KEY_SCHEME.encode()))
    if status == _UNAVAILABLE:
        headers.append((b'Retry-After', RETRY_AFTER_S))
    return Answer(status, told, tuple(headers), body)
