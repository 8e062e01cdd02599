"""Questions of daemons for what a target has shown of its version."""

import msgspec

from sedgering.mesh import _peer_answers
from sedgering import rollout
from sedgering import transport

__all__ = [
    'decode_evidence',
    'decode_question',
    'encode_evidence',
    'encode_question',
    'is_question',
]

PATH = '/evidence'
#: Revision of the order that is asked about.
MARK = 'sedgering-evidence'

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(rollout.Evidence)


def encode_question(order_revision: int) -> bytes:
    """Encode a question to another daemon."""
    headers = [('Host', 'peer'), (MARK, str(order_revision))]
    return transport.encode_request(transport.Request('GET', PATH, headers))


def is_question(request: transport.Request) -> bool:
    """Say whether another daemon asks for evidence."""
    return request.find(MARK) is not None


def decode_question(request: transport.Request) -> int:
    """Return the revision of the order that is asked about.

    Raises
    ------
    ValueError
        When it is none.
    """
    return int(request.find(MARK))


def encode_evidence(evidence: rollout.Evidence) -> transport.Response:
    """Encode the answer."""
    return transport.Response(
        _peer_answers.STATUS_OK, [], _ENCODER.encode(evidence)
    )


def decode_evidence(response: transport.Response) -> rollout.Evidence:
    """Decode the answer.

    Raises
    ------
    PeerError
        When it is none.
    """
    return _peer_answers.decode_peer_answer(response, _DECODER.decode)
