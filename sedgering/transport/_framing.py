"""Checks that a request is framed in only one way."""

from sedgering.transport import _headers
from sedgering.transport import _messages

__all__ = ['RefusedRequest', 'check_framing']


class RefusedRequest(Exception):
    """The request is answered with an error status by the connection.

    Parameters
    ----------
    status : int
        Status code of the response.
    """

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


#: Fields that must not be repeated: two recipients may interpret the
#: repetition differently, which allows request smuggling.
_SINGLETON_FIELDS = frozenset(('content-length', 'transfer-encoding', 'host'))


def check_framing(request: _messages.Request, version: str) -> None:
    """Refuse heads that two recipients may frame differently (RFC 9112)."""
    fields = request.fields
    if '' in fields or '\0' in ''.join([item[1] for item in request.headers]):
        raise RefusedRequest(400)
    if len(fields) < len(request.headers):
        _check_repeats(request.headers)
    if version == '1.1' and 'host' not in fields:
        raise RefusedRequest(400)
    transfer_coding = fields.get('transfer-encoding')
    if transfer_coding is not None:
        if (
            transfer_coding.strip().lower() != 'chunked'
            or 'content-length' in fields
        ):
            raise RefusedRequest(400)


def _check_repeats(headers: _headers.Headers) -> None:
    """Refuse heads that repeat a field of `_SINGLETON_FIELDS`."""
    names = [name.lower() for name, _value in headers]
    if any(names.count(name) > 1 for name in _SINGLETON_FIELDS):
        raise RefusedRequest(400)
