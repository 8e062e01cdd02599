"""Callers' connections: one write an answer, and a worker that waits.

cheroot hands each request of a kept connection from its selector thread
to a worker, and writes head and body of an answer apart.  Both are
changed here through its public hooks.
"""

import select

from cheroot import server as cheroot_server

__all__ = ['CallerConnection']

#: Time for which a worker waits on its connection for the next request.
LINGER_MS = 20
#: Bytes of an answer gathered before they are written.
GATHER_BYTES = 64 * 1024


class _GatheringWriter:
    """Gathers small writes into one.

    Parameters
    ----------
    raw : file
        cheroot's writer of the connection.
    """

    def __init__(self, raw):
        self.raw = raw
        self._parts: list[bytes] = []
        self._size = 0

    def write(self, data: bytes) -> int:
        """Take data; it is sent by :meth:`flush` or when it is much."""
        self._parts.append(data)
        self._size += len(data)
        if self._size >= GATHER_BYTES:
            self.flush()
        return len(data)

    def flush(self) -> None:
        """Send what was gathered."""
        if self._parts:
            data = b''.join(self._parts)
            self._parts.clear()
            self._size = 0
            self.raw.write(data)

    def __getattr__(self, name: str):
        """Pass everything else on."""
        return getattr(self.raw, name)


class CallerConnection(cheroot_server.HTTPConnection):
    """A caller's connection."""

    def __init__(self, server, sock, makefile=cheroot_server.MakeFile):
        super().__init__(server, sock, makefile)
        self.wfile = _GatheringWriter(self.wfile)

    def communicate(self) -> bool:
        """Answer requests until the caller pauses for a while."""
        while self._answer():
            if not self._is_worth_waiting():
                return True
            if not self._has_more():
                return True
        return False

    def _answer(self) -> bool:
        try:
            return super().communicate()
        finally:
            try:
                self.wfile.flush()
            except OSError:
                # The caller is gone; the connection is closed next.
                self.wfile._parts.clear()

    def _is_worth_waiting(self) -> bool:
        """Wait only while most workers have nothing else to do."""
        pool = self.server.requests
        return 2 * pool.idle > self.server.requests.max

    def _has_more(self) -> bool:
        if self.rfile.has_data():
            return True
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(LINGER_MS))
