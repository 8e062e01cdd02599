"""The notice by which an operator's tool wakes relays."""

from collections.abc import Iterable
import socket

from sedgering.peer import _codec
from sedgering.peer.gen.wire import ttypes

__all__ = ['send_head_notice']


def send_head_notice(
    addresses: Iterable[tuple[str, int]], mesh: str, sender: str
) -> None:
    """Tell relays that the head row has changed.

    Parameters
    ----------
    addresses : iterable of (str, int)
        IP numbers and peer ports.
    mesh : str
        Mesh of the relays.
    sender : str
        Name of the operator, for logs only.

    Notes
    -----
    Only saves time: a relay reads the head row itself and believes
    nothing else, and finds the change by its next read anyway when the
    notice is lost.
    """
    datagram = ttypes.Datagram(
        mesh=mesh,
        protocol=_codec.PROTOCOL_VERSION,
        sender=sender,
        incarnation=0,
        head_changed=True,
    )
    data = _codec.encode_datagram(datagram)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sending:
        for address in addresses:
            try:
                sending.sendto(data, address)
            except OSError:
                # As good as a lost datagram; the next relay matters more.
                continue
