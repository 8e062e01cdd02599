"""Tracks the hosts among which each rate is divided."""

from collections.abc import Iterable

from sedgering import base

__all__ = ['STANDALONE_LIMIT_S', 'HostTracker']

#: For how long a host is still counted after its row is gone.  Its daemon
#: removed the row itself and starts no lease from then on; its last lease ends
#: about a second later.
REMOVED_HOST_GRACE_S = 3.0
#: For how long a daemon uses its own share after the last answer from an
#: allocator.
STANDALONE_LIMIT_S = 15.0
#: Time after which all connected daemons count a new host.  Until then it must
#: start no lease, because some daemons still divide the rates by one host
#: less.
NEW_HOST_DELAY_S = 3.0
#: For how long a daemon uses its own share after the last answer from an
#: allocator.  It must end before other daemons stop counting this host, with a
#: margin for the time until the removal of its row has reached all of them.
STANDALONE_LIMIT_S = 15.0


class HostTracker:
    """Tracks the hosts that have a row or lost theirs a moment ago."""

    def __init__(self):
        self.present: frozenset[base.HostId] = frozenset()
        #: When each new host appeared; hosts of the first update are not new.
        self._appeared_s: dict[base.HostId, float] = {}
        self._has_first_update = False
        #: Hosts without a row, and until when they are still counted.
        self._grace_ends_s: dict[base.HostId, float] = {}

    def update(self, hosts: Iterable[base.HostId], now_s: float) -> bool:
        """Set the hosts that have a row; return whether they changed."""
        hosts = frozenset(hosts)
        if hosts == self.present:
            return False
        for host in self.present - hosts:
            self._grace_ends_s[host] = now_s + REMOVED_HOST_GRACE_S
        for host in hosts - self.present:
            is_counted = self._grace_ends_s.pop(host, None) is not None
            if self._has_first_update and not is_counted:
                self._appeared_s[host] = now_s
        self._has_first_update = True
        self.present = hosts
        return True

    def list_counted(self, now_s: float) -> frozenset[base.HostId]:
        """Return the hosts among which each rate is divided."""
        for host in [
            host
            for host, end_s in self._grace_ends_s.items()
            if now_s >= end_s
        ]:
            del self._grace_ends_s[host]
        return self.present | self._grace_ends_s.keys()

    def list_established(self, now_s: float) -> frozenset[base.HostId]:
        """Return the hosts that may lease their shares: all but new ones."""
        for host in [
            host
            for host, appeared_s in self._appeared_s.items()
            if now_s >= appeared_s + NEW_HOST_DELAY_S
        ]:
            del self._appeared_s[host]
        return self.list_counted(now_s) - self._appeared_s.keys()
