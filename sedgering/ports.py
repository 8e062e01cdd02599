"""Listening sockets that are opened before the rest of a program is loaded.

Loading a daemon takes 0.3 s on a host with 0.4 cores.  Clients that connect
meanwhile wait in the listen queue until the daemon accepts them, instead of
being refused.
"""

from collections.abc import Iterable
import errno
import socket

from sedgering import signals
from sedgering import waits

__all__ = ['BACKLOG', 'OpenPorts', 'open_port']

#: Length of the listen queue: the new connections of a host in one second.
BACKLOG = 1024


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
    receiver : SignalReceiver or None
        Ends the wait for a port that is in use.

    Raises
    ------
    OSError, ValueError, StopRequested
        As for :meth:`open_all`.
    """

    def __init__(
        self,
        addresses: Iterable[str] = (),
        receiver: signals.SignalReceiver | None = None,
    ):
        self._wait = waits.StartWait(receiver)
        self._listeners: dict[tuple[str, int], socket.socket] = {}
        self.open_all(addresses)

    @property
    def first_error(self) -> str:
        """Why a port had to be waited for; empty if none had to."""
        return self._wait.first_error

    def open_all(self, addresses: Iterable[str]) -> None:
        """Open several ports; those before one that fails stay open.

        Parameters
        ----------
        addresses : iterable of str
            Ports as ``ADDRESS:PORT``.

        Raises
        ------
        OSError
            If a port cannot be bound, or stays in use.
        ValueError
            If an item is not of the form ``ADDRESS:PORT``.
        StopRequested
            If a signal to stop arrives while a port is in use.
        """
        for text in addresses:
            address, _colon, port = text.rpartition(':')
            self.open(address, int(port))

    def open(self, address: str, port: int) -> None:
        """Open another port, unless it is open already.

        Raises
        ------
        OSError, StopRequested
            As for :meth:`open_all`.
        """
        if (address, port) not in self._listeners:
            listener = self._open_when_free(address, port)
            self._listeners[address, port] = listener

    def _open_when_free(self, address: str, port: int) -> socket.socket:
        while True:
            try:
                return open_port(address, port)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                text = f'{address}:{port}: {error.strerror}'
                self._wait.pause(OSError(error.errno, text))

    def take(self, address: str, port: int) -> socket.socket:
        """Remove and return the socket of a port; open it if missing."""
        listener = self._listeners.pop((address, port), None)
        return listener or open_port(address, port)

    def take_all(self) -> list[tuple[str, int, socket.socket]]:
        """Remove and return all sockets, each with its address and port."""
        taken = [(*key, item) for key, item in self._listeners.items()]
        self._listeners.clear()
        return taken

    def close(self) -> None:
        """Close the sockets that have not been taken."""
        for _address, _port, listener in self.take_all():
            listener.close()
