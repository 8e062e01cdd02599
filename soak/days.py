"""Plays days of a site on real processes.

python -m soak.days SITE --day NAME
"""

import pathlib
import sys
from typing import Annotated

import typer

from sedgering import exceptions
from sedgering import testing
from soak import __main__ as soak_main
from soak import _settings
from soak import _strains

__all__ = ['make_day_settings']

MIXED = 'mixed'
EXIT_REFUSED = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def make_day_settings(
    site: testing.Site, name: str, seed: int, **options
) -> _settings.WorldSettings:
    """Make the settings of a soak that plays a day.

    Parameters
    ----------
    site : Site
        The site.
    name : str
        A day of the site, a kind of entry, or `mixed`.
    seed : int
        Chooses hosts and targets, and the entries of a mixed day.
    **options
        Other options of the soak.
    """
    days = {day.name: day for day in site.days}
    if name == MIXED:
        day = testing.make_mixed_day(site, seed)
    else:
        day = days.get(name) or testing.make_single_day(site, name)
    return _settings.WorldSettings(
        seed,
        len(site.hosts),
        site.length_s,
        long_callers=0,
        site=site,
        day=day,
        **options,
    )


@app.command()
def main(
    path: Annotated[pathlib.Path, typer.Argument(help='Site file.')],
    day: Annotated[
        list[str],
        typer.Option(help='Day of the site, a kind of entry, or "mixed".'),
    ],
    seed: Annotated[int, typer.Option(help='First seed.')] = 1,
    seeds: Annotated[
        int, typer.Option(help='Number of consecutive seeds.')
    ] = 1,
    callers: Annotated[int, typer.Option(help='Callers per host.')] = 6,
    rate_share: Annotated[
        float, typer.Option(help='Share of the requests of the site.')
    ] = 0.25,
    strain: Annotated[
        list[_strains.Strain],
        typer.Option(help='Strain beside the day; may be given repeatedly.'),
    ] = [],
    partial: Annotated[
        bool, typer.Option(help='Play a day without what is refused.')
    ] = False,
    keep: Annotated[
        pathlib.Path | None,
        typer.Option(help='Folder for the logs of runs that fail.'),
    ] = None,
) -> None:
    """Play days; exit status 1 if any guarantee is violated, 2 if refused."""
    try:
        site = testing.read_site(path)
        runs = [
            make_day_settings(
                site,
                name,
                number,
                callers=callers,
                rate_share=rate_share,
                strains=frozenset(strain),
            )
            for name in day
            for number in range(seed, seed + seeds)
        ]
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_REFUSED) from error
    has_failed = False
    for run in runs:
        plan = testing.make_day_plan(site, run.day, run.seed)
        for refusal in plan.refusals:
            print(f'{run.day.name}: {refusal}', file=sys.stderr)
        if plan.refusals and not partial:
            raise typer.Exit(EXIT_REFUSED)
        name = f'{run.day.name} seed {run.seed}'
        has_failed |= not soak_main.run_and_keep(run, keep, name)
    raise typer.Exit(1 if has_failed else 0)


if __name__ == '__main__':
    app()
