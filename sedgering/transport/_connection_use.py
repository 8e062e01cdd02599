"""What the connection of a caller is used for."""

import enum

__all__ = ['ConnectionUse']


class ConnectionUse(enum.Enum):
    """What the caller of an open connection may do next."""

    #: It has connected, and is about to send its first request.
    NEW = 'new'
    #: It has been answered, and may send another request.
    KEPT = 'kept'
    #: A request, a response or the closing handshake is in progress.
    ACTIVE = 'active'
