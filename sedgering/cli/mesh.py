"""sedgering-mesh: the daemon of one host of the users' platform."""

import pathlib
import sys
from typing import Annotated

import typer

from sedgering.cli import _common

__all__ = ['main']

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    config: Annotated[
        pathlib.Path | None,
        typer.Option(help='YAML settings of the request path.'),
    ] = None,
    log_level: Annotated[str, typer.Option(help='Least level.')] = 'INFO',
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then leave gracefully."""
    # Nothing here speaks TLS; without it a daemon takes 4 MB less.
    sys.modules.setdefault('ssl', None)
    from sedgering.cli import _host

    _host.run_host(str(config) if config else '', log_level)


def main() -> None:
    """Entry point."""
    _common.run_program(app)


if __name__ == '__main__':
    main()
