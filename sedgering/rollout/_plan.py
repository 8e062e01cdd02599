"""Decides when a rollout advances to its next stage."""

import msgspec

from sedgering.rollout import _evidence
from sedgering.rollout import _model
from sedgering.rollout import _sequential
from sedgering.rollout import _verdict

__all__ = ['Observation', 'advance', 'make_rollout', 'plan_next']

#: Bounds of the trial, as shares of the duration in the order.  A good version
#: gets all calls no earlier than the first bound: some versions turn bad
#: seconds after their start, and after the trial every call is exposed.  At
#: the second bound the evidence must do, as the move needs the remaining time.
MIN_TRIAL_SHARE = 0.5
MAX_TRIAL_SHARE = 0.66
#: Share of the duration in the order at which the rollout succeeds even if
#: calls still run at the old version.
FORCED_END_SHARE = 0.92
#: Time for which the old version still accepts calls, while senders learn that
#: calls go to the new one; a bundle takes this long to be in force everywhere.
MOVING_MS = 1800
#: Shortest time for which the old version accepts no calls before the rollout
#: succeeds and the targets of the old version may stop.  Their daemons learn
#: of the stage in this time.
MIN_SETTLING_MS = 1200
#: Share of the targets of the new version that must be present before the
#: calls move, and while the old version takes no calls.
MIN_PRESENT_SHARE = 0.5

_Stage = _model.Stage
_Verdict = _sequential.Verdict


class Observation(msgspec.Struct):
    """What a daemon knows of a rollout when it plans the next stage.

    Parameters
    ----------
    order : Order or None
        Newest order of the operator; None if it was withdrawn.
    now_ms : int
        Current time of the store's clock.
    new, old : list of Evidence
        Evidence of the targets of each version that have answered.
    has_all_old : bool
        Whether all targets of the old version that were asked have answered.
    new_present_share : float
        Share of the targets of the new version that are ready and whose
        daemons answer, 0 to 1.  The others are away for a time.
    """

    order: _model.Order | None
    now_ms: int
    new: list[_evidence.Evidence]
    old: list[_evidence.Evidence]
    has_all_old: bool = True
    new_present_share: float = 1.0

    @property
    def is_new_present(self) -> bool:
        """Whether the new version can take all calls."""
        return self.new_present_share >= MIN_PRESENT_SHARE


def make_rollout(order: _model.Order, old: str, now_ms: int) -> _model.Rollout:
    """Make the first row for an order.

    Parameters
    ----------
    order : Order
        Order of the operator.
    old : str
        Version that gets the calls now.
    now_ms : int
        Current time of the store's clock.
    """
    is_in_use = old == order.version
    return _model.Rollout(
        order.target_set,
        old,
        order.version,
        order.revision,
        _Stage.SUCCEEDED if is_in_use else _Stage.TRIAL,
        now_ms,
        now_ms,
    )


def plan_next(
    rollout: _model.Rollout, observation: Observation
) -> _model.Stage:
    """Return the stage that a rollout should be in now.

    Parameters
    ----------
    rollout : Rollout
        Its stored state.
    observation : Observation
        What is known of it now.
    """
    if rollout.stage.is_final:
        return rollout.stage
    order = observation.order
    if order is None:
        # The order was withdrawn.  During a trial the old version still gets
        # most calls; later, its targets still run and can take the calls back.
        return _Stage.ROLLED_BACK
    if rollout.stage is _Stage.TRIAL:
        return _plan_trial(rollout, observation)
    if _is_mostly_stopped(observation):
        return _Stage.ROLLED_BACK
    verdict = _verdict.choose_move_verdict(observation.new, observation.old)
    if verdict is _Verdict.BAD:
        return _Stage.ROLLED_BACK
    stage_age_ms = observation.now_ms - rollout.stage_ms
    has_any_new = observation.new_present_share > 0
    is_ending = _is_ending(rollout, observation)
    if is_ending and not has_any_new:
        return _Stage.ROLLED_BACK
    if rollout.stage is _Stage.MOVING:
        is_ready = is_ending or observation.is_new_present
        is_due = is_ready and stage_age_ms >= MOVING_MS
        return _Stage.SETTLING if is_due else _Stage.MOVING
    if is_ending:
        return _Stage.SUCCEEDED
    return _plan_settling(observation, stage_age_ms)


def advance(
    rollout: _model.Rollout, stage: _model.Stage, observation: Observation
) -> _model.Rollout:
    """Return the rollout in another stage.

    Parameters
    ----------
    rollout : Rollout
        Its stored state.
    stage : Stage
        Its next stage; see :func:`plan_next`.
    observation : Observation
        What is known of it now.
    """
    unshown_routes = ()
    if stage not in (_Stage.TRIAL, _Stage.ROLLED_BACK):
        unshown_routes = tuple(
            _verdict.list_unshown_routes(observation.new, observation.old)
        )
    return msgspec.structs.replace(
        rollout,
        stage=stage,
        stage_ms=observation.now_ms,
        unshown_routes=unshown_routes,
    )


def _is_ending(rollout: _model.Rollout, observation: Observation) -> bool:
    """Whether too little is left of the duration to wait any longer."""
    age_ms = observation.now_ms - rollout.began_ms
    return age_ms >= FORCED_END_SHARE * observation.order.duration_ms


def _is_mostly_stopped(observation: Observation) -> bool:
    """Whether half of the called targets have stopped the trial."""
    called = [item for item in observation.new if item.runs or item.is_stopped]
    stopped = sum(item.is_stopped for item in called)
    return stopped > 0 and 2 * stopped >= len(called)


def _plan_trial(
    rollout: _model.Rollout, observation: Observation
) -> _model.Stage:
    evidence = observation.new, observation.old
    verdict = _verdict.choose_verdict(*evidence)
    if verdict is _Verdict.BAD or _is_mostly_stopped(observation):
        return _Stage.ROLLED_BACK
    age_ms = observation.now_ms - rollout.began_ms
    duration_ms = observation.order.duration_ms
    if age_ms < MIN_TRIAL_SHARE * duration_ms:
        return _Stage.TRIAL
    latest_ms = MAX_TRIAL_SHARE * duration_ms
    verdict = _verdict.choose_due_verdict(*evidence)
    if verdict is _Verdict.OPEN and age_ms >= latest_ms:
        verdict = _verdict.choose_late_verdict(*evidence)
    if verdict is _Verdict.GOOD:
        if observation.is_new_present:
            return _Stage.MOVING
        move_ms = MOVING_MS + MIN_SETTLING_MS
        latest_ms = max(latest_ms, FORCED_END_SHARE * duration_ms - move_ms)
    return _Stage.ROLLED_BACK if age_ms >= latest_ms else _Stage.TRIAL


def _plan_settling(
    observation: Observation, stage_age_ms: int
) -> _model.Stage:
    """Wait until the old version is idle.

    Its targets may stop without notice once the rollout has succeeded.  Until
    then they serve again while no target of the new version is present.
    """
    if not observation.new_present_share:
        return _Stage.MOVING
    is_idle = observation.has_all_old and not any(
        item.running for item in observation.old
    )
    is_idle = is_idle and observation.is_new_present
    if is_idle and stage_age_ms >= MIN_SETTLING_MS:
        return _Stage.SUCCEEDED
    return _Stage.SETTLING
