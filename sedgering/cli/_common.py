"""Error handling and exit statuses shared by the programs."""

from collections.abc import Callable
import sys
from typing import NoReturn

from sedgering import exceptions

__all__ = ['EXIT_FAILED', 'EXIT_USAGE', 'run_program']

EXIT_FAILED = 1
EXIT_USAGE = 2


def run_program(program: Callable[[], None]) -> None:
    """Run a program; errors are printed in one line and set the exit status.

    Parameters
    ----------
    program : callable
        A Typer application.

    Notes
    -----
    Invalid settings exit with status 2, like invalid arguments; all other
    errors of this package exit with status 1.
    """
    try:
        program()
    except exceptions.SettingsError as error:
        _exit_with_error(error, EXIT_USAGE)
    except exceptions.SedgeringError as error:
        _exit_with_error(error, EXIT_FAILED)


def _exit_with_error(
    error: exceptions.SedgeringError, status: int
) -> NoReturn:
    print(error, file=sys.stderr)
    raise SystemExit(status)
