"""The caller's body, read while it is sent on."""

from collections.abc import Iterator

from cheroot import server as cheroot_server

from sedgering.proxy import _upstream

__all__ = ['CallerBody', 'make_body']

CHUNK_BYTES = 64 * 1024


class CallerBody:
    """A body that can be read once.

    Parameters
    ----------
    reader : file
        Of cheroot; ends at the end of the body.
    length : int or None
        Stated length in bytes; None for a chunked body.

    Attributes
    ----------
    is_consumed : bool
        Whether any of it was read.
    """

    def __init__(self, reader, length: int | None):
        self.reader = reader
        self.length = length
        self.is_consumed = False

    def __iter__(self) -> Iterator[bytes]:
        """Read the body in pieces.

        Raises
        ------
        CallerGone
            When it ends early.
        """
        received = 0
        while chunk := self._read():
            self.is_consumed = True
            received += len(chunk)
            yield chunk
        if self.length is not None and received != self.length:
            raise _upstream.CallerGone

    def _read(self) -> bytes:
        try:
            return self.reader.read(CHUNK_BYTES)
        except (OSError, ValueError) as error:
            raise _upstream.CallerGone from error


def make_body(request: cheroot_server.HTTPRequest) -> CallerBody | None:
    """Make the body of a request; None when it has none."""
    if request.chunked_read:
        return CallerBody(request.rfile, None)
    length = int(request.inheaders.get(b'Content-Length', 0))
    if not length:
        return None
    return CallerBody(request.rfile, length)
