"""Room on the link of a target's host for large request bodies.

A body that is sent and then refused has used the link all the same, and
whatever waits behind it.  So a daemon that is about to send a large body
over a narrow link asks for room first.
"""

from collections.abc import Callable

from sedgering.mesh import _messages
from sedgering import transport

__all__ = ['LinkRoom', 'encode_room_request', 'find_room_bytes', 'needs_room']

#: Bodies that may be on their way at a time, as time on the link: a call
#: that comes behind them still has most of its goal left.
ROOM_MS = 150
#: Bodies that take less time on the link are sent without asking: asking
#: takes a round trip of some 3 ms.
ASK_FROM_MS = 10
#: Room that is not used is free again after this time.
HOLD_S = 1.0
BITS = 8

MARK = 'sedgering-room'


def needs_room(row: _messages.MemberRow, body_bytes: int) -> bool:
    """Say whether a body takes the link of a host for long."""
    if not row.link_mbps:
        return False
    return body_bytes * BITS / (row.link_mbps * 1000) >= ASK_FROM_MS


def encode_room_request(body_bytes: int) -> bytes:
    """Encode the question whether there is room."""
    headers = [('Host', 'peer'), (MARK, str(body_bytes))]
    return transport.encode_request(transport.Request('GET', '/', headers))


def find_room_bytes(request: transport.Request) -> int | None:
    """Return the bytes for which a daemon asks; None when it does not."""
    value = request.find(MARK)
    return int(value) if value is not None and value.isdigit() else None


class LinkRoom:
    """Bodies that may be on their way to this host.

    Parameters
    ----------
    link_mbps : float
        Width of the link; 0 when it is not known: there is always room.
    now_s : callable
        Monotonic time.
    """

    def __init__(self, link_mbps: float, now_s: Callable[[], float]):
        self.limit_bytes = int(link_mbps * 1000 * ROOM_MS / BITS)
        self.now_s = now_s
        #: Bytes promised, and until when, the oldest first.
        self._promises: list[tuple[float, int]] = []

    @property
    def used_bytes(self) -> int:
        """Bytes that are promised, and have not arrived."""
        now_s = self.now_s()
        self._promises = [item for item in self._promises if item[0] > now_s]
        return sum(size for _until_s, size in self._promises)

    @property
    def used_percent(self) -> int:
        """Share of the room that is promised."""
        if not self.limit_bytes:
            return 0
        return min(100, 100 * self.used_bytes // self.limit_bytes)

    def ask(self, body_bytes: int) -> bool:
        """Promise room, if there is any; a single body always has."""
        used_bytes = self.used_bytes
        is_full = used_bytes and used_bytes + body_bytes > self.limit_bytes
        if self.limit_bytes and is_full:
            return False
        self._promises.append((self.now_s() + HOLD_S, body_bytes))
        return True

    def note_arrival(self, body_bytes: int) -> None:
        """Free the room of a body that has arrived."""
        for number, (_until_s, size) in enumerate(self._promises):
            if size == body_bytes:
                del self._promises[number]
                return
