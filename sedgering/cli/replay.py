"""sedgering-replay: replays recorded traces and checks their outcomes."""

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
        list[pathlib.Path], typer.Argument(help='Trace files of JSON lines.')
    ],
) -> None:
    """Replay traces; exit with status 1 if any outcome differs.

    Example: sedgering-replay features/traces/*.jsonl
    """
    failed_traces = 0
    for path in traces:
        try:
            step_count = testing.replay_trace(path)
        except testing.OutcomeDiffers as error:
            failed_traces += 1
            print(f'{path.name}: {error}')
        else:
            print(f'{path.name}: ok, {step_count} steps')
    if failed_traces:
        raise typer.Exit(_common.EXIT_FAILED)


def main() -> None:
    """Run the program; the entry point of the installed script."""
    _common.run_program(app)


if __name__ == '__main__':
    main()
