"""Decodes responses of other daemons that are not answers to calls."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from sedgering import exceptions
from sedgering import transport

__all__ = ['STATUS_OK', 'decode_peer_answer']

STATUS_OK = 200

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
    try:
        if response.status != STATUS_OK:
            raise msgspec.DecodeError(f'status {response.status}')
        return decode(response.body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise exceptions.PeerError(
            exceptions.Code.PEER_DAMAGED, str(error)
        ) from error
