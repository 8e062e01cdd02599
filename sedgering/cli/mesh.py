"""sedgering-mesh: the daemon of one host of the users' platform."""

import os
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
        pathlib.Path, typer.Option(help='YAML settings of the request path.')
    ],
    log_level: Annotated[str, typer.Option(help='Least level.')] = 'INFO',
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then leave gracefully."""
    # Nothing here speaks TLS; without it a daemon takes 4 MB less.
    sys.modules.setdefault('ssl', None)
    from sedgering import mesh
    from sedgering import observability
    from sedgering import platform
    from sedgering import settings

    mesh_settings = settings.load_settings(config, mesh.MeshSettings)
    host_settings = platform.read_settings()
    observability.configure_logging(
        log_level,
        sys.stdout,
        host=host_settings.identity.host,
        data_centre=host_settings.identity.data_centre,
    )
    platform.run_daemon(host_settings, mesh_settings)
    # Threads that wait for the store must not hold the process back.
    sys.stdout.flush()
    os._exit(0)


def main() -> None:
    """Entry point."""
    _common.run_program(app)


if __name__ == '__main__':
    main()
