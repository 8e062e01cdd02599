"""Options and queues of connected sockets."""

import asyncio
import fcntl
import logging
import socket
import struct
import termios

__all__ = ['find_unacknowledged_bytes', 'tune_socket']

LOG = logging.getLogger(__name__)

#: Unanswered probes after which a silent peer is taken as gone.
PROBES = 2


def tune_socket(
    sock: socket.socket, unacknowledged_limit_ms: int, probe_after_s: int
) -> None:
    """Send at once, and notice a peer that is gone without a word.

    Parameters
    ----------
    sock : socket
        Connected.
    unacknowledged_limit_ms : int
        Longest time for which bytes sent may stay unacknowledged.
    probe_after_s : int
        Silence after which a peer is probed, and between probes.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_limit_ms)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, probe_after_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, probe_after_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)


def find_unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return what the kernel holds and the other host has not acknowledged.

    It takes some hundred kB from the event loop while a link is full
    (tcp(7), SIOCOUTQ).  What the other host has acknowledged may still wait
    for its reader there.

    Parameters
    ----------
    transport : Transport
        Of a TCP connection.
    """
    descriptor = transport.get_extra_info('socket').fileno()
    if descriptor < 0:
        # Closed: its queues are gone.
        return 0
    try:
        queued = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
    except OSError as error:
        # Not every kernel tells; what this process holds is known anyway.
        LOG.debug('queue not told: %s', error)
        return 0
    (queued_bytes,) = struct.unpack('i', queued)
    return queued_bytes
