"""Finds out whether a target that takes next to no calls still limits them."""

from collections.abc import Callable
from collections.abc import Coroutine

from sedgering.mesh import _probe
from sedgering.mesh import _target_client

__all__ = ['LimitCheck']

#: At a lower limit, answers to calls are too rare to show that it has ended.
RARE_CALLS_PER_S = 0.5
#: Time between two health checks while calls cannot be sent.
CHECK_INTERVAL_S = 2.0
#: Longest time between two trial calls; it doubles with each one.
MAX_TRIAL_INTERVAL_S = 8.0


class LimitCheck:
    """Checks the health of a target whose limit allows next to no calls.

    Targets may state their limit in answers to calls only.  If no health check
    has stated it before, one that does not lets a trial call pass, whose
    answer shows whether the limit has ended.

    Parameters
    ----------
    target_client : TargetClient
        The local target.
    check_health : callable
        Calls the health check.
    start_task : callable
        Runs a coroutine in the background.
    """

    def __init__(
        self,
        target_client: _target_client.TargetClient,
        check_health: Callable[[], Coroutine[None, None, _probe.ProbeAnswer]],
        start_task: Callable[[Coroutine], None],
    ):
        self.target_client = target_client
        self.check_health = check_health
        self.start_task = start_task
        target_client.gate.on_rate_limited = self.note_limited
        self._limit_per_s: float | None = None
        #: Whether a health check has stated the limit.
        self._is_in_health = False
        self._next_check_s = 0.0
        self._next_trial_s = 0.0
        self._trial_interval_s = CHECK_INTERVAL_S

    def note_limited(self) -> None:
        """Start a check if it is due: a call could not be sent at once."""
        gate = self.target_client.gate
        limit_per_s = gate.rate_limit_per_s
        if limit_per_s is None or limit_per_s >= RARE_CALLS_PER_S:
            return
        now_s = gate.now_s()
        if limit_per_s != self._limit_per_s:
            self._limit_per_s = limit_per_s
            self._is_in_health = False
            self._next_check_s = now_s + CHECK_INTERVAL_S
            self._next_trial_s = 0.0
            self._trial_interval_s = CHECK_INTERVAL_S
        if now_s >= self._next_check_s:
            self._next_check_s = now_s + CHECK_INTERVAL_S
            self.start_task(self._check())

    async def _check(self) -> None:
        answer = await self.check_health()
        if answer is None:
            return
        if answer.signals.rate_limit_per_s is not None:
            self._is_in_health = True
        has_ended = self._is_in_health
        if self.target_client.note_probe(answer, has_ended) or has_ended:
            return
        now_s = self.target_client.gate.now_s()
        if now_s >= self._next_trial_s:
            self._next_trial_s = now_s + self._trial_interval_s
            self._trial_interval_s = min(
                2 * self._trial_interval_s, MAX_TRIAL_INTERVAL_S
            )
            self.target_client.gate.allow_call()
