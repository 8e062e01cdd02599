"""Callers' connections: strict heads, one write an answer, waiting.

cheroot reads some heads more leniently than a proxy may, since the next
reader could read them differently (request smuggling).  It also hands
each request of a kept connection from its selector thread to a worker,
and writes head and body of an answer apart.  All of this is changed here
through its public hooks.
"""

from cheroot import server as cheroot_server

from sedgering.proxy import _connection_loop

__all__ = ['CallerConnection']

#: Time for which a worker waits on its connection for the next request.
LINGER_MS = 20
#: Bytes of an answer gathered before they are written.
GATHER_BYTES = 64 * 1024
#: Two of them mean that two readers may see two requests (RFC 9112, 6.3).
SINGLE_HEADERS = frozenset((b'Content-Length', b'Transfer-Encoding', b'Host'))


class _StrictLines:
    """Lines of a head; folded ones are refused (RFC 9112, section 5.2)."""

    def __init__(self, reader):
        self.reader = reader

    def readline(self) -> bytes:
        """Read one line.

        Raises
        ------
        ValueError
            On a folded line, or a name that is followed by white space.
        """
        line = self.reader.readline()
        if line[:1] in (b' ', b'\t'):
            raise ValueError('Folded header line.')
        name = line.partition(b':')[0]
        if name != name.rstrip(b' \t') and line.strip():
            raise ValueError('White space before colon.')
        return line


class _SingleHeaders(dict):
    """Headers of which some may come only once."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        """Store a header.

        Raises
        ------
        ValueError
            When one that must be single comes again.
        """
        if name in SINGLE_HEADERS and name in self:
            raise ValueError('Repeated header.')
        super().__setitem__(name, value)


class _StrictHeaderReader(cheroot_server.HeaderReader):
    """Reads headers, and refuses what could be read in two ways."""

    def __call__(self, rfile, hdict=None):
        """Read headers into `hdict`."""
        headers = _SingleHeaders()
        super().__call__(_StrictLines(rfile), headers)
        _check_framing(headers)
        if hdict is None:
            return headers
        hdict.update(headers)
        return hdict


def _check_framing(headers: dict[bytes, bytes]) -> None:
    length = headers.get(b'Content-Length')
    if length is None:
        return
    if b'Transfer-Encoding' in headers:
        raise ValueError('Both length and encoding.')
    if not length.isdigit():
        raise ValueError('Malformed Content-Length Header.')


class _StrictRequest(cheroot_server.HTTPRequest):
    """A request whose head was read strictly."""

    header_reader = _StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Read the headers, and send the interim answer if one is due."""
        is_sound = super().read_request_headers()
        # The caller waits for "100 Continue" before it sends its body.
        self.conn.wfile.flush()
        return is_sound


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
            self.discard()
            self.raw.write(data)

    def discard(self) -> None:
        """Drop what was gathered."""
        self._parts.clear()
        self._size = 0

    def __getattr__(self, name: str):
        """Pass everything else on."""
        return getattr(self.raw, name)


class CallerConnection(cheroot_server.HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass = _StrictRequest

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

    def close(self) -> None:
        """Close the connection; nothing more is expected on it."""
        self.server.connections.discard(self)
        super().close()

    def _answer(self) -> bool:
        try:
            return super().communicate()
        finally:
            try:
                self.wfile.flush()
            except OSError:
                # The caller is gone; the connection is closed next.
                self.wfile.discard()

    def _is_worth_waiting(self) -> bool:
        """Wait only while most workers have nothing else to do."""
        busy = self.server.state.gate.in_flight
        return 2 * busy < self.server.requests.max

    def _has_more(self) -> bool:
        if self.rfile.has_data():
            return True
        return _connection_loop.has_input(self.socket, LINGER_MS)
