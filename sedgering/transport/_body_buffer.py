"""Collects the parts of a body."""

import mmap

__all__ = ['BodyBuffer']

#: Larger bodies get memory of their own.  The allocator would keep what
#: failed bodies leave, in pieces that the next ones do not fit into.
MAPPED_BYTES = 256 * 1024


class BodyBuffer:
    """The bytes of a body in one object, whatever the size of its parts.

    A list of tiny parts would take a multiple of their size.
    """

    def __init__(self):
        self._bytes: bytes | bytearray = b''
        #: Holds all of a large body.
        self._map: mmap.mmap | None = None
        self._size_bytes = 0

    def __len__(self) -> int:
        return self._size_bytes

    def add(self, part: bytes) -> None:
        """Append a part."""
        self._size_bytes += len(part)
        if self._map is not None:
            self._write(part)
        elif self._size_bytes == len(part):
            self._bytes = part
        elif self._size_bytes > MAPPED_BYTES:
            self._map = _make_map(_round_up(self._size_bytes))
            self._map.write(self._bytes)
            self._map.write(part)
            self._bytes = b''
        else:
            if not isinstance(self._bytes, bytearray):
                self._bytes = bytearray(self._bytes)
            self._bytes += part

    def _write(self, part: bytes) -> None:
        if self._size_bytes > len(self._map):
            self._map.resize(_round_up(self._size_bytes))
        self._map.write(part)

    def take(self) -> bytes:
        """Return the body and start an empty one."""
        if self._map is None:
            body = bytes(self._bytes)
        else:
            body = self._map[: self._size_bytes]
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all parts."""
        self._bytes = b''
        self._size_bytes = 0
        if self._map is not None:
            self._map.close()
            self._map = None


def _make_map(size_bytes: int) -> mmap.mmap:
    return mmap.mmap(-1, size_bytes, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)


def _round_up(size_bytes: int) -> int:
    """Return the next power of two: pages are used once they are written."""
    return 1 << (size_bytes - 1).bit_length()
