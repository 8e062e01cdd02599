"""Encodes and decodes the token requests between daemons."""

import msgspec

from sedgering.mesh import _peer_responses
from sedgering import quota
from sedgering import transport

__all__ = [
    'decode_grant',
    'decode_request',
    'encode_grant',
    'encode_request',
    'is_quota_request',
]

PATH = '/quota'
#: Header that marks a request as a token request.
MARK_HEADER = 'sedgering-quota'

_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODER = msgspec.msgpack.Decoder(quota.QuotaRequest)
_GRANT_DECODER = msgspec.msgpack.Decoder(quota.QuotaGrant)


def encode_request(token_request: quota.QuotaRequest) -> bytes:
    """Encode a token request as an HTTP request."""
    headers = [('Host', 'peer'), (MARK_HEADER, '1')]
    return transport.encode_request(
        transport.Request(
            'POST', PATH, headers, _ENCODER.encode(token_request), True
        )
    )


def is_quota_request(request: transport.Request) -> bool:
    """Whether an HTTP request is a token request of another daemon."""
    return request.find(MARK_HEADER) is not None


def decode_request(request: transport.Request) -> quota.QuotaRequest:
    """Decode a token request.

    Raises
    ------
    msgspec.DecodeError
        When the body is not a valid token request.
    """
    return _REQUEST_DECODER.decode(request.body)


def encode_grant(grant: quota.QuotaGrant) -> transport.Response:
    """Encode the answer to a token request."""
    return transport.Response(
        _peer_responses.STATUS_OK, [], _ENCODER.encode(grant)
    )


def decode_grant(response: transport.Response) -> quota.QuotaGrant:
    """Decode the answer to a token request.

    Raises
    ------
    PeerError
        When the answer is an error or is not valid.
    """
    return _peer_responses.decode_peer_answer(response, _GRANT_DECODER.decode)
