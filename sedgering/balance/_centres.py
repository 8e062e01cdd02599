"""Which data centres have room in a target set, as its gates tell."""

from collections.abc import Collection

import msgspec

from sedgering import base

__all__ = ['CentreDemand']

#: Demand on the places of a set from which on a data centre has no room to
#: spare: what comes from elsewhere takes the place of a call of its own.
SHORT_PERCENT = 100.0
#: Weight of the newest gate: the last five or so answers of a data centre
#: count, so that one busy target says little of the others.
NEWEST_WEIGHT = 0.2
#: Age at which what gates told counts half: waves of demand last seconds.
HALF_LIFE_S = 1.0


class _Demand(msgspec.Struct):
    """Demand on the targets of one set in one data centre."""

    percent: float = 0.0
    told_s: float = 0.0

    def find_percent(self, now_s: float) -> float:
        """Return the demand; old knowledge counts for less."""
        return self.percent * 0.5 ** ((now_s - self.told_s) / HALF_LIFE_S)


class CentreDemand:
    """Demand on each target set, by data centre.

    Where all data centres are short of room, a call that leaves its own finds
    one that happens to have a place, and takes it from a caller there, whose
    call leaves in turn: nobody is served by that, and the ways between data
    centres fill.
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
        """Take in what a gate told of the demand on its places.

        Parameters
        ----------
        target_set, data_centre : str
            Of the gate.
        demand_percent : float
            Work asked of it, of what its places can do.
        now_s : float
            Time of the event loop.
        """
        centres = self._sets.setdefault(target_set, {})
        known = centres.setdefault(data_centre, _Demand())
        before = known.find_percent(now_s)
        known.percent = before + NEWEST_WEIGHT * (demand_percent - before)
        known.told_s = now_s

    def is_short(
        self,
        target_set: base.TargetSetName,
        data_centre: base.DataCentre,
        now_s: float,
    ) -> bool:
        """Whether a data centre has no room to spare; no where unknown."""
        known = self._sets.get(target_set, {}).get(data_centre)
        return known is not None and known.find_percent(now_s) > SHORT_PERCENT

    def retain(self, target_sets: Collection[base.TargetSetName]) -> None:
        """Forget sets that are no longer in force."""
        for name in self._sets.keys() - set(target_sets):
            del self._sets[name]
