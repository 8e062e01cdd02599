"""sedgering-replay: replays recorded traces against stated outcomes."""

import pathlib
from typing import Annotated

import typer

from sedgering.cli import _common
from sedgering import testing

__all__ = ['main']

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def replay(
    traces: Annotated[
        list[pathlib.Path], typer.Argument(help='Files of JSON lines.')
    ],
) -> None:
    """Replay traces; status 1 when any stated outcome differs.

    Example: sedgering-replay features/traces/*.jsonl
    """
    failed = 0
    for path in traces:
        try:
            steps = testing.replay_trace(path)
        except testing.OutcomeDiffers as error:
            failed += 1
            print(f'{path.name}: {error}')
        else:
            print(f'{path.name}: ok, {steps} steps')
    if failed:
        raise typer.Exit(_common.EXIT_FAILED)


def main() -> None:
    """Entry point."""
    _common.run_program(app)


if __name__ == '__main__':
    main()
