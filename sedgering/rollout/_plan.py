"""When a rollout goes on to its next stage."""

import msgspec

from sedgering.rollout import _evidence
from sedgering.rollout import _model
from sedgering.rollout import _verdict

__all__ = ['Sight', 'make_rollout', 'plan_next']

#: Shares of the ordered duration.  A good version moves after the first one
#: at the earliest: some turn bad seconds after their start, and once all calls
#: go to it, all of them are exposed.  What has no verdict by the second one is
#: undone: moving takes the rest.
LEAST_TRIAL_SHARE = 0.5
LONGEST_TRIAL_SHARE = 0.66
#: When the move is done at the latest, whatever still runs at the old version.
LAST_SHARE = 0.92
#: Time for which the old version still takes calls while senders learn that
#: they go elsewhere: a bundle is in force everywhere in as long.
MOVING_MS = 1800
#: Shortest time for which the old version takes none before it is told that
#: it may end: its daemons learn of it meanwhile.
SETTLING_MS = 1200

_Stage = _model.Stage


class Sight(msgspec.Struct):
    """What a daemon sees of a rollout.

    Parameters
    ----------
    order : Order or None
        The operator's newest; None where it was withdrawn.
    now_ms : int
        Of the store's clock.
    new, old : list of Evidence
        Of the targets that were asked.
    is_asked : bool
        Whether all of them have answered.
    """

    order: _model.Order | None
    now_ms: int
    new: list[_evidence.Evidence]
    old: list[_evidence.Evidence]
    is_asked: bool = True


def make_rollout(order: _model.Order, old: str, now_ms: int) -> _model.Rollout:
    """Make the first row that follows an order.

    Parameters
    ----------
    order : Order
        The operator's.
    old : str
        Version that gets the calls now.
    now_ms : int
        Of the store's clock.
    """
    is_there = old == order.version
    return _model.Rollout(
        order.target_set,
        old,
        order.version,
        order.revision,
        _Stage.SUCCEEDED if is_there else _Stage.TRIAL,
        now_ms,
        now_ms,
    )


def plan_next(rollout: _model.Rollout, sight: Sight) -> _model.Stage:
    """Return the stage in which a rollout should be.

    Parameters
    ----------
    rollout : Rollout
        As it is.
    sight : Sight
        What is seen of it.
    """
    if rollout.stage.is_final:
        return rollout.stage
    order = sight.order
    if order is None:
        # Withdrawn: before the move nothing has changed; during it calls go
        # to both versions, and the old one is still there.
        return _Stage.ROLLED_BACK
    if rollout.stage is _Stage.TRIAL:
        return _plan_trial(rollout, sight)
    verdict = _judge(sight)
    if verdict is _verdict.Verdict.BAD:
        return _Stage.ROLLED_BACK
    stage_age_ms = sight.now_ms - rollout.stage_ms
    if rollout.stage is _Stage.MOVING:
        is_due = stage_age_ms >= MOVING_MS
        return _Stage.SETTLING if is_due else _Stage.MOVING
    return _plan_settling(rollout, sight, stage_age_ms)


def _judge(sight: Sight) -> _verdict.Verdict:
    tried = [item for item in sight.new if item.runs or item.is_stopped]
    stopped = sum(item.is_stopped for item in tried)
    if stopped and 2 * stopped >= len(tried):
        return _verdict.Verdict.BAD
    return _verdict.judge(sight.new, sight.old)


def _plan_trial(rollout: _model.Rollout, sight: Sight) -> _model.Stage:
    verdict = _judge(sight)
    if verdict is _verdict.Verdict.BAD:
        return _Stage.ROLLED_BACK
    age_ms = sight.now_ms - rollout.began_ms
    duration_ms = sight.order.duration_ms
    if age_ms < LEAST_TRIAL_SHARE * duration_ms:
        return _Stage.TRIAL
    if verdict is _verdict.Verdict.GOOD:
        return _Stage.MOVING
    if age_ms >= LONGEST_TRIAL_SHARE * duration_ms:
        return _Stage.ROLLED_BACK
    return _Stage.TRIAL


def _plan_settling(
    rollout: _model.Rollout, sight: Sight, stage_age_ms: int
) -> _model.Stage:
    """Wait until nothing runs at the old version: it ends without a word."""
    age_ms = sight.now_ms - rollout.began_ms
    if age_ms >= LAST_SHARE * sight.order.duration_ms:
        return _Stage.SUCCEEDED
    is_quiet = sight.is_asked and not any(item.running for item in sight.old)
    if is_quiet and stage_age_ms >= SETTLING_MS:
        return _Stage.SUCCEEDED
    return _Stage.SETTLING
