"""What the programs share: how errors end them."""

from collections.abc import Callable
import sys
from typing import NoReturn

from sedgering import exceptions

__all__ = ['EXIT_FAILED', 'EXIT_USAGE', 'run_program']

EXIT_FAILED = 1
EXIT_USAGE = 2


def run_program(program: Callable[[], None]) -> None:
    """Run a program; an error ends it with one line and a status.

    Parameters
    ----------
    program : callable
        A typer application.

    Notes
    -----
    Settings that are refused end with status 2, as wrong arguments do;
    everything else ends with status 1.
    """
    try:
        program()
    except exceptions.SettingsError as error:
        _exit(error, EXIT_USAGE)
    except exceptions.SedgeringError as error:
        _exit(error, EXIT_FAILED)


def _exit(error: exceptions.SedgeringError, status: int) -> NoReturn:
    print(error, file=sys.stderr)
    raise SystemExit(status)
