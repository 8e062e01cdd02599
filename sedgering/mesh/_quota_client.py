"""Fetches tokens from the allocator of one partition."""

import asyncio
import collections
import logging
from typing import Any

from sedgering import base
from sedgering import quota

__all__ = ['REQUEST_TIMEOUT_S', 'PartitionClient']

LOG = logging.getLogger(__name__)

#: Longest wait for an allocator's answer: a lost packet is sent again after
#: 0.2 s.
REQUEST_TIMEOUT_S = 0.35
#: A daemon that needs no tokens renews its lease at this interval, which is
#: twice within `quota.LEASE_S`.
RENEW_INTERVAL_S = 0.5
#: Least time between two requests to an allocator: needs that arise in between
#: are sent together.
MIN_INTERVAL_S = 0.01
#: Most workspaces in a token request.
NEEDS_LIMIT = 64
#: Least time between two log lines on workspaces that were refused tokens.
REFUSED_LOG_INTERVAL_S = 5.0
#: Most workspaces in a log line.
LOGGED_WORKSPACES_LIMIT = 8
#: Least time between two log lines on the tokens granted as an allocator.
GRANTED_LOG_INTERVAL_S = 5.0


class PartitionClient:
    """Requests of one daemon to the allocator of one partition.

    Parameters
    ----------
    quotas : WorkspaceQuotas
        Whose tokens are fetched.
    partition : PartitionId
        Partition of their workspaces.
    now_s : float
        Time of the event loop.
    """

    def __init__(
        self, quotas: Any, partition: quota.PartitionId, now_s: float
    ):
        self.quotas = quotas
        self.session = quota.AllocatorSession(
            quotas.identity.host, partition, now_s
        )
        self.standalone = quota.StandaloneBuckets(quotas.identity.host, now_s)
        #: Possible allocators of the partition, the best first.
        self.ranked: list[base.HostId] = []
        self._waiting: dict[
            base.WorkspaceName, collections.deque[asyncio.Future]
        ] = {}
        #: Until when the partition has no tokens of a workspace.
        self._exhausted_until_s: dict[base.WorkspaceName, float] = {}
        self._woken = asyncio.Event()
        #: Asks a host that ranks better than the present allocator.
        self._probe: asyncio.Task | None = None
        self._sent_s = now_s
        self._refused: collections.Counter = collections.Counter()
        self._refused_logged_s = now_s
        self._granted_logged_s = now_s
        self._was_standalone = False

    @property
    def is_healthy(self) -> bool:
        """Whether the allocator has answered the last request."""
        return self.session.stamp is not None and not self.session.failures

    def find_exhausted_s(
        self, workspace: base.WorkspaceName, now_s: float
    ) -> float:
        """Return for how long there are no tokens; 0 if there may be some."""
        return max(0.0, self._exhausted_until_s.get(workspace, now_s) - now_s)

    def set_ranked(self, ranked: list[base.HostId]) -> None:
        """Set the possible allocators of the partition, the best first."""
        self.ranked = ranked
        self.session.retain(ranked)

    def retain(self, workspaces: frozenset[base.WorkspaceName]) -> None:
        """Forget all other workspaces."""
        for name in self._exhausted_until_s.keys() - workspaces:
            del self._exhausted_until_s[name]

    def wake(self) -> None:
        """Send the next token request soon."""
        self._woken.set()

    async def wait(
        self, workspace: base.WorkspaceName, until_s: float
    ) -> quota.Permit | None:
        """Wait until a token is granted; None when refused or timed out."""
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
            if not waiting and self._waiting.get(workspace) is waiting:
                del self._waiting[workspace]

    def refuse_all(self) -> None:
        """Refuse all waiting requests."""
        for workspace in list(self._waiting):
            self._refuse(workspace)

    async def run(self) -> None:
        """Send token requests until cancelled."""
        try:
            while True:
                await self._wait_until_due()
                await self._step_safely()
                await asyncio.sleep(MIN_INTERVAL_S)
        finally:
            if self._probe is not None:
                self._probe.cancel()

    async def _step_safely(self) -> None:
        try:
            await self._step()
        except Exception:
            # A defect must not end the task: no request of these workspaces
            # would get a token any more.
            LOG.exception('fetching quota tokens failed')

    async def _wait_until_due(self) -> None:
        due_s = self._sent_s + RENEW_INTERVAL_S * self.quotas.rng.uniform(
            0.8, 1.0
        )
        try:
            async with asyncio.timeout_at(due_s):
                await self._woken.wait()
        except TimeoutError:
            pass
        self._woken.clear()

    async def _step(self) -> None:
        """Select an allocator, request tokens, and serve waiting requests."""
        now_s = self.quotas.now_s()
        self.quotas.refresh_hosts(now_s)
        self._sent_s = now_s
        session = self.session
        candidates = session.list_candidates(self.ranked, now_s)
        if not session.allocator:
            await self._select_allocator(candidates)
        elif self._probe is not None:
            await self._finish_probe()
        elif candidates and candidates[0] != session.allocator:
            self._probe = asyncio.create_task(self._send_probe(candidates[0]))
        if session.allocator:
            await self._request_tokens()
        self._serve_standalone()
        self._log_refused()
        self._log_granted()

    async def _select_allocator(self, candidates: list[base.HostId]) -> None:
        """Use the best of the candidates that answer."""
        probe = self.session.make_probe()
        answers = await asyncio.gather(
            *(self.quotas.send(host, probe) for host in candidates)
        )
        now_s = self.quotas.now_s()
        found = list(zip(candidates, answers, strict=True))
        for host, answer in found:
            if answer is None:
                self.session.note_timeout(host, now_s)
        for host, answer in found:
            if answer is not None:
                self._switch_to(host, answer, now_s)
                return

    async def _send_probe(
        self, host: base.HostId
    ) -> tuple[base.HostId, quota.QuotaGrant | None, float]:
        """Ask a better-ranked host while the present allocator serves."""
        answer = await self.quotas.send(host, self.session.make_probe())
        return host, answer, self.quotas.now_s()

    async def _finish_probe(self) -> None:
        """Switch to the better-ranked host once it has answered."""
        if not self._probe.done():
            return
        session = self.session
        probe, self._probe = self._probe, None
        host, answer, answered_s = probe.result()
        if answer is None:
            session.note_timeout(host, answered_s)
            return
        if session.leased_to == session.allocator:
            released = await self.quotas.send(
                session.allocator, session.make_release()
            )
            if released is not None:
                session.note_released(self.quotas.now_s())
        self._switch_to(host, answer, answered_s)

    def _switch_to(
        self, host: base.HostId, grant: quota.QuotaGrant, now_s: float
    ) -> None:
        self.session.note_answer(host, grant, now_s)
        LOG.info(
            'quota allocator selected',
            extra={
                'peer': host,
                'detail': f'partition {self.session.partition}',
            },
        )

    async def _request_tokens(self) -> None:
        """Send the allocator all needs, and apply its grant."""
        session = self.session
        sent_s = self.quotas.now_s()
        needs = self._list_needs(sent_s)
        request = session.make_request(needs, sent_s)
        if request.lent_from is not None:
            self.standalone.deactivate(sent_s)
        allocator = session.allocator
        grant = await self.quotas.send(allocator, request)
        now_s = self.quotas.now_s()
        if grant is None:
            session.note_timeout(allocator, now_s)
            self.wake()
            return
        session.note_answer(allocator, grant, now_s)
        self._apply_grant(needs, grant, sent_s)

    def _list_needs(self, now_s: float) -> tuple[quota.QuotaNeed, ...]:
        """Return the needs of waiting requests, and of prefetching."""
        permit_cache = self.quotas.permit_cache
        names = {name: 0 for name, waiting in self._waiting.items() if waiting}
        for name in permit_cache.list_prefetched(now_s):
            is_first = self.quotas.find_clients(name)[0] is self
            if is_first and not self.find_exhausted_s(name, now_s):
                names[name] = permit_cache.count_missing(name, now_s)
        needs = (
            quota.QuotaNeed(name, len(self._waiting.get(name, ())), prefetch)
            for name, prefetch in list(names.items())[:NEEDS_LIMIT]
        )
        return tuple(need for need in needs if need.waiting or need.ahead)

    def _apply_grant(
        self,
        needs: tuple[quota.QuotaNeed, ...],
        grant: quota.QuotaGrant,
        sent_s: float,
    ) -> None:
        """Cache the granted tokens, and give them to waiting requests."""
        permit_cache = self.quotas.permit_cache
        now_s = self.quotas.now_s()
        if sent_s <= self.quotas.lowered_at_s:
            # The tokens may have been granted under the former, higher quota.
            self.wake()
            return
        for need, count, wait_ms in zip(
            needs, grant.granted, grant.waits_ms, strict=False
        ):
            name = need.workspace
            if not self.quotas.has_quota(name):
                continue
            permit_cache.put(name, count, sent_s + quota.TOKEN_LIFETIME_S)
            self._serve(name, now_s)
            if wait_ms:
                wait_s = max(wait_ms / 1000, self.session.find_unused_s(now_s))
                self._exhausted_until_s[name] = now_s + wait_s
                self._refuse(name)

    def _serve(self, workspace: base.WorkspaceName, now_s: float) -> None:
        """Give cached tokens to waiting requests, the oldest first."""
        waiting = self._waiting.get(workspace, ())
        while waiting:
            if waiting[0].done():
                waiting.popleft()
                continue
            token = self.quotas.permit_cache.take(workspace, now_s)
            if token is None:
                return
            waiting.popleft().set_result(token)

    def _refuse(self, workspace: base.WorkspaceName) -> None:
        """Refuse all waiting requests of a workspace."""
        for future in self._waiting.pop(workspace, ()):
            if not future.done():
                future.set_result(None)
                self._refused[workspace] += 1

    def _serve_standalone(self) -> None:
        """Serve requests from this host's share if no allocator answers."""
        now_s = self.quotas.now_s()
        is_standalone = self.session.is_standalone(now_s)
        if is_standalone is not self._was_standalone:
            self._was_standalone = is_standalone
            LOG.info(
                'quota standalone mode on'
                if is_standalone
                else 'quota standalone mode off',
                extra={'detail': f'partition {self.session.partition}'},
            )
        if not is_standalone:
            return
        self.standalone.activate(self.session.find_standalone_end_s(), now_s)
        for workspace in list(self._waiting):
            self._serve_workspace_standalone(workspace, now_s)

    def _serve_workspace_standalone(
        self, workspace: base.WorkspaceName, now_s: float
    ) -> None:
        permit_cache = self.quotas.permit_cache
        for _ in range(len(self._waiting[workspace])):
            count, wait_ms = self.standalone.take(workspace, now_s)
            permit_cache.put(workspace, count, now_s + quota.TOKEN_LIFETIME_S)
            if wait_ms:
                self._exhausted_until_s[workspace] = now_s + wait_ms / 1000
                break
        self._serve(workspace, now_s)
        self._refuse(workspace)

    def _log_refused(self) -> None:
        """Log the workspaces that were refused most, at an interval."""
        now_s = self.quotas.now_s()
        if (
            not self._refused
            or now_s < self._refused_logged_s + REFUSED_LOG_INTERVAL_S
        ):
            return
        self._refused_logged_s = now_s
        counts = ', '.join(
            f'{name}: {count}'
            for name, count in self._refused.most_common(
                LOGGED_WORKSPACES_LIMIT
            )
        )
        LOG.info(
            'quota tokens refused',
            extra={
                'peer': self.session.allocator,
                'detail': f'partition {self.session.partition}: {counts}',
            },
        )
        self._refused.clear()

    def _log_granted(self) -> None:
        """Log what this daemon granted as an allocator, at an interval."""
        allocator = self.quotas.allocator
        partition = self.session.partition
        now_s = self.quotas.now_s()
        is_due = now_s >= self._granted_logged_s + GRANTED_LOG_INTERVAL_S
        if not is_due or partition not in allocator.partitions:
            return
        self._granted_logged_s = now_s
        counts = allocator.pop_counts(partition)
        if not counts:
            return
        leased_percent = round(100 * allocator.find_leased_share(partition))
        LOG.info(
            'quota tokens granted',
            extra={
                'detail': f'partition {partition}, leases of '
                f'{leased_percent} % of hosts: {_format_counts(counts)}',
            },
        )


def _format_counts(
    counts: dict[base.WorkspaceName, tuple[int, int]],
) -> str:
    """List the workspaces with most refusals, then those with most grants."""
    ranked = sorted(
        counts.items(), key=lambda item: item[1][::-1], reverse=True
    )
    return ', '.join(
        f'{name}: {granted} granted, {refused} refused'
        for name, (granted, refused) in ranked[:LOGGED_WORKSPACES_LIMIT]
    )


def _find_result(future: asyncio.Future) -> quota.Permit | None:
    """Return the token that was granted just as the wait ended."""
    if future.done() and not future.cancelled():
        return future.result()
    return None
