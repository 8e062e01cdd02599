"""Notifies other daemons that the target of a host is leaving.

Those that get the notice are the witnesses of the departure: they remind the
daemon of that host of it, should it restart (`_departure_witness`).
"""

import msgspec

from sedgering import exceptions
from sedgering.mesh import _messages
from sedgering.mesh import _peer_responses
from sedgering import transport

__all__ = ['decode_notice', 'encode_notice', 'is_notice']

PATH = '/departure'
HEADER = 'sedgering-departure'

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(_messages.MemberRow)


def encode_notice(row: _messages.MemberRow) -> bytes:
    """Encode the row of a host whose target is leaving, as a request."""
    headers = [('Host', 'peer'), (HEADER, '1')]
    return transport.encode_request(
        transport.Request('POST', PATH, headers, _ENCODER.encode(row), True)
    )


def is_notice(request: transport.Request) -> bool:
    """Return whether a request notifies this daemon of a departure."""
    return request.find(HEADER) is not None


def decode_notice(request: transport.Request) -> _messages.MemberRow:
    """Decode the row of the host whose target is leaving.

    Raises
    ------
    PeerError
        When the body is not a valid row, or tells no departure.
    """
    row = _peer_responses.decode_peer_request(request, _DECODER.decode)
    if not row.state.is_final:
        raise exceptions.PeerError(
            exceptions.Code.PEER_DAMAGED,
            f'no departure: {row.state.value}',
        )
    return row
