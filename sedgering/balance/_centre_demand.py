"""Which data centres have spare capacity in a target set."""

from collections.abc import Collection

import msgspec

from sedgering import base

__all__ = ['CentreDemand']

#: Demand, as a percentage of the capacity of a target set, above which a data
#: centre has none to spare: a call from elsewhere displaces a local one.
SATURATED_PERCENT = 100.0
#: Weight of the newest sample in the moving average: about the last five
#: answers of a data centre count, so that one busy target has little effect.
NEWEST_WEIGHT = 0.2
#: Half-life of a sample: waves of demand last seconds.
HALF_LIFE_S = 1.0


class _Demand(msgspec.Struct):
    """Demand on the targets of one set in one data centre."""

    percent: float = 0.0
    updated_s: float = 0.0

    def find_percent(self, now_s: float) -> float:
        """Return the demand, decayed by the age of the last sample."""
        return self.percent * 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)


class CentreDemand:
    """Demand on each target set, by data centre.

    When all data centres lack capacity, a call that leaves its own takes a
    free slot elsewhere from a local caller, whose call then leaves in turn.
    No more calls are served, and the links between data centres fill up.
    """

    def __init__(self):
        self._sets: dict[
            base.TargetSetName, dict[base.DataCentre, _Demand]
        ] = {}

    def note(
        self,
        target_set: base.TargetSetName,
        data_centre: base.DataCentre,
        demand_percent: float,
        now_s: float,
    ) -> None:
        """Add a demand sample that a daemon has reported for its target.

        Parameters
        ----------
        target_set, data_centre : str
            Target set and data centre of the target.
        demand_percent : float
            Demand on the target, as a percentage of its capacity.
        now_s : float
            Time of the event loop.
        """
        centres = self._sets.setdefault(target_set, {})
        demand = centres.setdefault(data_centre, _Demand())
        decayed_percent = demand.find_percent(now_s)
        demand.percent = decayed_percent + NEWEST_WEIGHT * (
            demand_percent - decayed_percent
        )
        demand.updated_s = now_s

    def is_short(
        self,
        target_set: base.TargetSetName,
        data_centre: base.DataCentre,
        now_s: float,
    ) -> bool:
        """Whether a data centre lacks spare capacity; False if unknown."""
        demand = self._sets.get(target_set, {}).get(data_centre)
        return (
            demand is not None
            and demand.find_percent(now_s) > SATURATED_PERCENT
        )

    def retain(self, target_sets: Collection[base.TargetSetName]) -> None:
        """Forget target sets that are no longer in force."""
        for name in self._sets.keys() - set(target_sets):
            del self._sets[name]
