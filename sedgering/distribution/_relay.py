"""Relays: the few proxies of a data centre that read the head."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgering import base
from sedgering import messages

if TYPE_CHECKING:
    from sedgering import control

__all__ = ['RelaySystem']

LONGEST_PAUSE_MS = 8000
#: Shortest time between two reads that notices bring forward: anybody can
#: send a notice.
NOTICE_PAUSE_MS = 500


class RelaySystem(base.System):
    """Reads the head about once per interval while this host is a relay.

    A notice from an operator brings the next read forward.
    """

    def __init__(self):
        self._next_poll_ms = 0
        self._noticed_at_ms = -NOTICE_PAUSE_MS
        self._failures = 0
        self._is_reading = False

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Read the head when it is time."""
        if tables.inbox.head_reads:
            self._is_reading = False
            self._failures = 0
        if tables.inbox.platform_failures and self._is_reading:
            self._is_reading = False
            self._failures += 1
            self._next_poll_ms = now_ms + self._pause_ms(tables)
        if not tables.tree.is_relay or self._is_reading:
            return
        if any(item.datagram.head_changed for item in tables.inbox.datagrams):
            earliest_ms = max(now_ms, self._noticed_at_ms + NOTICE_PAUSE_MS)
            if earliest_ms < self._next_poll_ms:
                self._next_poll_ms = earliest_ms
                self._noticed_at_ms = earliest_ms
        if now_ms >= self._next_poll_ms:
            self._is_reading = True
            self._next_poll_ms = now_ms + self._pause_ms(tables)
            tables.outbox.platform.append(messages.ReadHead(False))

    def _pause_ms(self, tables: control.ControlTables) -> int:
        """Jitter the interval, and stretch it while the platform fails."""
        interval_ms = tables.settings.distribution.head_poll_interval_ms
        longest_ms = max(LONGEST_PAUSE_MS, interval_ms)
        stretched_ms = min(interval_ms << min(self._failures, 8), longest_ms)
        if self._failures:
            return tables.rng.randint(interval_ms // 2, stretched_ms)
        return stretched_ms - tables.rng.randrange(interval_ms // 10 + 1)
