"""Requests between daemons for the evidence on a target's version."""

import msgspec

from sedgering import exceptions
from sedgering.mesh import _peer_responses
from sedgering import rollout
from sedgering import transport

__all__ = [
    'decode_evidence',
    'decode_evidence_request',
    'encode_evidence',
    'encode_evidence_request',
    'is_evidence_request',
]

PATH = '/evidence'
#: Header field with the revision of the order.
ORDER_REVISION_FIELD = 'sedgering-evidence'

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(rollout.Evidence)


def encode_evidence_request(order_revision: int) -> bytes:
    """Encode an evidence request to another daemon."""
    headers = [('Host', 'peer'), (ORDER_REVISION_FIELD, str(order_revision))]
    return transport.encode_request(transport.Request('GET', PATH, headers))


def is_evidence_request(request: transport.Request) -> bool:
    """Whether a request is an evidence request of another daemon."""
    return request.find(ORDER_REVISION_FIELD) is not None


def decode_evidence_request(request: transport.Request) -> int:
    """Return the order revision of an evidence request.

    Raises
    ------
    PeerError
        If the field is not a number.
    """
    try:
        return _peer_responses.parse_count(request.find(ORDER_REVISION_FIELD))
    except ValueError as error:
        raise exceptions.PeerError(
            exceptions.Code.PEER_DAMAGED, str(error)
        ) from error


def encode_evidence(evidence: rollout.Evidence) -> transport.Response:
    """Encode the answer to an evidence request."""
    return transport.Response(
        _peer_responses.STATUS_OK, [], _ENCODER.encode(evidence)
    )


def decode_evidence(response: transport.Response) -> rollout.Evidence:
    """Decode the answer to an evidence request.

    Raises
    ------
    PeerError
        If the response is not a valid answer.
    """
    return _peer_responses.decode_peer_answer(response, _DECODER.decode)
