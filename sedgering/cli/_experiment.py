"""Plays load patterns over several seeds, and shows how callers fared."""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import statistics

import msgspec

from sedgering import model

__all__ = ['ExperimentRow', 'run_experiment', 'show_experiment']

COLUMNS = (
    f'{"load":24} {"callers":16} {"in goal":>8} {"late":>8} {"refused":>8}'
)


class ExperimentRow(msgspec.Struct, frozen=True):
    """One kind of callers of one load, over all seeds.

    Parameters
    ----------
    load, callers : str
        Names.
    worth_share : float
        Median of the worth of the whole load.
    in_goal_share, late_share, refused_share : float
        Medians of the shares of the callers of this kind.
    in_goal_spread : float
        Largest less smallest share within the goal.
    ends : int
        Median of the targets that ended.
    far_bytes_share : float
        Median share of the bytes of answers that crossed data centres.
    """

    load: str
    callers: str
    worth_share: float
    in_goal_share: float
    late_share: float
    refused_share: float
    in_goal_spread: float
    ends: int
    far_bytes_share: float


def run_experiment(
    paths: Iterable[pathlib.Path], seeds: int
) -> Iterator[ExperimentRow]:
    """Play each load once for each seed.

    Raises
    ------
    SettingsError
        When a load pattern is malformed.
    """
    loads = [model.load_pattern(path) for path in paths]
    for load in loads:
        results = [model.play(load, seed) for seed in range(seeds)]
        worth = statistics.median(item.worth_share for item in results)
        for kind in load.callers:
            found = [item.kinds[kind.name] for item in results]
            in_goal = [item.in_goal / max(1, item.asked) for item in found]
            late = [item.late / max(1, item.asked) for item in found]
            refused = [item.refused / max(1, item.asked) for item in found]
            yield ExperimentRow(
                load.name,
                kind.name,
                worth,
                statistics.median(in_goal),
                statistics.median(late),
                statistics.median(refused),
                max(in_goal) - min(in_goal),
                round(statistics.median(item.ends for item in results)),
                statistics.median(item.far_bytes_share for item in results),
            )


def show_experiment(rows: Iterable[ExperimentRow]) -> Iterator[str]:
    """Make the lines of a table."""
    yield f'{COLUMNS} {"spread":>8} {"worth":>8} {"ended":>6} {"far":>6}'
    for row in rows:
        yield (
            f'{row.load:24} {row.callers:16} {row.in_goal_share:8.3f} '
            f'{row.late_share:8.3f} {row.refused_share:8.3f} '
            f'{row.in_goal_spread:8.3f} {row.worth_share:8.3f} '
            f'{row.ends:6d} {row.far_bytes_share:6.3f}'
        )
