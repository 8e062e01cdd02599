"""Hosts among which all rates are divided."""

from collections.abc import Iterable

from sedgering import base

__all__ = ['ALONE_S', 'HostLog']

#: For how long a host that has no row any more is counted.  Its daemon has
#: taken the row back, and lends nothing from then on; what it lent before ends
#: a second later.
LINGER_S = 3.0
#: For how long a daemon goes on alone after it last heard a keeper.
ALONE_S = 15.0
#: Time after which all daemons that are in touch count a host that has come.
#: Until then it lends nothing: some divide by one less.
SETTLE_S = 3.0
#: For how long a daemon goes on alone after it last heard a keeper.  Shorter
#: than the above, by more than a row takes to be removed everywhere.
ALONE_S = 15.0


class HostLog:
    """Counts the hosts that have a row, and those that just had one."""

    def __init__(self):
        self.present: frozenset[base.HostId] = frozenset()
        #: Those that came since the start, and when.
        self._came_s: dict[base.HostId, float] = {}
        self._is_known = False
        #: Those without a row, and until when they are counted.
        self._left_s: dict[base.HostId, float] = {}

    def take_hosts(self, hosts: Iterable[base.HostId], now_s: float) -> bool:
        """Take over the hosts that have a row; say whether any changed."""
        hosts = frozenset(hosts)
        if hosts == self.present:
            return False
        for host in self.present - hosts:
            self._left_s[host] = now_s + LINGER_S
        for host in hosts - self.present:
            is_counted = self._left_s.pop(host, None) is not None
            if self._is_known and not is_counted:
                self._came_s[host] = now_s
        self._is_known = True
        self.present = hosts
        return True

    def list_counted(self, now_s: float) -> frozenset[base.HostId]:
        """Return the hosts among which rates are divided."""
        for host in [
            host for host, end_s in self._left_s.items() if now_s >= end_s
        ]:
            del self._left_s[host]
        return self.present | self._left_s.keys()

    def list_settled(self, now_s: float) -> frozenset[base.HostId]:
        """Return the hosts whose parts may be counted."""
        for host in [
            host
            for host, came_s in self._came_s.items()
            if now_s >= came_s + SETTLE_S
        ]:
            del self._came_s[host]
        return self.list_counted(now_s) - self._came_s.keys()
