"""Command line of the soak."""

import asyncio
import itertools
import pathlib
import tempfile
from typing import Annotated

import msgspec
import typer

from soak import _checks
from soak import _faults
from soak import _limits
from soak import _rollouts
from soak import _settings
from soak import _world

__all__ = ['run_and_keep', 'run_seed']

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


async def _run(
    folder: pathlib.Path, world_settings: _settings.WorldSettings
) -> tuple[list[str], str]:
    world = _world.World(folder, world_settings)
    try:
        await world.run()
        violations = _checks.check_guarantees(world)
        results = world.list_records(), world.ledger, world.disturbances
        (folder / 'books.json').write_bytes(
            msgspec.json.encode(results, enc_hook=vars)
        )
    finally:
        await world.stop()
    records = world.list_records()
    succeeded = sum(record.status == _checks.STATUS_OK for record in records)
    faults = len(world.disturbances)
    unanswered = sum(
        bool(record.last_byte_s) and not (record.status or record.has_left)
        for record in records
    )
    crashes = len(world.ledger.ends_s)
    peak = _limits.Usage()
    for watch in world.watches:
        peak.add(watch.peak)
    return violations, (
        f'{len(records)} calls, {succeeded} good, {faults} faults,'
        f' {crashes} targets ended, {unanswered} without an answer,'
        f' a daemon used {peak} at most'
    )


def run_seed(
    folder: pathlib.Path, world_settings: _settings.WorldSettings
) -> tuple[list[str], str]:
    """Run the soak of one seed.

    Returns
    -------
    tuple
        A line for each violated guarantee, and a summary.
    """
    return asyncio.run(_run(folder, world_settings))


def run_and_keep(
    world_settings: _settings.WorldSettings,
    keep: pathlib.Path | None,
    name: str,
) -> bool:
    """Run the soak of one seed and print what it finds.

    Parameters
    ----------
    world_settings : WorldSettings
        Seed and options.
    keep : Path or None
        Folder for the logs of runs that fail.
    name : str
        Name of the run.

    Returns
    -------
    bool
        Whether all guarantees held.
    """
    with tempfile.TemporaryDirectory(prefix='soak-') as folder_name:
        folder = pathlib.Path(folder_name)
        violations, summary = run_seed(folder, world_settings)
        print(f'{name}: {summary}, {len(violations)} broken')
        for line in violations:
            print(f'    {line}', flush=True)
        if violations and keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            folder.rename(_find_free(keep / name.replace(' ', '-')))
            folder.mkdir()
    return not violations


def _find_free(path: pathlib.Path) -> pathlib.Path:
    """Return a path, with a number if there is such a folder already."""
    numbered = (
        path.with_name(f'{path.name}-{number}')
        for number in itertools.count(2)
    )
    candidates = itertools.chain([path], numbered)
    return next(item for item in candidates if not item.exists())


@app.command()
def main(
    seed: Annotated[int, typer.Option(help='First seed.')] = 1,
    seeds: Annotated[
        int, typer.Option(help='Number of consecutive seeds.')
    ] = 1,
    hosts: Annotated[
        int, typer.Option(help='Hosts, each with a daemon and a target.')
    ] = 5,
    seconds: Annotated[
        float, typer.Option(help='Period in which faults start.')
    ] = 12.0,
    callers: Annotated[int, typer.Option(help='Callers per host.')] = 2,
    long_callers: Annotated[
        int,
        typer.Option(help='Callers with long requests per host; 0 for none.'),
    ] = 2,
    keys: Annotated[
        bool, typer.Option(help='Require API keys; some callers forge them.')
    ] = False,
    rollouts: Annotated[
        bool,
        typer.Option(
            help='Order a version amid restarts, on three more hosts.'
        ),
    ] = False,
    host_faults: Annotated[
        bool,
        typer.Option(
            help='Add SIGHUP, series of restarts and dead connections, and '
            'callers that use connections in unusual ways.'
        ),
    ] = False,
    early_signals: Annotated[
        bool, typer.Option(help='With these, signals right after a start.')
    ] = False,
    slow_logs: Annotated[
        bool, typer.Option(help='Read the log output of daemons slowly.')
    ] = False,
    sets: Annotated[
        bool, typer.Option(help='Use three sets of targets, 6 to 4 to 3.')
    ] = False,
    power_losses: Annotated[
        int,
        typer.Option(
            help='Losses of power of all hosts after the faults, each right '
            'after the acknowledgement of a version or of a departure.'
        ),
    ] = 0,
    keep: Annotated[
        pathlib.Path | None,
        typer.Option(help='Folder for the logs of seeds that fail.'),
    ] = None,
    plan: Annotated[
        bool, typer.Option(help='Only print the plan of faults.')
    ] = False,
) -> None:
    """Run seeds in sequence; exit status 1 if any guarantee is violated."""
    failed = []
    for number in range(seed, seed + seeds):
        world_settings = _settings.WorldSettings(
            number,
            hosts,
            seconds,
            callers,
            long_callers=long_callers,
            has_keys=keys,
            has_rollouts=rollouts,
            has_host_faults=host_faults,
            has_early_signals=early_signals,
            has_slow_logs=slow_logs,
            has_sets=sets,
            power_losses=power_losses,
        )
        if plan:
            for fault in _faults.make_plan(
                number, hosts, seconds, long_callers > 0
            ):
                print(fault)
            if rollouts:
                print(_rollouts.make_rollout_plan(number, hosts))
            continue
        if not run_and_keep(world_settings, keep, f'seed {number}'):
            failed.append(number)
    if not plan:
        print(f'{seeds - len(failed)} passed, {len(failed)} failed {failed}')
    raise typer.Exit(1 if failed else 0)


if __name__ == '__main__':
    app()
