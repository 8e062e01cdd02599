"""What callers of a load got, counted from their first try."""

import msgspec

from sedgering.model import _loads

__all__ = ['KindResult', 'LoadResult', 'SentCalls']

#: Share of its worth that a caller loses that came back after a refusal
#: and was refused again, besides the answer: it has waited for nothing.
REFUSED_AGAIN_COST = 0.3
#: Share of the goal for which a caller that is not served may be held
#: without harm; held for three quarters of its time, its worth is lost.
FREE_HOLD_SHARE = 1 / 8
FULL_HOLD_SHARE = 3 / 4


class KindResult(msgspec.Struct):
    """How the callers of one kind fared.

    Parameters
    ----------
    asked, in_goal, late, refused, failed : int
        Callers, and how their last try ended.
    refused_again : int
        Of the refused and failed, those that had come back.
    refusals : int
        All refusals, those of earlier tries included.
    held_ms : float
        Time for which tries were held that were then refused.
    held_cost : float
        Worth lost by holding callers that were not served.
    """

    asked: int = 0
    in_goal: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refused_again: int = 0
    refusals: int = 0
    held_ms: float = 0.0
    held_cost: float = 0.0

    def note_hold(self, kind: _loads.CallerKind, held_ms: float) -> None:
        """Take in for how long a try was held that was then refused."""
        self.held_ms += held_ms
        free_ms = FREE_HOLD_SHARE * kind.goal_ms
        full_ms = FULL_HOLD_SHARE * kind.deadline_ms
        share = (held_ms - free_ms) / (full_ms - free_ms)
        self.held_cost += kind.worth * min(1.0, max(0.0, share))


class SentCalls(msgspec.Struct):
    """What hosts have sent to targets.

    Parameters
    ----------
    calls : int
        Calls between hosts: questions for a place, refused ones, all.
    answers, far_answers : int
        Calls that have ended, and those of them in another data centre.
    answer_bytes, far_bytes : int
        Size of the answers, and of those from another data centre.
    """

    calls: int = 0
    answers: int = 0
    far_answers: int = 0
    answer_bytes: int = 0
    far_bytes: int = 0

    def note_answer(self, is_far: bool, size_bytes: int) -> None:
        """Take in that a call has ended."""
        self.answers += 1
        self.answer_bytes += size_bytes
        if is_far:
            self.far_answers += 1
            self.far_bytes += size_bytes

    def add(self, other: 'SentCalls') -> None:
        """Add what another host has sent."""
        self.calls += other.calls
        self.answers += other.answers
        self.far_answers += other.far_answers
        self.answer_bytes += other.answer_bytes
        self.far_bytes += other.far_bytes


class LoadResult(msgspec.Struct):
    """How all callers of a load fared.

    Parameters
    ----------
    load : Load
        That was played.
    kinds : dict of str to KindResult
        By name of the kind.
    ends : int
        Targets that have ended, for whatever cause.
    sent : SentCalls
        What all hosts have sent.
    """

    load: _loads.Load
    kinds: dict[str, KindResult]
    ends: int = 0
    sent: SentCalls = msgspec.field(default_factory=SentCalls)

    @property
    def far_share(self) -> float:
        """Share of the calls that left their data centre."""
        answers = self.sent.answers
        return self.sent.far_answers / answers if answers else 0.0

    @property
    def far_bytes_share(self) -> float:
        """Share of the bytes of answers that came from another one."""
        size_bytes = self.sent.answer_bytes
        return self.sent.far_bytes / size_bytes if size_bytes else 0.0

    @property
    def calls_per_try(self) -> float:
        """Calls between hosts for each try of a caller."""
        tries = sum(
            found.asked + found.refusals for found in self.kinds.values()
        )
        return self.sent.calls / tries if tries else 0.0

    @property
    def worth_share(self) -> float:
        """Worth that was earned, less what was lost, of all there was."""
        owed = 0.0
        earned = 0.0
        for kind in self.load.callers:
            found = self.kinds[kind.name]
            owed += kind.worth * found.asked
            earned += kind.worth * found.in_goal
            earned += kind.late_worth * found.late
            earned -= found.held_cost
            lost = REFUSED_AGAIN_COST * found.refused_again
            earned -= kind.worth * lost
        return earned / owed if owed else 0.0

    @property
    def goal_share(self) -> float:
        """Share of all callers that were served within their goal."""
        asked = sum(found.asked for found in self.kinds.values())
        in_goal = sum(found.in_goal for found in self.kinds.values())
        return in_goal / asked if asked else 0.0
