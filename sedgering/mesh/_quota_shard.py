"""Asks the keeper of one lane, for all requests that wait."""

import asyncio
import collections
import logging
from typing import Any

from sedgering import base
from sedgering import quota

__all__ = ['ASK_S', 'ShardDriver']

LOG = logging.getLogger(__name__)

#: Longest wait for a keeper's answer: a packet that was lost is sent again
#: after 0.2 s.
ASK_S = 0.35
#: A daemon that needs nothing lends its part again after so long, which is
#: twice within `quota.LEASE_S`.
RENEW_S = 0.5
#: Least time between two messages to a keeper: what is needed meanwhile goes
#: together.
GAP_S = 0.01
#: Most workspaces in a message.
NEEDS_LIMIT = 64
#: Between two lines on workspaces that are short of tokens.
SHORT_LINE_S = 5.0
#: Workspaces that such a line names.
SHORT_TOLD = 8
#: Between two lines of a keeper.
KEPT_LINE_S = 5.0


class ShardDriver:
    """Messages of one daemon about one lane of a shard.

    Parameters
    ----------
    quotas : WorkspaceQuotas
        Whose tokens are fetched.
    shard : ShardId
        Of their workspaces.
    now_s : float
        Time of the event loop.
    """

    def __init__(self, quotas: Any, shard: quota.ShardId, now_s: float):
        self.quotas = quotas
        self.link = quota.ShardLink(quotas.identity.host, shard, now_s)
        self.reserve = quota.AloneReserve(quotas.identity.host, now_s)
        #: Hosts that may keep the shard, the first one best.
        self.ranked: list[base.HostId] = []
        self._waiting: dict[
            base.WorkspaceName, collections.deque[asyncio.Future]
        ] = {}
        #: Until when the keeper has no tokens of a workspace.
        self._dry_until_s: dict[base.WorkspaceName, float] = {}
        self._woken = asyncio.Event()
        #: Whether a better keeper than the present one is there.
        self._probe: asyncio.Task | None = None
        self._sent_s = now_s
        self._short: collections.Counter = collections.Counter()
        self._short_told_s = now_s
        self._kept_told_s = now_s
        self._was_alone = False

    @property
    def is_sound(self) -> bool:
        """Whether its keeper has answered the last question."""
        return self.link.stamp is not None and not self.link.failures

    def find_dry_s(self, workspace: base.WorkspaceName, now_s: float) -> float:
        """Return for how long there are no tokens; 0 if there may be."""
        return max(0.0, self._dry_until_s.get(workspace, now_s) - now_s)

    def retain(self, workspaces: frozenset[base.WorkspaceName]) -> None:
        """Forget the other workspaces."""
        for name in self._dry_until_s.keys() - workspaces:
            del self._dry_until_s[name]

    def wake(self) -> None:
        """Ask soon."""
        self._woken.set()

    async def wait(
        self, workspace: base.WorkspaceName, until_s: float
    ) -> quota.Permit | None:
        """Wait for a token until it is granted or refused."""
        future = asyncio.get_running_loop().create_future()
        waiting = self._waiting.setdefault(workspace, collections.deque())
        waiting.append(future)
        self.wake()
        try:
            async with asyncio.timeout_at(until_s):
                return await future
        except TimeoutError:
            return _find_result(future)
        except asyncio.CancelledError:
            token = _find_result(future)
            if token is not None:
                self.quotas.give_back(token)
            raise
        finally:
            if future in waiting:
                waiting.remove(future)

    def refuse_all(self) -> None:
        """Refuse all requests that wait."""
        for workspace in list(self._waiting):
            self._refuse(workspace)

    async def run(self) -> None:
        """Ask until cancelled."""
        try:
            while True:
                await self._wait_until_due()
                await self._step_safely()
                await asyncio.sleep(GAP_S)
        finally:
            if self._probe is not None:
                self._probe.cancel()

    async def _step_safely(self) -> None:
        try:
            await self._step()
        except Exception:
            # A defect must not end the task: nobody would get tokens.
            LOG.exception('quotas not asked for')

    async def _wait_until_due(self) -> None:
        due_s = self._sent_s + RENEW_S * self.quotas.rng.uniform(0.8, 1.0)
        try:
            async with asyncio.timeout_at(due_s):
                await self._woken.wait()
        except TimeoutError:
            pass
        self._woken.clear()

    async def _step(self) -> None:
        """Send what is due, and serve requests with what comes of it."""
        now_s = self.quotas.now_s()
        self.quotas.refresh_hosts(now_s)
        self._sent_s = now_s
        link = self.link
        candidates = link.list_candidates(self.ranked, now_s)
        if not link.keeper:
            await self._find_keeper(candidates)
        elif self._probe is not None:
            await self._take_probe()
        elif candidates and candidates[0] != link.keeper:
            self._probe = asyncio.create_task(self._ask_better(candidates[0]))
        if link.keeper:
            await self._ask()
        self._serve_alone()
        self._tell_short()
        self._tell_kept()

    async def _find_keeper(self, candidates: list[base.HostId]) -> None:
        """Turn to the best of the keepers that answer."""
        probe = self.link.make_probe()
        answers = await asyncio.gather(
            *(self.quotas.ask(host, probe) for host in candidates)
        )
        now_s = self.quotas.now_s()
        found = list(zip(candidates, answers, strict=True))
        for host, answer in found:
            if answer is None:
                self.link.note_silence(host, now_s)
        for host, answer in found:
            if answer is not None:
                self._turn_to(host, answer, now_s)
                return

    async def _ask_better(
        self, host: base.HostId
    ) -> tuple[base.HostId, quota.QuotaGrant | None, float]:
        """Ask a better keeper whether it is there; the present one serves."""
        answer = await self.quotas.ask(host, self.link.make_probe())
        return host, answer, self.quotas.now_s()

    async def _take_probe(self) -> None:
        """Turn to a better keeper once it has answered."""
        if not self._probe.done():
            return
        link = self.link
        probe, self._probe = self._probe, None
        host, answer, heard_s = probe.result()
        if answer is None:
            link.note_silence(host, heard_s)
            return
        if link.lent_to == link.keeper:
            ended = await self.quotas.ask(link.keeper, link.make_last())
            if ended is not None:
                link.note_ended(self.quotas.now_s())
        self._turn_to(host, answer, heard_s)

    def _turn_to(
        self, host: base.HostId, grant: quota.QuotaGrant, now_s: float
    ) -> None:
        self.link.note_answer(host, grant, now_s)
        LOG.info(
            'quota keeper',
            extra={'peer': host, 'detail': f'shard {self.link.shard}'},
        )

    async def _ask(self) -> None:
        """Send the keeper all needs; take in what it grants."""
        link = self.link
        sent_s = self.quotas.now_s()
        needs = self._list_needs(sent_s)
        ask = link.make_ask(needs, sent_s)
        if ask.lent_from is not None:
            self.reserve.end(sent_s)
        keeper = link.keeper
        grant = await self.quotas.ask(keeper, ask)
        now_s = self.quotas.now_s()
        if grant is None:
            link.note_silence(keeper, now_s)
            self.wake()
            return
        link.note_answer(keeper, grant, now_s)
        self._take_grant(needs, grant, sent_s)

    def _list_needs(self, now_s: float) -> tuple[quota.QuotaNeed, ...]:
        purse = self.quotas.purse
        names = {name: 0 for name, waiting in self._waiting.items() if waiting}
        for name in purse.list_wanted(now_s):
            is_first = self.quotas.find_lanes(name)[0] is self
            if is_first and not self.find_dry_s(name, now_s):
                names[name] = purse.find_ahead(name, now_s)
        needs = (
            quota.QuotaNeed(name, len(self._waiting.get(name, ())), ahead)
            for name, ahead in list(names.items())[:NEEDS_LIMIT]
        )
        return tuple(need for need in needs if need.waiting or need.ahead)

    def _take_grant(
        self,
        needs: tuple[quota.QuotaNeed, ...],
        grant: quota.QuotaGrant,
        sent_s: float,
    ) -> None:
        """Hold what was granted, and give it to the requests that wait."""
        purse = self.quotas.purse
        now_s = self.quotas.now_s()
        if sent_s <= self.quotas.cut_at_s:
            # It may have been granted from the quota before.
            self.wake()
            return
        for need, count, wait_ms in zip(
            needs, grant.granted, grant.waits_ms, strict=False
        ):
            name = need.workspace
            if not self.quotas.is_counted(name):
                continue
            purse.put(name, count, sent_s + quota.TOKEN_S)
            self._serve(name, now_s)
            if wait_ms:
                wait_s = max(wait_ms / 1000, self.link.find_gap_s(now_s))
                self._dry_until_s[name] = now_s + wait_s
                self._refuse(name)

    def _serve(self, workspace: base.WorkspaceName, now_s: float) -> None:
        waiting = self._waiting.get(workspace, ())
        while waiting:
            if waiting[0].done():
                waiting.popleft()
                continue
            token = self.quotas.purse.take(workspace, now_s)
            if token is None:
                return
            waiting.popleft().set_result(token)

    def _refuse(self, workspace: base.WorkspaceName) -> None:
        for future in self._waiting.pop(workspace, ()):
            if not future.done():
                future.set_result(None)
                self._short[workspace] += 1

    def _serve_alone(self) -> None:
        """Serve requests with the own part, where no keeper answers."""
        now_s = self.quotas.now_s()
        is_alone = self.link.is_alone(now_s)
        if is_alone is not self._was_alone:
            self._was_alone = is_alone
            LOG.info(
                'quotas alone' if is_alone else 'quotas not alone',
                extra={'detail': f'shard {self.link.shard}'},
            )
        if not is_alone:
            return
        self.reserve.lend(self.link.find_alone_end_s(), now_s)
        for workspace in list(self._waiting):
            self._serve_from_reserve(workspace, now_s)

    def _serve_from_reserve(
        self, workspace: base.WorkspaceName, now_s: float
    ) -> None:
        purse = self.quotas.purse
        for _ in range(len(self._waiting[workspace])):
            count, wait_ms = self.reserve.take(workspace, now_s)
            purse.put(workspace, count, now_s + quota.TOKEN_S)
            if wait_ms:
                self._dry_until_s[workspace] = now_s + wait_ms / 1000
                break
        self._serve(workspace, now_s)
        self._refuse(workspace)

    def _tell_short(self) -> None:
        """Write which workspaces were refused, once in a while."""
        now_s = self.quotas.now_s()
        if not self._short or now_s < self._short_told_s + SHORT_LINE_S:
            return
        self._short_told_s = now_s
        told = ', '.join(
            f'{name}: {count}'
            for name, count in self._short.most_common(SHORT_TOLD)
        )
        LOG.info(
            'quota refused',
            extra={
                'peer': self.link.keeper,
                'detail': f'shard {self.link.shard}: {told}',
            },
        )
        self._short.clear()

    def _tell_kept(self) -> None:
        """Write what this daemon has granted as a keeper, once in a while."""
        keeper = self.quotas.keeper
        shard = self.link.shard
        now_s = self.quotas.now_s()
        is_due = now_s >= self._kept_told_s + KEPT_LINE_S
        if not is_due or shard not in keeper.shards:
            return
        self._kept_told_s = now_s
        counts = keeper.take_counts(shard)
        if not counts:
            return
        share_percent = round(100 * keeper.find_share(shard))
        LOG.info(
            'quota kept',
            extra={
                'detail': f'shard {shard}, {share_percent} % of hosts: '
                f'{_tell_counts(counts)}',
            },
        )


def _tell_counts(
    counts: dict[base.WorkspaceName, tuple[int, int]],
) -> str:
    """Tell the workspaces that were refused most, then the largest."""
    ranked = sorted(
        counts.items(), key=lambda item: item[1][::-1], reverse=True
    )
    return ', '.join(
        f'{name}: {granted} lent, {refused} refused'
        for name, (granted, refused) in ranked[:SHORT_TOLD]
    )


def _find_result(future: asyncio.Future) -> quota.Permit | None:
    """Return the token that came just as the wait ended."""
    if future.done() and not future.cancelled():
        return future.result()
    return None
