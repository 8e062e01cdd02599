"""Questions of daemons for tokens of workspaces."""

import msgspec

from sedgering.mesh import _peer_answers
from sedgering import quota
from sedgering import transport

__all__ = [
    'decode_ask',
    'decode_grant',
    'encode_ask',
    'encode_grant',
    'is_ask',
]

PATH = '/quota'
MARK = 'sedgering-quota'

_ENCODER = msgspec.msgpack.Encoder()
_ASK_DECODER = msgspec.msgpack.Decoder(quota.QuotaAsk)
_GRANT_DECODER = msgspec.msgpack.Decoder(quota.QuotaGrant)


def encode_ask(ask: quota.QuotaAsk) -> bytes:
    """Encode a question to a keeper."""
    headers = [('Host', 'peer'), (MARK, '1')]
    return transport.encode_request(
        transport.Request('POST', PATH, headers, _ENCODER.encode(ask), True)
    )


def is_ask(request: transport.Request) -> bool:
    """Say whether another daemon asks for tokens."""
    return request.find(MARK) is not None


def decode_ask(request: transport.Request) -> quota.QuotaAsk:
    """Decode a question.

    Raises
    ------
    msgspec.DecodeError
        When it is none.
    """
    return _ASK_DECODER.decode(request.body)


def encode_grant(grant: quota.QuotaGrant) -> transport.Response:
    """Encode the answer."""
    return transport.Response(
        _peer_answers.STATUS_OK, [], _ENCODER.encode(grant)
    )


def decode_grant(response: transport.Response) -> quota.QuotaGrant:
    """Decode the answer.

    Raises
    ------
    PeerError
        When it is none.
    """
    return _peer_answers.decode_peer_answer(response, _GRANT_DECODER.decode)
