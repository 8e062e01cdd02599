"""Command line of the soak."""

import asyncio
import pathlib
import tempfile
from typing import Annotated

import msgspec
import typer

from soak import _checks
from soak import _faults
from soak import _world

__all__ = ['run_seed']

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


async def _run(
    folder: pathlib.Path, world_settings: _world.WorldSettings
) -> tuple[list[str], str]:
    world = _world.World(folder, world_settings)
    try:
        await world.run()
        broken = _checks.check_promises(world)
        books = world.list_records(), world.ledger, world.disturbances
        (folder / 'books.json').write_bytes(
            msgspec.json.encode(books, enc_hook=vars)
        )
    finally:
        await world.stop()
    records = world.list_records()
    good = sum(record.status == _checks.STATUS_OK for record in records)
    faults = len(world.disturbances)
    ends = len(world.ledger.ends_s)
    return broken, (
        f'{len(records)} calls, {good} good, {faults} faults,'
        f' {ends} targets ended'
    )


def run_seed(
    folder: pathlib.Path, world_settings: _world.WorldSettings
) -> tuple[list[str], str]:
    """Run one seed.

    Returns
    -------
    tuple
        A line for each promise that was broken, and a summary.
    """
    return asyncio.run(_run(folder, world_settings))


@app.command()
def main(
    seed: Annotated[int, typer.Option(help='First seed.')] = 1,
    seeds: Annotated[int, typer.Option(help='How many seeds.')] = 1,
    hosts: Annotated[int, typer.Option(help='Daemons.')] = 5,
    seconds: Annotated[float, typer.Option(help='Time of faults.')] = 12.0,
    callers: Annotated[int, typer.Option(help='Callers of each host.')] = 2,
    long_callers: Annotated[
        int, typer.Option(help='Of each host, with long requests; 0: none.')
    ] = 2,
    keys: Annotated[
        bool, typer.Option(help='Callers need keys; some forge them.')
    ] = False,
    keep: Annotated[
        pathlib.Path | None,
        typer.Option(help='Keep the logs of broken seeds here.'),
    ] = None,
    plan: Annotated[bool, typer.Option(help='Only show the plan.')] = False,
) -> None:
    """Run seeds one after the other; status 1 when a promise is broken."""
    failed = []
    for number in range(seed, seed + seeds):
        world_settings = _world.WorldSettings(
            number,
            hosts,
            seconds,
            callers,
            long_callers=long_callers,
            has_keys=keys,
        )
        if plan:
            for fault in _faults.make_plan(
                number, hosts, seconds, long_callers > 0
            ):
                print(fault)
            continue
        with tempfile.TemporaryDirectory(prefix='soak-') as name:
            folder = pathlib.Path(name)
            broken, summary = run_seed(folder, world_settings)
            print(f'seed {number}: {summary}, {len(broken)} broken')
            for line in broken:
                print(f'    {line}', flush=True)
            if broken:
                failed.append(number)
                if keep is not None:
                    keep.mkdir(parents=True, exist_ok=True)
                    folder.rename(keep / f'seed-{number}')
                    folder.mkdir()
    if not plan:
        print(f'{seeds - len(failed)} passed, {len(failed)} failed {failed}')
    raise typer.Exit(1 if failed else 0)


if __name__ == '__main__':
    app()
