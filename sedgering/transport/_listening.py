"""Stops a server without resetting connections that wait to be accepted."""

import asyncio
import logging
import socket

from sedgering import handshakes
from sedgering.transport import _server
from sedgering.transport import _service

__all__ = ['stop_listening']

LOG = logging.getLogger(__name__)

#: Time for handshakes that have begun.
HANDSHAKE_S = 0.05


async def stop_listening(
    server: asyncio.AbstractServer, service: _service.Service
) -> None:
    """Stop listening; accept the connections that are already established.

    Closing a listening socket resets the connections in its queue, although
    their callers may have sent a request.

    Parameters
    ----------
    server : AbstractServer
        Server to close.
    service : Service
        Answers the requests of its connections.
    """
    for listener in server.sockets:
        handshakes.refuse_handshakes(listener)
    await asyncio.sleep(HANDSHAKE_S)
    listeners = _duplicate(server)
    server.close()
    loop = asyncio.get_running_loop()
    for listener in listeners:
        for accepted in _accept_all(listener):
            await loop.connect_accepted_socket(
                lambda: _server.ServerConnection(service, loop), accepted
            )


def _duplicate(server: asyncio.AbstractServer) -> list[socket.socket]:
    """Duplicate the sockets of a server, which keeps their queues open."""
    try:
        return [item.dup() for item in server.sockets]
    except OSError as error:
        # Without a free descriptor, no connection could be accepted either.
        LOG.warning('listen queue is reset', extra={'detail': str(error)})
        return []


def _accept_all(listener: socket.socket) -> list[socket.socket]:
    """Accept what is in the queue of a listening socket, and close it.

    The callers are served only afterwards: they would connect again, and the
    queue might never be empty.
    """
    accepted = []
    with listener:
        while True:
            try:
                connection, _address = listener.accept()
            except OSError:
                # The queue is empty, or no descriptor is left.
                return accepted
            connection.setblocking(False)
            accepted.append(connection)
