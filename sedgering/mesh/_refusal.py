"""Responses to callers whose requests got no answer of a target."""

import json

from sedgering import base
from sedgering import exceptions
from sedgering import transport

__all__ = ['make_refusal', 'may_have_run']

SERVICE_UNAVAILABLE = 503
UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429
#: Status by code. All other codes mean that the request has not run and never
#: will: 503.
_STATUS = {
    exceptions.Code.REQUEST_NO_ROUTE: 404,
    exceptions.Code.REQUEST_MALFORMED: 400,
    exceptions.Code.REQUEST_KEY_UNKNOWN: 401,
    exceptions.Code.REQUEST_UNKNOWN: 502,
    exceptions.Code.REQUEST_LATE: 504,
    exceptions.Code.REQUEST_QUOTA: TOO_MANY_REQUESTS,
}
#: Codes after which the outcome of the request is not known.
_UNKNOWN_OUTCOME_CODES = frozenset(
    (exceptions.Code.REQUEST_UNKNOWN, exceptions.Code.REQUEST_LATE)
)
#: Statuses that carry Retry-After.
_RETRY_AFTER_STATUSES = frozenset((TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE))


def may_have_run(code: exceptions.Code) -> bool:
    """Whether a target may have run a request that ended with a code."""
    return code in _UNKNOWN_OUTCOME_CODES


def make_refusal(
    code: exceptions.Code,
    id_field: str,
    request_id: base.RequestId,
    pause_s: float,
    key_scheme: str = '',
) -> transport.Response:
    """Make the response of the daemon itself to a refused request.

    Parameters
    ----------
    code : Code
        Reason of the refusal.
    id_field : str
        Name of the header field of the request id.
    request_id : str
        Id that the caller set; empty when it set none.
    pause_s : float
        Value of Retry-After, sent when the request has not run.
    key_scheme : str
        Authentication scheme of keys, sent when a key is missing or unknown.
    """
    status = _STATUS.get(code, SERVICE_UNAVAILABLE)
    headers = [('Content-Type', 'application/json')]
    if request_id:
        headers.append((id_field, request_id))
    if status in _RETRY_AFTER_STATUSES:
        headers.append(('Retry-After', f'{pause_s:.3f}'))
    if status == UNAUTHORIZED:
        headers.append(('WWW-Authenticate', key_scheme))
    body = json.dumps({'code': int(code), 'error': code.text}).encode()
    return transport.Response(status, headers, body)
