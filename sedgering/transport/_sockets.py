"""Options of connected sockets."""

import socket

__all__ = ['tune_socket']

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
