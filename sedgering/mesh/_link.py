"""Measures the utilization of the link of this host."""

from collections.abc import Callable

from sedgering import transport

__all__ = ['LinkMeter']

#: Time over which bytes are counted: long enough for several uploads of
#: 60 kB, short enough to follow a burst.
WINDOW_S = 0.5
BITS_PER_BYTE = 8


class LinkMeter:
    """Measures the share of the link that incoming bytes take.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link; 0 when unknown.
    now_s : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        link_mbps: float,
        now_s: Callable[[], float],
    ):
        self.link_mbps = link_mbps
        self.now_s = now_s
        self._services: list[transport.Service] = []
        self._start_s = now_s()
        self._start_bytes = 0
        self._percent = 0

    def watch(self, *services: transport.Service) -> None:
        """Include the bytes that these services receive."""
        self._services.extend(services)

    def find_percent(self) -> int:
        """Return the utilization in the last window, in percent."""
        elapsed_s = self.now_s() - self._start_s
        if not self.link_mbps or elapsed_s < WINDOW_S:
            return self._percent
        received = sum(item.received_bytes for item in self._services)
        mbps = (received - self._start_bytes) * BITS_PER_BYTE / elapsed_s / 1e6
        self._percent = min(100, int(100 * mbps / self.link_mbps))
        self._start_s += elapsed_s
        self._start_bytes = received
        return self._percent
