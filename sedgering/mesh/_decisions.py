"""Logs and counts the decisions on requests, at a limited rate."""

import logging

from sedgering import base
from sedgering.mesh import _messages
from sedgering import observability
from sedgering import overload

__all__ = ['DecisionLog']

LOG = logging.getLogger(__name__)


class DecisionLog:
    """Logs decisions on requests; successful ones are sampled.

    Parameters
    ----------
    success_every : int
        One of this many successful requests is logged.
    lines_per_s : int
        Limit of log lines a second. Excess lines are dropped, and their number
        is logged with the next line.
    now_s : callable
        Returns the time of the event loop in seconds.
    """

    def __init__(self, success_every: int, lines_per_s: int, now_s):
        self.success_every = success_every
        self.lines_per_s = lines_per_s
        self.now_s = now_s
        self.counts = observability.RequestCounts()
        self.dropped = 0
        self._successes = 0
        self._tokens = float(lines_per_s)
        self._refilled_s = now_s()

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
        """Log an answer of a target that was passed to the caller."""
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
        """Log an attempt that got no answer of a target.

        Each retry of a request has its own id; the fingerprint identifies
        requests that crash targets repeatedly.
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
        """Count an attempt that is too common to be logged."""
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
        """Log an error that the daemon itself answered.

        Attempts still under way are listed with their current state: what they
        wait for is the cause of a request that ends late.
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
        decision: overload.AdmissionDecision,
        version: base.Version,
    ) -> None:
        """Log a request that was refused before it was sent to any host."""
        self.counts.count('rejected', str(code))
        self._write(
            'request rejected at the source',
            request_id=request_id,
            code=code,
            route=route,
            target_set=target_set,
            workspace=workspace,
            admitted_percent=round(100 * decision.share),
            demand_percent=round(decision.demand_percent),
            age_ms=decision.age_ms,
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
        refill = (now_s - self._refilled_s) * self.lines_per_s
        self._refilled_s = now_s
        self._tokens = min(float(self.lines_per_s), self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
