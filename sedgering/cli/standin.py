"""sedgering-standin: platform and targets for tests and the demo."""

import pathlib
import signal
import threading
from typing import Annotated

import msgspec
import typer
import yaml

from sedgering.cli import _common
from sedgering import exceptions
from sedgering import testing

__all__ = ['main']

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    help='Stand-ins for tests, the demo and measurement.',
)

DRAIN_GRACE_S = 4.0


@app.command()
def platform(
    port: Annotated[int, typer.Option(help='Port to listen on.')],
    address: Annotated[str, typer.Option(help='IP number.')] = '127.0.0.1',
) -> None:
    """Run the metadata store in memory."""
    server = testing.StoreServer(address, port, testing.PlatformEngine())
    server.start()
    _wait_for_signal()
    server.stop()


@app.command()
def targets(
    config: Annotated[
        pathlib.Path, typer.Option(help='YAML list of targets.')
    ],
) -> None:
    """Run targets that announce themselves and keep ledgers."""
    running = [testing.make_target(item) for item in _load_targets(config)]
    for target in running:
        target.start()
    _wait_for_signal()
    leaving = [
        threading.Thread(target=target.leave, args=(DRAIN_GRACE_S,))
        for target in running
    ]
    for thread in leaving:
        thread.start()
    for thread in leaving:
        thread.join()


@app.command()
def passthrough(
    port: Annotated[int, typer.Option(help='Port to listen on.')],
    target: Annotated[
        list[int], typer.Option(help='Port of a target; repeat for more.')
    ],
    address: Annotated[str, typer.Option(help='IP number.')] = '127.0.0.1',
) -> None:
    """Run the naive proxy: one attempt, round robin, no decisions."""
    server = testing.make_passthrough(
        address, port, [(address, number) for number in target]
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    _wait_for_signal()
    server.stop()


def _load_targets(path: pathlib.Path) -> list[testing.TargetSettings]:
    try:
        return msgspec.convert(
            yaml.safe_load(path.read_text()),
            list[testing.TargetSettings],
            dec_hook=lambda kind, value: kind(value),
        )
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_INVALID, str(error)
        ) from error


def _wait_for_signal() -> None:
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_arguments: stopping.set())
    stopping.wait()


def main() -> None:
    """Entry point."""
    _common.run_program(app)


if __name__ == '__main__':
    main()
