"""Reservations for large request bodies on the link of a target's host.

A body that is sent and then refused has used the link all the same, and has
delayed the traffic behind it.  So a daemon reserves capacity before it sends
a large body over a narrow link.
"""

from collections.abc import Callable

from sedgering import exceptions
from sedgering.mesh import _messages
from sedgering.mesh import _peer_responses
from sedgering import transport

__all__ = [
    'LinkReservations',
    'encode_reservation_request',
    'find_reservation_bytes',
    'needs_reservation',
]

#: Limit of the bodies in transit, as time on the link: a call that arrives
#: behind them still has most of the time until its goal.
MAX_IN_TRANSIT_MS = 150
#: Bodies that take less time on the link are sent without a reservation,
#: which takes a round trip of some 3 ms.
MIN_TRANSFER_MS = 10
#: Time after which an unused reservation expires.
RESERVATION_TIMEOUT_S = 1.0
BITS_PER_BYTE = 8

HEADER = 'sedgering-room'


def needs_reservation(row: _messages.MemberRow, body_bytes: int) -> bool:
    """Return whether a body needs a reservation on the link of a host."""
    if not row.link_mbps:
        return False
    return (
        body_bytes * BITS_PER_BYTE / (row.link_mbps * 1000) >= MIN_TRANSFER_MS
    )


def encode_reservation_request(body_bytes: int) -> bytes:
    """Encode a request for a reservation."""
    headers = [('Host', 'peer'), (HEADER, str(body_bytes))]
    return transport.encode_request(transport.Request('GET', '/', headers))


def find_reservation_bytes(request: transport.Request) -> int | None:
    """Return the requested size in bytes; None for any other request.

    Raises
    ------
    PeerError
        When the size is not a number.
    """
    value = request.find(HEADER)
    if value is None:
        return None
    try:
        return _peer_responses.parse_count(value)
    except ValueError as error:
        raise exceptions.PeerError(
            exceptions.Code.PEER_DAMAGED, str(error)
        ) from error


class LinkReservations:
    """Reservations for bodies that peers are about to send to this host.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link; 0 when unknown, which disables the limit.
    now_s : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, link_mbps: float, now_s: Callable[[], float]):
        self.limit_bytes = int(
            link_mbps * 1000 * MAX_IN_TRANSIT_MS / BITS_PER_BYTE
        )
        self.now_s = now_s
        #: Expiry time and bytes of each reservation, oldest first.
        self._reservations: list[tuple[float, int]] = []

    @property
    def used_bytes(self) -> int:
        """Bytes that are reserved and have not arrived."""
        now_s = self.now_s()
        self._reservations = [
            item for item in self._reservations if item[0] > now_s
        ]
        return sum(size for _until_s, size in self._reservations)

    @property
    def used_percent(self) -> int:
        """Reserved share of the limit, in percent."""
        if not self.limit_bytes:
            return 0
        return min(100, 100 * self.used_bytes // self.limit_bytes)

    def reserve(self, body_bytes: int) -> bool:
        """Reserve capacity if available; a single body always fits."""
        used_bytes = self.used_bytes
        exceeds_limit = (
            used_bytes and used_bytes + body_bytes > self.limit_bytes
        )
        if self.limit_bytes and exceeds_limit:
            return False
        self._reservations.append(
            (self.now_s() + RESERVATION_TIMEOUT_S, body_bytes)
        )
        return True

    def release(self, body_bytes: int) -> None:
        """Release the reservation of a body that has arrived."""
        for number, (_until_s, size) in enumerate(self._reservations):
            if size == body_bytes:
                del self._reservations[number]
                return
