"""Results of a simulated load, measured from each caller's first attempt."""

import msgspec

from sedgering.model import _loads

__all__ = ['CallStats', 'KindResult', 'LoadResult']

#: Share of a caller's worth that is deducted if it fails after a retry, in
#: addition to the missing answer, because it waited in vain.
FAILED_RETRY_COST = 0.3
#: Share of the latency goal within which a refusal costs nothing. The cost
#: then rises linearly to the caller's full worth, which is reached after three
#: quarters of the caller's deadline.
FREE_DELAY_SHARE = 1 / 8
FULL_COST_DELAY_SHARE = 3 / 4


class KindResult(msgspec.Struct):
    """Results of the callers of one kind.

    Parameters
    ----------
    asked : int
        Number of callers.
    in_goal, late, refused, failed : int
        Callers by the result of their last attempt: answered within the
        latency goal, answered later, refused, and failed otherwise.
    failed_after_retry : int
        Callers among the refused and failed that had retried.
    refusals : int
        Refused attempts, including those that were retried.
    refusal_delay_ms : float
        Total time from the start of refused attempts to their refusal, in
        milliseconds.
    refusal_delay_cost : float
        Worth lost because attempts were refused late.
    """

    asked: int = 0
    in_goal: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    failed_after_retry: int = 0
    refusals: int = 0
    refusal_delay_ms: float = 0.0
    refusal_delay_cost: float = 0.0

    def record_refusal_delay(
        self, kind: _loads.CallerKind, refusal_delay_ms: float
    ) -> None:
        """Add the delay of a refused attempt, and its cost."""
        self.refusal_delay_ms += refusal_delay_ms
        free_delay_ms = FREE_DELAY_SHARE * kind.goal_ms
        full_cost_delay_ms = FULL_COST_DELAY_SHARE * kind.deadline_ms
        share = (refusal_delay_ms - free_delay_ms) / (
            full_cost_delay_ms - free_delay_ms
        )
        self.refusal_delay_cost += kind.worth * min(1.0, max(0.0, share))


class CallStats(msgspec.Struct):
    """Statistics of the calls that hosts sent to targets.

    Parameters
    ----------
    calls : int
        Calls between hosts, including refused ones and those that look for a
        free slot.
    answers, far_answers : int
        Completed calls, and those of them to another data centre.
    answer_bytes, far_bytes : int
        Size of all response bodies, and of those from another data centre,
        in bytes.
    """

    calls: int = 0
    answers: int = 0
    far_answers: int = 0
    answer_bytes: int = 0
    far_bytes: int = 0

    def record_answer(self, is_far: bool, size_bytes: int) -> None:
        """Count a completed call and the size of its response body."""
        self.answers += 1
        self.answer_bytes += size_bytes
        if is_far:
            self.far_answers += 1
            self.far_bytes += size_bytes

    def add(self, other: 'CallStats') -> None:
        """Add the statistics of another host."""
        self.calls += other.calls
        self.answers += other.answers
        self.far_answers += other.far_answers
        self.answer_bytes += other.answer_bytes
        self.far_bytes += other.far_bytes


class LoadResult(msgspec.Struct):
    """Results of all callers of a simulated load.

    Parameters
    ----------
    load : Load
        Load pattern that was simulated.
    kinds : dict of str to KindResult
        Results by name of the kind of callers.
    ends : int
        Number of target crashes, whatever their cause.
    call_stats : CallStats
        Calls between all hosts.
    """

    load: _loads.Load
    kinds: dict[str, KindResult]
    ends: int = 0
    call_stats: CallStats = msgspec.field(default_factory=CallStats)

    @property
    def far_share(self) -> float:
        """Share of the completed calls that went to another data centre."""
        answers = self.call_stats.answers
        return self.call_stats.far_answers / answers if answers else 0.0

    @property
    def far_bytes_share(self) -> float:
        """Share of the response bytes that came from another data centre."""
        size_bytes = self.call_stats.answer_bytes
        return self.call_stats.far_bytes / size_bytes if size_bytes else 0.0

    @property
    def calls_per_attempt(self) -> float:
        """Mean number of calls between hosts for each attempt of a caller.

        The attempts are counted as the callers plus the refused attempts.
        """
        attempts = sum(
            result.asked + result.refusals for result in self.kinds.values()
        )
        return self.call_stats.calls / attempts if attempts else 0.0

    @property
    def worth_share(self) -> float:
        """Worth of the answers less penalties, as a share of the maximum."""
        max_worth = 0.0
        worth_sum = 0.0
        for kind in self.load.callers:
            result = self.kinds[kind.name]
            max_worth += kind.worth * result.asked
            worth_sum += kind.worth * result.in_goal
            worth_sum += kind.late_worth * result.late
            worth_sum -= result.refusal_delay_cost
            failed_retry_cost = FAILED_RETRY_COST * result.failed_after_retry
            worth_sum -= kind.worth * failed_retry_cost
        return worth_sum / max_worth if max_worth else 0.0

    @property
    def goal_share(self) -> float:
        """Share of all callers that were answered within their goal."""
        asked = sum(result.asked for result in self.kinds.values())
        in_goal = sum(result.in_goal for result in self.kinds.values())
        return in_goal / asked if asked else 0.0
