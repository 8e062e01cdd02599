"""Command line of sedgering-mesh."""

import pathlib
import sys
from typing import Annotated

import typer

__all__ = ['app']

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    context: typer.Context,
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

    _host.run_host(str(config) if config else '', context.obj, log_level)
