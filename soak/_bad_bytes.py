"""Answers of targets that do not end, or that are none."""

import abc
import asyncio

from sedgering import testing
from soak import _pacing

__all__ = ['KINDS', 'BadBytes', 'send_bad_bytes']

PIECE_BYTES = 64 * 1024
#: What a connection may hold unsent before more is written.
UNSENT_BYTES = 4 * PIECE_BYTES
POLL_INTERVAL_S = 0.002
#: Length that no answer reaches.
LONG_BYTES = 1 << 40
FILLER = b'x' * PIECE_BYTES
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'


class BadBytes(abc.ABC):
    """Bytes that a target sends in place of an answer.

    Attributes
    ----------
    piece : bytes
        What follows the start again and again.
    """

    piece = FILLER

    @abc.abstractmethod
    def make_start(self, request_id: str, size_bytes: int) -> bytes:
        """Make the bytes that come first.

        Parameters
        ----------
        request_id : str
            Id of the request.
        size_bytes : int
            Size that a sound answer has at least.
        """


class EndlessStatusLine(BadBytes):
    """A status line without an end."""

    def make_start(self, request_id: str, size_bytes: int) -> bytes:
        """Make the bytes that come first."""
        return b'HTTP/1.1 200 '


class EndlessFields(BadBytes):
    """Header fields without an end."""

    piece = b'X-Field: value\r\n' * (PIECE_BYTES // 16)

    def make_start(self, request_id: str, size_bytes: int) -> bytes:
        """Make the bytes that come first."""
        return STATUS_LINE


class NoAnswer(BadBytes):
    """Bytes that are no answer."""

    def make_start(self, request_id: str, size_bytes: int) -> bytes:
        """Make the bytes that come first."""
        return b'\x00\xff\r\n\r\n'


class _EndlessBody(BadBytes):
    """A proper head, before a body that does not end."""

    #: Header lines that state the length of the body.
    framing = b''

    def make_start(self, request_id: str, size_bytes: int) -> bytes:
        """Make the bytes that come first."""
        fields = testing.make_answer_fields(request_id)
        lines = [f'{name}: {value}\r\n' for name, value in fields]
        head = ''.join(lines).encode()
        return STATUS_LINE + head + self.framing + b'\r\n'


class EndlessChunks(_EndlessBody):
    """A chunked body without an end."""

    framing = b'Transfer-Encoding: chunked\r\n'
    piece = b'%x\r\n%b\r\n' % (PIECE_BYTES, FILLER)


class UntilClose(_EndlessBody):
    """A body that ends with its connection, which never does."""


class LengthNotReached(_EndlessBody):
    """A body whose length is not reached."""

    framing = b'Content-Length: %d\r\n' % LONG_BYTES


class BytesAfterAnswer(_EndlessBody):
    """A complete answer, before bytes that belong to none."""

    def make_start(self, request_id: str, size_bytes: int) -> bytes:
        """Make the bytes that come first."""
        body = testing.make_answer_body(request_id, size_bytes)
        self.framing = b'Content-Length: %d\r\n' % len(body)
        return super().make_start(request_id, size_bytes) + body


KINDS: dict[str, type[BadBytes]] = {
    'status line': EndlessStatusLine,
    'fields': EndlessFields,
    'chunks': EndlessChunks,
    'until close': UntilClose,
    'length': LengthNotReached,
    'no answer': NoAnswer,
    'after answer': BytesAfterAnswer,
}


async def send_bad_bytes(
    transport: asyncio.Transport,
    start: bytes,
    piece: bytes,
    pacer: _pacing.Pacer,
) -> None:
    """Send a start, and a piece again and again until the connection ends."""
    transport.write(start)
    while not transport.is_closing():
        if transport.get_write_buffer_size() > UNSENT_BYTES:
            await asyncio.sleep(POLL_INTERVAL_S)
            continue
        await pacer.wait(len(piece))
        transport.write(piece)
