"""What a caller is told that gets no answer of a target."""

import json

from sedgering import base
from sedgering import exceptions
from sedgering import transport

__all__ = ['make_refusal', 'may_have_run']

NOT_RUN = 503
UNAUTHORIZED = 401
BEYOND_QUOTA = 429
#: All other codes say that the request has not run and never will.
_STATUS = {
    exceptions.Code.REQUEST_NO_ROUTE: 404,
    exceptions.Code.REQUEST_MALFORMED: 400,
    exceptions.Code.REQUEST_KEY_UNKNOWN: 401,
    exceptions.Code.REQUEST_UNKNOWN: 502,
    exceptions.Code.REQUEST_LATE: 504,
    exceptions.Code.REQUEST_QUOTA: BEYOND_QUOTA,
}
#: The outcome of such requests is not known.
_UNKNOWN = frozenset(
    (exceptions.Code.REQUEST_UNKNOWN, exceptions.Code.REQUEST_LATE)
)
#: That tell when to come back.
_PAUSED = frozenset((BEYOND_QUOTA, NOT_RUN))


def may_have_run(code: exceptions.Code) -> bool:
    """Say whether a target may have run a request that ends so."""
    return code in _UNKNOWN


def make_refusal(
    code: exceptions.Code,
    id_field: str,
    request_id: base.RequestId,
    pause_s: float,
    key_scheme: str = '',
) -> transport.Response:
    """Make the answer of the daemon's own to a request.

    Parameters
    ----------
    code : Code
        Why.
    id_field : str
        Name of the field that carries the id.
    request_id : str
        Of the caller; empty without one.
    pause_s : float
        When to come back, told where the request has not run.
    key_scheme : str
        Scheme in which a key is sent, told where one is missing.
    """
    status = _STATUS.get(code, NOT_RUN)
    headers = [('Content-Type', 'application/json')]
    if request_id:
        headers.append((id_field, request_id))
    if status in _PAUSED:
        headers.append(('Retry-After', f'{pause_s:.3f}'))
    if status == UNAUTHORIZED:
        headers.append(('WWW-Authenticate', key_scheme))
    body = json.dumps({'code': int(code), 'error': code.text}).encode()
    return transport.Response(status, headers, body)
