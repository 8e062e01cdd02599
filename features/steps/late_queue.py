"""A listening socket that a caller finds at its last moment."""

import socket

#: Time in which a handshake on the loopback interface ends.
WAIT_S = 0.15


class LateQueue:
    """A listening socket to which a caller connects once it is empty."""

    def __init__(self, listener):
        self.listener = listener
        self.outcome = None

    def accept(self):
        """Accept; connect after the last connection."""
        try:
            return self.listener.accept()
        except BlockingIOError:
            caller = socket.socket()
            with caller:
                caller.settimeout(WAIT_S)
                address = self.listener.getsockname()
                self.outcome = caller.connect_ex(address)
            raise

    def __enter__(self):
        """Use the socket."""
        return self

    def __exit__(self, *error):
        """Close the socket."""
        self.listener.close()

    def __getattr__(self, name):
        """Pass everything else on."""
        return getattr(self.listener, name)
