"""sedgering-standin: platform and target stand-ins for tests and the demo."""

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
    help='Stand-ins for tests, the demo and benchmarks.',
)

DRAIN_GRACE_S = 4.0


@app.command()
def platform(
    port: Annotated[int, typer.Option(help='Port to listen on.')],
    address: Annotated[str, typer.Option(help='IP address.')] = '127.0.0.1',
) -> None:
    """Run an in-memory metadata store."""
    server = testing.StoreServer(address, port, testing.PlatformEngine())
    server.start()
    _wait_for_signal()
    server.stop()


@app.command()
def targets(
    config: Annotated[
        pathlib.Path, typer.Option(help='YAML file with a list of targets.')
    ],
) -> None:
    """Run targets that register themselves and record each run in a ledger."""
    running_targets = [
        testing.make_target(item) for item in _load_targets(config)
    ]
    for target in running_targets:
        target.start()
    _wait_for_signal()
    leave_threads = [
        threading.Thread(target=target.leave, args=(DRAIN_GRACE_S,))
        for target in running_targets
    ]
    for thread in leave_threads:
        thread.start()
    for thread in leave_threads:
        thread.join()


@app.command()
def passthrough(
    port: Annotated[int, typer.Option(help='Port to listen on.')],
    target: Annotated[
        list[int], typer.Option(help='Port of a target; may be repeated.')
    ],
    address: Annotated[str, typer.Option(help='IP address.')] = '127.0.0.1',
) -> None:
    """Run a pass-through proxy: round robin, one attempt, no retries."""
    server = testing.make_passthrough(
        address, port, [(address, target_port) for target_port in target]
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
            dec_hook=lambda field_type, value: field_type(value),
        )
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_INVALID, str(error)
        ) from error


def _wait_for_signal() -> None:
    stopping = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_arguments: stopping.set())
    stopping.wait()


def main() -> None:
    """Run the program; the entry point of the installed script."""
    _common.run_program(app)


if __name__ == '__main__':
    main()
