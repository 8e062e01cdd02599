"""Notifies other daemons of a crash at once, naming the suspect requests.

Member rows also report it, some 0.7 s later.  Within this time a request that
is sent 20 times a second would crash the rest of its set.
"""

import msgspec

from sedgering.mesh import _crash_records
from sedgering.mesh import _peer_responses
from sedgering import transport

__all__ = ['decode_notice', 'encode_notice', 'is_notice']

PATH = '/crash'
HEADER = 'sedgering-crash'

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(_crash_records.CrashRecord)


def encode_notice(record: _crash_records.CrashRecord) -> bytes:
    """Encode a record as a request to another daemon."""
    headers = [('Host', 'peer'), (HEADER, '1')]
    return transport.encode_request(
        transport.Request('POST', PATH, headers, _ENCODER.encode(record), True)
    )


def is_notice(request: transport.Request) -> bool:
    """Return whether a request is a crash notice of another daemon."""
    return request.find(HEADER) is not None


def decode_notice(request: transport.Request) -> _crash_records.CrashRecord:
    """Decode the record of a crash notice.

    Raises
    ------
    PeerError
        When the body is not a valid record.
    """
    return _peer_responses.decode_peer_request(request, _DECODER.decode)
