"""sedgering-mesh: the mesh daemon of one host."""

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
        typer.Option(help='YAML file with the settings of the request path.'),
    ] = None,
    log_level: Annotated[
        str, typer.Option(help='Lowest level logged.')
    ] = 'INFO',
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then leave gracefully."""
    # Prevents the import of `ssl`: the daemon does not use TLS, and takes 4 MB
    # less memory without it.
    sys.modules.setdefault('ssl', None)
    from sedgering.cli import _host

    _host.run_host(str(config) if config else '', log_level)


def main() -> None:
    """Run the program; the entry point of the installed script."""
    _common.run_program(app)


if __name__ == '__main__':
    main()
