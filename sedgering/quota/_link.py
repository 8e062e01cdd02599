"""To whom a daemon lends its part of the rates of a shard, and until when.

The part is counted in one place at a time.  A keeper counts it for `LEASE_S`
from a moment that it has told itself, so the sender knows when that ends even
if its message is read late: it heard of that moment after it had passed.
"""

from collections.abc import Sequence

import msgspec

from sedgering import base
from sedgering.quota import _hosts
from sedgering.quota import _messages
from sedgering.quota import _ranking

__all__ = ['LEASE_S', 'ShardLink']

#: For how long a part is counted.  When a keeper ends without a word, nobody
#: counts what it was lent for so long; each host speaks at least twice
#: meanwhile.
LEASE_S = 1.2
#: Added to it by the lender: clocks of two hosts differ a little in speed.
LEASE_MARGIN_S = 0.02
#: Keepers by rank that are asked at a time for whether they are there.
CANDIDATES = 4
#: Questions in a row without an answer after which a keeper is given up.  A
#: packet that was lost is sent again after 0.2 s.
FAILURES_LIMIT = 2
#: For how long one that was given up is not asked, at first and at most.
SHUN_S = 1.0
SHUN_LIMIT_S = 4.0

NO_HOST = base.HostId('')


class _Shun(msgspec.Struct):
    until_s: float
    pause_s: float


class ShardLink:
    """One daemon's dealings with the keepers of one shard.

    Parameters
    ----------
    host : str
        This daemon.
    shard : str
        Of the workspaces.
    now_s : float
        Time of the event loop.  What an earlier lifetime of the daemon has
        lent may be counted for a while yet.
    """

    def __init__(
        self, host: base.HostId, shard: _ranking.ShardId, now_s: float
    ):
        self.host = host
        self.shard = shard
        self.keeper = NO_HOST
        #: The last moment that the keeper told, and when it was heard.
        self.stamp: _messages.QuotaStamp | None = None
        self.stamp_heard_s = now_s
        #: Who may count the own part, and until when.
        self.lent_to = NO_HOST
        self.lent_until_s = now_s + LEASE_S + LEASE_MARGIN_S
        #: Until when a message may be counted that was given up.
        self.doubt_until_s = now_s
        self.heard_s = now_s
        self.failures = 0
        #: Whether this daemon is leaving, and counted no more soon.
        self.is_leaving = False
        self._shunned: dict[base.HostId, _Shun] = {}

    def list_candidates(
        self, ranked: Sequence[base.HostId], now_s: float
    ) -> list[base.HostId]:
        """Return the keepers that may be asked now, the best first.

        Parameters
        ----------
        ranked : sequence of HostId
            All that may keep the shard.
        now_s : float
            Time of the event loop.
        """
        allowed = [
            host
            for host in ranked
            if host not in self._shunned
            or now_s >= self._shunned[host].until_s
        ]
        return allowed[:CANDIDATES]

    def may_lend(self, now_s: float) -> bool:
        """Whether the keeper can be lent the own part."""
        if self.stamp is None or self.is_leaving:
            return False
        return self.lent_to == self.keeper or now_s >= self.lent_until_s

    def is_alone(self, now_s: float) -> bool:
        """Whether nobody answers, and nobody counts the own part."""
        return (
            self.stamp is None
            and not self.is_leaving
            and now_s >= self.lent_until_s
            and now_s < self.find_alone_end_s()
        )

    def find_alone_end_s(self) -> float:
        """Return until when the daemon may go on without a keeper."""
        return self.heard_s + _hosts.ALONE_S

    def find_gap_s(self, now_s: float) -> float:
        """Return for how long the own part is of no use to anybody."""
        if self.lent_to == self.keeper and self.stamp is not None:
            return 0.0
        return max(0.0, self.lent_until_s - now_s)

    def make_ask(
        self, needs: tuple[_messages.QuotaNeed, ...], now_s: float
    ) -> _messages.QuotaAsk:
        """Make the next question to the keeper; it lends, if that may be."""
        if not self.may_lend(now_s):
            return _messages.QuotaAsk(self.host, self.shard, needs)
        until_s = self.stamp_heard_s + LEASE_S + LEASE_MARGIN_S
        self.lent_to = self.keeper
        self.lent_until_s = max(self.lent_until_s, until_s)
        return _messages.QuotaAsk(self.host, self.shard, needs, self.stamp)

    def make_probe(self) -> _messages.QuotaAsk:
        """Make a question that only asks whether a keeper is there."""
        return _messages.QuotaAsk(self.host, self.shard)

    def make_last(self) -> _messages.QuotaAsk:
        """Make a message that ends what was lent."""
        return _messages.QuotaAsk(self.host, self.shard, is_last=True)

    def note_answer(
        self,
        keeper: base.HostId,
        grant: _messages.QuotaGrant,
        now_s: float,
    ) -> None:
        """Note that a keeper has answered, and turn to it."""
        self.keeper = keeper
        self.stamp = grant.stamp
        self.stamp_heard_s = now_s
        self.heard_s = now_s
        self.failures = 0
        self._shunned.pop(keeper, None)

    def note_ended(self, now_s: float) -> None:
        """Note that the keeper counts the own part no more."""
        end_s = max(now_s, self.doubt_until_s)
        self.lent_until_s = min(self.lent_until_s, end_s)

    def note_silence(self, keeper: base.HostId, now_s: float) -> None:
        """Note that a keeper has not answered."""
        if keeper == self.keeper:
            self.doubt_until_s = self.lent_until_s
            self.failures += 1
            if self.failures < FAILURES_LIMIT:
                return
            self.leave()
        old = self._shunned.get(keeper)
        pause_s = min(SHUN_LIMIT_S, old.pause_s * 2) if old else SHUN_S
        self._shunned[keeper] = _Shun(now_s + pause_s, pause_s)

    def leave(self) -> None:
        """Turn away from the keeper."""
        self.keeper = NO_HOST
        self.stamp = None
        self.failures = 0
