"""Listening sockets that are opened before the rest of a program is loaded.

Loading a daemon takes 0.3 s on a host with 0.4 cores.  Clients that connect
meanwhile wait in the listen queue until the daemon accepts them, instead of
being refused.
"""

from collections.abc import Iterable
import errno
import socket
import time

__all__ = ['BACKLOG', 'OpenPorts', 'open_port']

#: Length of the listen queue: the new connections of a host in one second.
BACKLOG = 1024
#: Longest wait for ports that another process, such as the one before, holds.
WAIT_S = 5.0
RETRY_INTERVAL_S = 0.02


def open_port(address: str, port: int) -> socket.socket:
    """Open a non-blocking TCP socket that listens on a port.

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


class OpenPorts:
    """Listening sockets that wait to be taken over by a server.

    Parameters
    ----------
    addresses : iterable of str
        Ports as ``ADDRESS:PORT``, opened immediately.

    Attributes
    ----------
    first_error : str
        Why a port had to be waited for; empty if none had to.

    Raises
    ------
    OSError
        If a port cannot be bound, or is in use for longer than `WAIT_S`.
    ValueError
        If an item is not of the form ``ADDRESS:PORT``.
    """

    def __init__(self, addresses: Iterable[str] = ()):
        self.first_error = ''
        self._wait_until_s = time.monotonic() + WAIT_S
        self._listeners: dict[tuple[str, int], socket.socket] = {}
        for text in addresses:
            address, _colon, port = text.rpartition(':')
            self.open(address, int(port))

    def open(self, address: str, port: int) -> None:
        """Open another port, unless it is open already.

        Raises
        ------
        OSError
            As for the constructor.
        """
        if (address, port) not in self._listeners:
            listener = self._open_when_free(address, port)
            self._listeners[address, port] = listener

    def _open_when_free(self, address: str, port: int) -> socket.socket:
        while True:
            try:
                return open_port(address, port)
            except OSError as error:
                is_late = time.monotonic() >= self._wait_until_s
                if error.errno != errno.EADDRINUSE or is_late:
                    raise
                self.first_error = self.first_error or f'{port}: {error}'
            time.sleep(RETRY_INTERVAL_S)

    def take(self, address: str, port: int) -> socket.socket:
        """Remove and return the socket of a port; open it if missing."""
        listener = self._listeners.pop((address, port), None)
        return listener or open_port(address, port)

    def close(self) -> None:
        """Close the sockets that have not been taken."""
        while self._listeners:
            _key, listener = self._listeners.popitem()
            listener.close()
