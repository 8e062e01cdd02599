"""Ports that listen before the rest of a program is loaded.

Loading a daemon takes 0.3 s on a host with 0.4 cores.  What connects
meanwhile waits in the queue of the port, and is answered when the daemon is
up, instead of being refused.
"""

from collections.abc import Iterable
import socket

__all__ = ['BACKLOG', 'OpenPorts', 'open_port']

#: Connections that wait to be accepted: a second of new callers of a host.
BACKLOG = 1024


def open_port(address: str, port: int) -> socket.socket:
    """Listen on a port.

    Raises
    ------
    OSError
        When it cannot be bound.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((address, port))
        opened.listen(BACKLOG)
    except OSError:
        opened.close()
        raise
    opened.setblocking(False)
    return opened


class OpenPorts:
    """Ports that listen already, until somebody serves them.

    Parameters
    ----------
    addresses : iterable of str
        ``ADDRESS:PORT``, opened at once.

    Raises
    ------
    OSError
        When one cannot be bound.
    ValueError
        When one is no address.
    """

    def __init__(self, addresses: Iterable[str] = ()):
        self._opened: dict[tuple[str, int], socket.socket] = {}
        for text in addresses:
            address, _colon, port = text.rpartition(':')
            key = (address, int(port))
            self._opened[key] = open_port(*key)

    def take(self, address: str, port: int) -> socket.socket:
        """Return the socket of a port, which is opened now if need be."""
        opened = self._opened.pop((address, port), None)
        return opened or open_port(address, port)

    def close(self) -> None:
        """Close what nobody has taken."""
        while self._opened:
            _key, opened = self._opened.popitem()
            opened.close()
