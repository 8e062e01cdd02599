"""What this proxy knows of the targets from its own requests."""

import threading

from sedgering import membership

__all__ = ['LoadTable']


class LoadTable:
    """Requests in flight and consecutive failures, by target.

    Shared by the request threads; every method holds the lock briefly.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._in_flight: dict[tuple[str, int], int] = {}
        self._failures: dict[tuple[str, int], int] = {}

    def in_flight(self, endpoint: membership.Endpoint) -> int:
        """Return the number of requests in flight to a target."""
        return self._in_flight.get((endpoint.address, endpoint.port), 0)

    def failures(self, endpoint: membership.Endpoint) -> int:
        """Return the number of failures since the last success."""
        return self._failures.get((endpoint.address, endpoint.port), 0)

    def start(self, endpoint: membership.Endpoint) -> bool:
        """Take a slot of a target; say whether there was one."""
        key = (endpoint.address, endpoint.port)
        with self._lock:
            in_flight = self._in_flight.get(key, 0)
            if in_flight >= endpoint.slots:
                return False
            self._in_flight[key] = in_flight + 1
            return True

    def finish(self, endpoint: membership.Endpoint, succeeded: bool) -> None:
        """Give the slot back and note how the request ended."""
        key = (endpoint.address, endpoint.port)
        with self._lock:
            remaining = self._in_flight.get(key, 1) - 1
            if remaining:
                self._in_flight[key] = remaining
            else:
                self._in_flight.pop(key, None)
            if succeeded:
                self._failures.pop(key, None)
            else:
                self._failures[key] = self._failures.get(key, 0) + 1
