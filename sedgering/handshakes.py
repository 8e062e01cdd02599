"""Keeps a listening socket from starting new handshakes."""

import array
import logging
import socket
import struct

__all__ = ['refuse_handshakes']

LOG = logging.getLogger(__name__)

#: SO_ATTACH_FILTER of Linux; the socket module does not have it.
ATTACH_FILTER = 26
_INSTRUCTION = struct.Struct('HBBI')
#: Classic BPF over the TCP header: drops segments with the SYN flag.
_FILTER = b''.join(
    _INSTRUCTION.pack(*instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # Load the byte of flags.
        (0x45, 0, 1, 0x02),  # Skip one instruction without SYN.
        (0x06, 0, 0, 0),  # Drop.
        (0x06, 0, 0, 0xFFFFFFFF),  # Accept.
    )
)


def refuse_handshakes(listener: socket.socket) -> None:
    """Drop further attempts to connect.

    Connections that are established meanwhile can still be accepted. Without
    this, some may be established between the last accept and the close of the
    socket, which would reset them.

    Parameters
    ----------
    listener : socket
        Listening TCP socket.
    """
    code = array.array('B', _FILTER)
    address, size_bytes = code.buffer_info()
    program = struct.pack('HP', size_bytes // _INSTRUCTION.size, address)
    try:
        listener.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, program)
    except OSError as error:
        LOG.warning('handshakes go on', extra={'detail': str(error)})
