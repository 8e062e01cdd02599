"""Speed of the target beside a daemon."""

from collections.abc import Callable
from collections.abc import Collection

from sedgering.balance import _end_times
from sedgering.balance import _host_speed
from sedgering.balance import _target_load
from sedgering import base

__all__ = ['OwnSpeed']

#: Loss in the share of calls in time, due to the current slowness, from which
#: a call is returned to its sender: asking another host costs a round trip of
#: 3 ms, and that host may be full.
MIN_LOSS_SHARE = 0.1


class OwnSpeed:
    """Current and average slowness of the own target, and its work times.

    Parameters
    ----------
    now_s : callable
        Returns the time of the event loop.
    """

    def __init__(self, now_s: Callable[[], float]):
        self.now_s = now_s
        self.current_speed = _host_speed.MomentSpeed()
        self.work = _host_speed.NormalWork()
        self._end_times = _end_times.EndTimes()

    @property
    def is_known(self) -> bool:
        """Whether the target reports its current slowness."""
        return self.current_speed.is_known

    @property
    def percent(self) -> float:
        """Time that work begun now takes, in percent of the usual time."""
        return self.current_speed.find_percent(self.now_s())

    def note_load(self, load: _target_load.TargetLoad) -> None:
        """Add a load report of the target."""
        if load.slowness_percent:
            self.current_speed.note(load.slowness_percent, self.now_s())

    def note_work(
        self,
        route: base.RouteName,
        elapsed_ms: float,
        begin_percent: float,
    ) -> None:
        """Add a call that the target has run.

        Parameters
        ----------
        route : str
            Route of the call.
        elapsed_ms : float
            Time that the call took at the target.
        begin_percent : float
            Slowness when the call began, in percent of the usual time.
        """
        if not self.is_known:
            return
        expected_ms = self.work.find_ms(route) * begin_percent / 100
        if expected_ms:
            self._end_times.note(route, expected_ms, elapsed_ms)
        mean_percent = (begin_percent + self.percent) / 2
        self.work.note(route, elapsed_ms, mean_percent)

    def find_delay_ms(self, route: base.RouteName, left_ms: float) -> int:
        """Return the delay of a call by the current slowness, if it matters.

        0 if the share of such calls that end in time is about the same as on
        average; then the call can run here.

        Parameters
        ----------
        route : str
            Route of the call.
        left_ms : float
            Time within which the call should end.
        """
        normal_ms = self.work.find_ms(route)
        if not (self.is_known and normal_ms):
            return 0
        percents = self.current_speed.average_percent, self.percent
        if percents[1] <= percents[0]:
            return 0
        average_share, share = (
            self._end_times.find_share(
                route, normal_ms * percent / 100, left_ms
            )
            for percent in percents
        )
        if average_share - share < MIN_LOSS_SHARE:
            return 0
        return max(1, int(normal_ms * (percents[1] - percents[0]) / 100))

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        self.work.retain(routes)
        self._end_times.retain(routes)
