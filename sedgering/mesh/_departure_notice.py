"""Notifies other daemons that the target of a host is leaving.

Those that get the notice are the witnesses of the departure: they remind the
daemon of that host of it, should it restart (`_departure_witness`).
"""

import msgspec

from sedgering.mesh import _messages
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
    ValueError
        When the body is not a valid row, or tells no departure.
    """
    row = _DECODER.decode(request.body)
    if not row.state.is_final:
        raise ValueError(f'no departure: {row.state.value}')
    return row
