"""Answers of a daemon that keeps the tokens of a shard."""

from sedgering import base
from sedgering.quota import _book
from sedgering.quota import _link
from sedgering.quota import _messages
from sedgering.quota import _plan
from sedgering.quota import _ranking

__all__ = ['QuotaKeeper']

#: Shards that are kept at a time; more come about only while daemons disagree
#: on how many there are.
BOOKS_LIMIT = 16


class QuotaKeeper:
    """The books of all shards for which this daemon is asked.

    A keeper is not appointed, and starts with empty buckets.

    Parameters
    ----------
    life : int
        Of this daemon; another one after each start.
    """

    def __init__(self, life: int):
        self.life = life
        self._plans: dict[base.WorkspaceName, _plan.QuotaPlan] = {}
        self._counted: frozenset[base.HostId] = frozenset()
        self._settled: frozenset[base.HostId] = frozenset()
        self._books: dict[_ranking.ShardId, _book.ShardBook] = {}
        self._asked_s: dict[_ranking.ShardId, float] = {}

    @property
    def shards(self) -> tuple[_ranking.ShardId, ...]:
        """Shards for which it was asked."""
        return tuple(self._books)

    def find_share(self, shard: _ranking.ShardId) -> float:
        """Return the share of all hosts that lend for a shard."""
        return self._books[shard].share

    def list_lenders(
        self, shard: _ranking.ShardId, now_s: float
    ) -> list[base.HostId]:
        """Return the hosts whose parts are counted here."""
        book = self._books.get(shard)
        return book.list_lenders(now_s) if book else []

    def find_level(
        self, shard: _ranking.ShardId, workspace: base.WorkspaceName
    ) -> float:
        """Return how many tokens of a workspace are there to grant."""
        book = self._books.get(shard)
        return book.find_level(workspace) if book else 0.0

    def take_counts(
        self, shard: _ranking.ShardId
    ) -> dict[base.WorkspaceName, tuple[int, int]]:
        """Return what was granted and refused since the last look."""
        return self._books[shard].take_counts()

    def take_plans(
        self,
        plans: dict[base.WorkspaceName, _plan.QuotaPlan],
        now_s: float,
    ) -> None:
        """Put other quotas in force."""
        self._plans = plans
        for shard, book in self._books.items():
            book.take_plans(self._find_plans(shard), now_s)

    def take_hosts(
        self,
        counted: frozenset[base.HostId],
        settled: frozenset[base.HostId],
        now_s: float,
    ) -> None:
        """Divide all rates among other hosts; some of them may lend."""
        self._settled = settled
        if counted == self._counted:
            return
        self._counted = counted
        for book in self._books.values():
            book.take_hosts(counted, now_s)

    def answer(
        self, ask: _messages.QuotaAsk, now_s: float
    ) -> _messages.QuotaGrant:
        """Take in what a daemon lends, and grant what it needs.

        Parameters
        ----------
        ask : QuotaAsk
            Of a daemon, or of this one.
        now_s : float
            Time of the event loop.

        Raises
        ------
        ValueError
            When it names a lane that cannot be.
        """
        book = self._find_book(_ranking.check_lane(ask.shard), now_s)
        if ask.is_last:
            book.end(ask.host, now_s)
        elif ask.lent_from is not None:
            self._lend(book, ask, now_s)
        grants = [
            book.grant(need.workspace, need.waiting, need.ahead, now_s)
            for need in ask.needs
        ]
        return _messages.QuotaGrant(
            _messages.QuotaStamp(self.life, int(1000 * now_s)),
            tuple(tokens for tokens, _wait_ms in grants),
            tuple(wait_ms for _tokens, wait_ms in grants),
        )

    def _lend(
        self,
        book: _book.ShardBook,
        ask: _messages.QuotaAsk,
        now_s: float,
    ) -> None:
        stamp = ask.lent_from
        is_own = stamp.life == self.life
        if not is_own or ask.host not in self._settled:
            return
        from_s = min(now_s, stamp.at_ms / 1000)
        book.lend(ask.host, from_s + _link.LEASE_S, now_s)

    def _find_book(
        self, shard: _ranking.ShardId, now_s: float
    ) -> _book.ShardBook:
        self._asked_s[shard] = now_s
        book = self._books.get(shard)
        if book is None:
            if len(self._books) >= BOOKS_LIMIT:
                oldest = min(self._books, key=self._asked_s.__getitem__)
                del self._books[oldest], self._asked_s[oldest]
            book = _book.ShardBook(
                self._find_plans(shard),
                len(self._counted),
                now_s,
                _find_capacity,
            )
            self._books[shard] = book
        return book

    def _find_plans(
        self, shard: _ranking.ShardId
    ) -> dict[base.WorkspaceName, _plan.QuotaPlan]:
        return {
            name: plan
            for name, plan in self._plans.items()
            if _ranking.holds_workspace(shard, name)
        }


def _find_capacity(
    _workspace: base.WorkspaceName, plan: _plan.QuotaPlan, share: float
) -> float:
    return plan.capacity * share
