"""Selects the allocator of one partition, and leases it this host's share.

The share of a host is leased to one allocator at a time.  A lease starts at a
timestamp that the allocator sent earlier and lasts `LEASE_S`.  The daemon
received that timestamp after it was taken, so it knows an upper bound for the
end of the lease, even if the allocator reads its request late.
"""

from collections.abc import Collection
from collections.abc import Sequence

import msgspec

from sedgering import base
from sedgering.quota import _hosts
from sedgering.quota import _messages
from sedgering.quota import _ranking

__all__ = ['LEASE_S', 'AllocatorSession']

#: Length of a lease.  When an allocator crashes, the shares leased to it are
#: unused for this long.  Each host renews its lease at least twice in this
#: time.
LEASE_S = 1.2
#: Margin that the host whose share is leased adds to the length of the lease,
#: because the clocks of two hosts run at slightly different rates.
LEASE_MARGIN_S = 0.02
#: Number of best-ranked hosts that are probed together when there is no
#: allocator.
CANDIDATES_LIMIT = 4
#: Number of consecutive unanswered requests after which the allocator is
#: dropped.  A lost packet is retransmitted after 0.2 s.
FAILURES_LIMIT = 2
#: Shortest and longest time for which a host that did not answer is not asked
#: again; the time doubles with each further failure.
BACKOFF_S = 1.0
BACKOFF_LIMIT_S = 4.0

NO_HOST = base.HostId('')


class _Backoff(msgspec.Struct):
    until_s: float
    pause_s: float


class AllocatorSession:
    """Tracks the allocator and the lease of one daemon in one partition.

    Parameters
    ----------
    host : str
        This daemon.
    partition : str
        Id of the partition.
    now_s : float
        Time of the event loop.  An earlier lifetime of the daemon may have
        started a lease just before, so the first lease waits until that one
        has ended.
    """

    def __init__(
        self, host: base.HostId, partition: _ranking.PartitionId, now_s: float
    ):
        self.host = host
        self.partition = partition
        self.allocator = NO_HOST
        #: The last timestamp of the allocator, and when it was received.
        self.stamp: _messages.QuotaStamp | None = None
        self.stamp_received_s = now_s
        #: Which allocator may use this host's share, and until when.
        self.leased_to = NO_HOST
        self.lease_end_s = now_s + LEASE_S + LEASE_MARGIN_S
        #: Latest end of a lease that a timed-out request may have started.
        self.timed_out_lease_end_s = now_s
        self.answered_s = now_s
        self.failures = 0
        #: Whether this daemon is leaving: others will soon stop counting it.
        self.is_leaving = False
        self._backoffs: dict[base.HostId, _Backoff] = {}

    def list_candidates(
        self, ranked: Sequence[base.HostId], now_s: float
    ) -> list[base.HostId]:
        """Return the hosts that may be asked now, the best first.

        Parameters
        ----------
        ranked : sequence of HostId
            All possible allocators of the partition, the best first.
        now_s : float
            Time of the event loop.
        """
        allowed = [
            host
            for host in ranked
            if host not in self._backoffs
            or now_s >= self._backoffs[host].until_s
        ]
        return allowed[:CANDIDATES_LIMIT]

    def retain(self, hosts: Collection[base.HostId]) -> None:
        """Forget the pauses of all other hosts."""
        for host in self._backoffs.keys() - set(hosts):
            del self._backoffs[host]

    def may_lease(self, now_s: float) -> bool:
        """Whether this host's share may be leased to the allocator."""
        if self.stamp is None or self.is_leaving:
            return False
        return self.leased_to == self.allocator or now_s >= self.lease_end_s

    def is_standalone(self, now_s: float) -> bool:
        """Whether no allocator answers, and this host's share is not leased.

        False after `find_standalone_end_s`, and while the daemon leaves.
        """
        return (
            self.stamp is None
            and not self.is_leaving
            and now_s >= self.lease_end_s
            and now_s < self.find_standalone_end_s()
        )

    def find_standalone_end_s(self) -> float:
        """Return the time until which the daemon may use its own share."""
        return self.answered_s + _hosts.STANDALONE_LIMIT_S

    def find_unused_s(self, now_s: float) -> float:
        """Return the time until this host's share can be used again.

        No other allocator may use it before the lease to a former one has
        ended.
        """
        if self.leased_to == self.allocator and self.stamp is not None:
            return 0.0
        return max(0.0, self.lease_end_s - now_s)

    def make_request(
        self, needs: tuple[_messages.QuotaNeed, ...], now_s: float
    ) -> _messages.QuotaRequest:
        """Make the next token request, with a lease where one is allowed."""
        if not self.may_lease(now_s):
            return _messages.QuotaRequest(self.host, self.partition, needs)
        end_s = self.stamp_received_s + LEASE_S + LEASE_MARGIN_S
        self.leased_to = self.allocator
        self.lease_end_s = max(self.lease_end_s, end_s)
        return _messages.QuotaRequest(
            self.host, self.partition, needs, self.stamp
        )

    def make_probe(self) -> _messages.QuotaRequest:
        """Make a request that only checks whether a host answers."""
        return _messages.QuotaRequest(self.host, self.partition)

    def make_release(self) -> _messages.QuotaRequest:
        """Make a request that ends the lease."""
        return _messages.QuotaRequest(self.host, self.partition, is_last=True)

    def note_answer(
        self,
        allocator: base.HostId,
        grant: _messages.QuotaGrant,
        now_s: float,
    ) -> None:
        """Note that a host has answered, and use it as the allocator."""
        self.allocator = allocator
        self.stamp = grant.stamp
        self.stamp_received_s = now_s
        self.answered_s = now_s
        self.failures = 0
        self._backoffs.pop(allocator, None)

    def note_released(self, now_s: float) -> None:
        """Note that the allocator has ended the lease."""
        end_s = max(now_s, self.timed_out_lease_end_s)
        self.lease_end_s = min(self.lease_end_s, end_s)

    def note_timeout(self, host: base.HostId, now_s: float) -> None:
        """Note that a host has not answered."""
        if host == self.allocator:
            self.timed_out_lease_end_s = self.lease_end_s
            self.failures += 1
            if self.failures < FAILURES_LIMIT:
                return
            self.reset_allocator()
        old = self._backoffs.get(host)
        pause_s = min(BACKOFF_LIMIT_S, old.pause_s * 2) if old else BACKOFF_S
        self._backoffs[host] = _Backoff(now_s + pause_s, pause_s)

    def reset_allocator(self) -> None:
        """Drop the allocator; a lease to it still runs until its end."""
        self.allocator = NO_HOST
        self.stamp = None
        self.failures = 0
