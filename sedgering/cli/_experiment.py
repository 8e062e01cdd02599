"""Simulation of load patterns with several seeds, and its results."""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import statistics

import msgspec

from sedgering import model

__all__ = ['ExperimentRow', 'run_experiment', 'show_experiment']

HEADER = (
    f'{"load":24} {"callers":16} {"in goal":>8} {"late":>8} {"refused":>8}'
)


class ExperimentRow(msgspec.Struct, frozen=True):
    """Results of one kind of callers of one load, over all seeds.

    Parameters
    ----------
    load, callers : str
        Names of the load pattern and of the kind of callers.
    worth_share : float
        Median of the worth that answers achieved, less the losses, as a share
        of the worth of all requests of the load.
    in_goal_share, late_share, refused_share : float
        Medians of the shares of the requests of these callers that were
        answered within the latency goal, answered late, and refused.
    in_goal_spread : float
        Difference between the largest and the smallest share within the
        goal.
    ends : int
        Median number of targets that ended, for any cause.
    far_bytes_share : float
        Median share of the bytes of answers that came from another data
        centre.
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
    """Simulate each load once for each seed.

    Parameters
    ----------
    paths : iterable of Path
        YAML files of load patterns.
    seeds : int
        Number of simulations of each load; the seeds are 0 to `seeds` - 1.

    Raises
    ------
    SettingsError
        If a load pattern is malformed.
    """
    loads = [model.load_pattern(path) for path in paths]
    for load in loads:
        results = [model.play(load, seed) for seed in range(seeds)]
        worth = statistics.median(result.worth_share for result in results)
        for kind in load.callers:
            kind_results = [result.kinds[kind.name] for result in results]
            in_goal = [
                item.in_goal / max(1, item.asked) for item in kind_results
            ]
            late = [item.late / max(1, item.asked) for item in kind_results]
            refused = [
                item.refused / max(1, item.asked) for item in kind_results
            ]
            yield ExperimentRow(
                load.name,
                kind.name,
                worth,
                statistics.median(in_goal),
                statistics.median(late),
                statistics.median(refused),
                max(in_goal) - min(in_goal),
                round(statistics.median(result.ends for result in results)),
                statistics.median(
                    result.far_bytes_share for result in results
                ),
            )


def show_experiment(rows: Iterable[ExperimentRow]) -> Iterator[str]:
    """Format the rows as the lines of a table, with a header."""
    yield f'{HEADER} {"spread":>8} {"worth":>8} {"ended":>6} {"far":>6}'
    for row in rows:
        yield (
            f'{row.load:24} {row.callers:16} {row.in_goal_share:8.3f} '
            f'{row.late_share:8.3f} {row.refused_share:8.3f} '
            f'{row.in_goal_spread:8.3f} {row.worth_share:8.3f} '
            f'{row.ends:6d} {row.far_bytes_share:6.3f}'
        )
