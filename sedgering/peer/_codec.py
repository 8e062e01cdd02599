"""Datagrams in thrift's compact protocol, checked when they arrive."""

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from sedgering import exceptions
from sedgering.peer.gen.wire import ttypes

__all__ = [
    'MAX_DATAGRAM_BYTES',
    'PROTOCOL_VERSION',
    'decode_datagram',
    'encode_datagram',
    'make_protocol',
]

#: Raised when a message changes in a way that older proxies cannot read.
PROTOCOL_VERSION = 1
#: Fits into one Ethernet frame, so that no datagram is fragmented.
MAX_DATAGRAM_BYTES = 1400
MAX_ROWS = 64
MAX_INT64 = (1 << 63) - 1
_MAX_PORT = 65535
# The accelerated decoder leaves enum fields as plain integers.
_HOST_STATES = frozenset(ttypes.HostState)
_TARGET_STATES = frozenset(ttypes.TargetState)


def make_protocol(
    transport: TTransport.TTransportBase, limit_bytes: int
) -> TCompactProtocol.TCompactProtocolAccelerated:
    """Make a compact protocol that bounds every length it reads."""
    return TCompactProtocol.TCompactProtocolAccelerated(
        transport,
        string_length_limit=limit_bytes,
        container_length_limit=limit_bytes,
    )


def encode_datagram(datagram: ttypes.Datagram) -> bytes:
    """Encode one datagram."""
    transport = TTransport.TMemoryBuffer()
    datagram.write(make_protocol(transport, MAX_DATAGRAM_BYTES))
    return transport.getvalue()


def decode_datagram(data: bytes, mesh: str) -> ttypes.Datagram:
    """Decode and check one datagram.

    Parameters
    ----------
    data : bytes
        As received; anybody may have sent it.
    mesh : str
        Mesh of this proxy.

    Returns
    -------
    Datagram
        With every field that is there of the right type and range.

    Raises
    ------
    PeerError
        When the message is damaged, too large, of another mesh or of
        another protocol version.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise exceptions.PeerError(exceptions.Code.PEER_OVERSIZED)
    datagram = ttypes.Datagram()
    transport = TTransport.TMemoryBuffer(data)
    try:
        datagram.read(make_protocol(transport, MAX_DATAGRAM_BYTES))
    except Exception as error:
        # The library raises many kinds on damaged input, ValueError,
        # EOFError and UnicodeDecodeError among them.
        raise exceptions.PeerError(
            exceptions.Code.PEER_DAMAGED, type(error).__name__
        ) from error
    check_origin(datagram.mesh, datagram.protocol, mesh)
    _check_datagram(datagram)
    return datagram


def check_origin(
    mesh: str | None, protocol: int | None, own_mesh: str
) -> None:
    """Refuse messages of another mesh or protocol version."""
    if mesh != own_mesh:
        raise exceptions.PeerError(exceptions.Code.PEER_MESH, repr(mesh))
    if protocol != PROTOCOL_VERSION:
        raise exceptions.PeerError(
            exceptions.Code.PEER_PROTOCOL, repr(protocol)
        )


def check_row(row: ttypes.HostRow) -> None:
    """Refuse a host row with missing or impossible fields."""
    _check(bool(row.host) and bool(row.data_centre) and bool(row.address))
    _check(_is_port(row.peer_port) and _is_port(row.data_port))
    _check(_is_natural(row.incarnation) and _is_natural(row.sequence))
    _check(_is_natural(row.held_version))
    _check(row.state in _HOST_STATES)
    for target in row.targets or ():
        _check(bool(target.name) and bool(target.target_set))
        _check(_is_port(target.port) and _is_natural(target.slots))
        _check(target.state in _TARGET_STATES)


def _check_datagram(datagram: ttypes.Datagram) -> None:
    _check(bool(datagram.sender) and _is_natural(datagram.incarnation))
    if datagram.announcement is not None:
        _check_announcement(datagram.announcement)
    if datagram.acknowledgement is not None:
        _check_acknowledgement(datagram.acknowledgement)
    if datagram.compare is not None:
        _check(_is_natural(datagram.compare.version))
        _check(datagram.compare.nonce is not None)
        _check(datagram.compare.members_digest is not None)
    rows = datagram.rows or ()
    _check(len(rows) <= MAX_ROWS)
    for row in rows:
        check_row(row)


def _check_announcement(announcement: ttypes.Announcement) -> None:
    _check(_is_natural(announcement.version))
    _check(bool(announcement.digest))
    if announcement.delta is not None:
        _check(_is_natural(announcement.base_version))


def _check_acknowledgement(acknowledgement: ttypes.Acknowledgement) -> None:
    _check(_is_natural(acknowledgement.hosts))
    _check(_is_natural(acknowledgement.lowest_version))
    _check(_is_natural(acknowledgement.at_highest))
    _check(_is_natural(acknowledgement.held_version))
    _check(acknowledgement.coverage is not None)
    for refusal in acknowledgement.refusals or ():
        _check(_is_natural(refusal.version) and _is_natural(refusal.hosts))
        _check(_is_natural(refusal.code))
        _check(refusal.example_host is not None)


def _is_natural(value: int | None) -> bool:
    return value is not None and 0 <= value <= MAX_INT64


def _is_port(value: int | None) -> bool:
    return value is not None and 0 < value <= _MAX_PORT


def _check(condition: bool) -> None:
    if not condition:
        raise exceptions.PeerError(
            exceptions.Code.PEER_DAMAGED, 'field missing or out of range'
        )
