"""Decodes what other daemons send, apart from the fields of calls."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from sedgering import exceptions
from sedgering import transport

__all__ = [
    'STATUS_OK',
    'decode_body',
    'decode_peer_answer',
    'decode_peer_request',
    'parse_count',
]

STATUS_OK = 200
#: Digits of the largest number in a field, which fits into 64 bits.
MAX_DIGITS = 18

_Content = TypeVar('_Content')


def decode_peer_answer(
    response: transport.Response, decode: Callable[[bytes], _Content]
) -> _Content:
    """Decode a response of another daemon.

    Parameters
    ----------
    response : Response
        Response of the other daemon.
    decode : callable
        Decodes its body.

    Raises
    ------
    PeerError
        When it is a refusal, or its body cannot be decoded.
    """
    if response.status != STATUS_OK:
        raise exceptions.PeerError(
            exceptions.Code.PEER_DAMAGED, f'status {response.status}'
        )
    return decode_body(response.body, decode)


def decode_peer_request(
    request: transport.Request, decode: Callable[[bytes], _Content]
) -> _Content:
    """Decode the body of a request of another daemon.

    Raises
    ------
    PeerError
        When it cannot be decoded.
    """
    return decode_body(request.body, decode)


def decode_body(body: bytes, decode: Callable[[bytes], _Content]) -> _Content:
    """Decode bytes of another daemon.

    Raises
    ------
    PeerError
        When they cannot be decoded.
    """
    try:
        return decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        # A body that is nested too deeply is no error of the decoder.
        raise exceptions.PeerError(
            exceptions.Code.PEER_DAMAGED, str(error)
        ) from error


def parse_count(text: str) -> int:
    """Parse a number in a header field of another daemon.

    Only ASCII digits are accepted, and not more than fit into 64 bits: a
    larger integer fails wherever it meets a float or is encoded.

    Raises
    ------
    ValueError
        When it is anything else.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        raise ValueError(f'no count: {text[:MAX_DIGITS]!r}')
    return int(text)
