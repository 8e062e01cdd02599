"""Options and queues of connected sockets."""

import asyncio
import fcntl
import logging
import socket
import struct
import termios

__all__ = [
    'configure_socket',
    'find_unacknowledged_bytes',
    'has_closed_window',
    'has_unread',
    'reset_connection',
    'set_user_timeout',
]

LOG = logging.getLogger(__name__)

#: Unanswered TCP keep-alive probes after which the connection fails.
KEEPALIVE_PROBES = 2
#: Request for the bytes of the send queue that were never sent (SIOCOUTQNSD).
UNSENT_QUEUE = 0x894B
#: Value of SO_LINGER: enabled with a timeout of 0 s.
NO_LINGER = struct.pack('ii', 1, 0)


def configure_socket(
    sock: socket.socket, user_timeout_ms: int, keepalive_interval_s: int
) -> None:
    """Disable Nagle's algorithm and detect peers that vanished.

    A peer vanishes without closing the connection when, for example, its
    host crashes.

    Parameters
    ----------
    sock : socket
        Connected TCP socket.
    user_timeout_ms : int
        Longest time for which sent data may stay unacknowledged.
    keepalive_interval_s : int
        Idle time before the first keep-alive probe, and between probes.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    set_user_timeout(sock, user_timeout_ms)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, keepalive_interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, keepalive_interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Set the longest time for which sent data may stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset_connection(transport: asyncio.Transport) -> None:
    """Close with a reset, so that nothing is left in the send queue."""
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def find_unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes in the kernel that the peer has not acknowledged.

    The send queue of the kernel accepts some hundred kB from the event loop
    while the link is full (tcp(7), SIOCOUTQ).  Acknowledged data has reached
    the host of the peer, but its process may not have read it yet.

    Parameters
    ----------
    transport : Transport
        Transport of a TCP connection.
    """
    return _find_queued_bytes(transport, termios.TIOCOUTQ)


def has_closed_window(transport: asyncio.Transport) -> bool:
    """Whether the peer has acknowledged all that was sent and takes no more.

    Parameters
    ----------
    transport : Transport
        Transport of a TCP connection.
    """
    unsent_bytes = _find_queued_bytes(transport, UNSENT_QUEUE)
    return unsent_bytes > 0 and unsent_bytes == find_unacknowledged_bytes(
        transport
    )


def has_unread(transport: asyncio.Transport) -> bool:
    """Whether data has arrived that the event loop has not read yet.

    Parameters
    ----------
    transport : Transport
        Transport of a TCP connection.
    """
    return _find_queued_bytes(transport, termios.FIONREAD) > 0


def _find_queued_bytes(transport: asyncio.Transport, queue: int) -> int:
    """Return the size of the send or the receive queue of the kernel."""
    descriptor = transport.get_extra_info('socket').fileno()
    if descriptor < 0:
        # The socket is closed and has no queues.
        return 0
    try:
        encoded_bytes = fcntl.ioctl(descriptor, queue, bytes(4))
    except OSError as error:
        # Not every kernel supports the request.  For the send queue, the
        # amount in the buffer of this process is known anyway.
        LOG.debug('cannot read the queue of a socket: %s', error)
        return 0
    (queued_bytes,) = struct.unpack('i', encoded_bytes)
    return queued_bytes
