"""All judges."""

from sedgering.testing.judges import _clauses
from sedgering.testing.judges import _lost

__all__ = ['JUDGES', 'judge_trial']

JUDGES = (*_lost.JUDGES, *_clauses.JUDGES)


def judge_trial(trial: _lost.Trial) -> list[_lost.Finding]:
    """Return the findings of all judges."""
    return [finding for judge in JUDGES for finding in judge.judge(trial)]
