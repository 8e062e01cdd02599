"""One log line a decision on a request, bounded, and the counters."""

import logging

from sedgering import base
from sedgering.mesh import _messages
from sedgering import observability
from sedgering import overload

__all__ = ['DecisionLog']

LOG = logging.getLogger(__name__)


class DecisionLog:
    """Logs decisions on requests; plain successes are sampled.

    Parameters
    ----------
    success_every : int
        One in so many plain successes is logged.
    lines_per_s : int
        Most lines a second; more are counted, and the count is logged.
    now_s : callable
        Time of the event loop.
    """

    def __init__(self, success_every: int, lines_per_s: int, now_s):
        self.success_every = success_every
        self.lines_per_s = lines_per_s
        self.now_s = now_s
        self.counts = observability.RequestCounts()
        self.dropped = 0
        self._successes = 0
        self._balance = float(lines_per_s)
        self._at_s = now_s()

    def log_success(
        self,
        request_id: base.RequestId,
        route: base.RouteName,
        target_set: base.TargetSetName,
        host: base.HostId,
        status: int,
        elapsed_ms: int,
        version: base.Version,
    ) -> None:
        """Note an answer of a target that was passed on."""
        self.counts.count('answered', str(status))
        self.counts.observe(elapsed_ms / 1000)
        self._successes += 1
        if status < 400 and self._successes % self.success_every:
            return
        self._write(
            'request answered',
            request_id=request_id,
            route=route,
            target_set=target_set,
            peer=host,
            status=status,
            elapsed_ms=elapsed_ms,
            version=version,
        )

    def log_attempt(
        self,
        request_id: base.RequestId,
        route: base.RouteName,
        target_set: base.TargetSetName,
        row: _messages.MemberRow,
        answer: _messages.CallAnswer,
        fingerprint: base.Fingerprint | None,
    ) -> None:
        """Note an attempt that brought no answer of a target.

        Repeats of a request have ids of their own; its fingerprint shows
        which ones ended targets again and again.
        """
        self.counts.count('attempt', answer.reason.value)
        load = answer.load
        self._write(
            'attempt failed',
            request_id=request_id,
            route=route,
            target_set=target_set,
            peer=row.host,
            target=row.target,
            outcome=answer.outcome.value,
            reason=answer.reason.value,
            detail=answer.detail,
            fingerprint=fingerprint or '',
            load=''
            if load is None
            else f'{load.running}/{load.limit}'
            f'+{load.waiting} {load.work_ms}ms',
        )

    def count_attempt(self, reason: _messages.RefusalReason) -> None:
        """Count an attempt that is too usual for a line of its own."""
        self.counts.count('attempt', reason.value)

    def log_refusal(
        self,
        request_id: base.RequestId,
        code: int,
        route: base.RouteName,
        target_set: base.TargetSetName,
        asked: tuple[base.HostId, ...],
        attempts: list[str],
        last: _messages.CallAnswer | None,
        elapsed_ms: int,
        version: base.Version,
        fingerprint: base.Fingerprint | None,
        key_head: str = '',
    ) -> None:
        """Note an answer of the daemon's own.

        Attempts that are still under way are told with where they are: what
        they wait for is the cause of a request that ends late.
        """
        self.counts.count('refused', str(code))
        fields = {'key_head': key_head} if key_head else {}
        self._write(
            'request refused',
            request_id=request_id,
            code=code,
            route=route,
            target_set=target_set,
            asked=asked,
            attempts=attempts,
            reason='' if last is None else last.reason.value,
            elapsed_ms=elapsed_ms,
            version=version,
            fingerprint=fingerprint or '',
            **fields,
        )

    def log_rejection(
        self,
        request_id: base.RequestId,
        code: int,
        route: base.RouteName,
        target_set: base.TargetSetName,
        workspace: base.WorkspaceName,
        verdict: overload.Verdict,
        version: base.Version,
    ) -> None:
        """Note a request that was refused before any host was asked."""
        self.counts.count('rejected', str(code))
        self._write(
            'request rejected at the source',
            request_id=request_id,
            code=code,
            route=route,
            target_set=target_set,
            workspace=workspace,
            admitted_percent=round(100 * verdict.share),
            demand_percent=round(verdict.demand_percent),
            age_ms=verdict.age_ms,
            version=version,
        )

    def _write(self, message: str, **fields) -> None:
        if not self._may_write():
            self.dropped += 1
            self.counts.count('log', 'dropped')
            return
        if self.dropped:
            fields['dropped_lines'] = self.dropped
            self.dropped = 0
        LOG.info(message, extra=fields)

    def _may_write(self) -> bool:
        now_s = self.now_s()
        earned = (now_s - self._at_s) * self.lines_per_s
        self._at_s = now_s
        self._balance = min(float(self.lines_per_s), self._balance + earned)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
