"""What a daemon knows of the speed of its own target."""

from collections.abc import Callable
from collections.abc import Collection

from sedgering.balance import _goal
from sedgering.balance import _load
from sedgering.balance import _moment
from sedgering import base

__all__ = ['OwnSpeed']

#: Share of calls in time that must be lost by the speed of the moment for a
#: call to be given back: to ask another host costs a round trip of 3 ms, and
#: the host that is asked next may be full.
LEAST_LOSS_SHARE = 0.1


class OwnSpeed:
    """The speed of the own target: of the moment, usual, and of its work.

    Parameters
    ----------
    now_s : callable
        Time of the event loop.
    """

    def __init__(self, now_s: Callable[[], float]):
        self.now_s = now_s
        self.moment = _moment.MomentSpeed()
        self.work = _moment.UsualWork()
        self._end_times = _goal.EndTimes()

    @property
    def is_known(self) -> bool:
        """Whether the target tells the speed of the moment."""
        return self.moment.is_known

    @property
    def percent(self) -> float:
        """How long work takes that begins now."""
        return self.moment.find_percent(self.now_s())

    def note_load(self, load: _load.TargetLoad) -> None:
        """Take in what the target told of its load."""
        if load.slowness_percent:
            self.moment.note(load.slowness_percent, self.now_s())

    def note_work(
        self,
        route: base.RouteName,
        elapsed_ms: float,
        begin_percent: float,
    ) -> None:
        """Take in a call that was done.

        Parameters
        ----------
        route : str
            Of the call.
        elapsed_ms : float
            Time at the target.
        begin_percent : float
            Speed of the moment when it began; that of now is known.
        """
        if not self.is_known:
            return
        expected_ms = self.work.find_ms(route) * begin_percent / 100
        if expected_ms:
            self._end_times.note(route, expected_ms, elapsed_ms)
        mean_percent = (begin_percent + self.percent) / 2
        self.work.note(route, elapsed_ms, mean_percent)

    def find_delay_ms(self, route: base.RouteName, left_ms: float) -> int:
        """Return by how much the moment delays a call, if that matters.

        0 where as many such calls end in time as usual, or nearly so: then
        it may as well run here.

        Parameters
        ----------
        route : str
            Of the call.
        left_ms : float
            Time in which it should end.
        """
        usual_ms = self.work.find_ms(route)
        if not (self.is_known and usual_ms):
            return 0
        percents = self.moment.usual_percent, self.percent
        if percents[1] <= percents[0]:
            return 0
        usual_share, share = (
            self._end_times.find_share(
                route, usual_ms * percent / 100, left_ms
            )
            for percent in percents
        )
        if usual_share - share < LEAST_LOSS_SHARE:
            return 0
        return max(1, int(usual_ms * (percents[1] - percents[0]) / 100))

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        self.work.retain(routes)
        self._end_times.retain(routes)
