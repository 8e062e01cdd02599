"""Stops a server without resetting connections that wait to be accepted."""

import asyncio
import socket

from sedgering.transport import _server

__all__ = ['stop_listening']


async def stop_listening(
    server: asyncio.AbstractServer, service: _server.Service
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
    # Duplicates keep the queues when the server closes its sockets.
    listeners = [item.dup() for item in server.sockets]
    server.close()
    loop = asyncio.get_running_loop()
    for listener in listeners:
        for accepted in _accept_all(listener):
            await loop.connect_accepted_socket(
                lambda: _server.ServerConnection(service, loop), accepted
            )


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
