"""Command line of sedgering-proxy."""

import gc
import pathlib
import random
import sys
from typing import Annotated

import typer

from sedgering import observability
from sedgering import platform
from sedgering import proxy
from sedgering import settings

__all__ = ['app']

SWITCH_INTERVAL_S = 0.0002

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    context: typer.Context,
    config: Annotated[
        pathlib.Path,
        typer.Option(help='YAML file with the settings of this proxy.'),
    ],
) -> None:
    """Run the proxy until SIGTERM or SIGINT, then leave gracefully."""
    proxy_settings = settings.load_settings(config, settings.ProxySettings)
    observability.configure_logging(
        proxy_settings.log_level,
        host=proxy_settings.host,
        data_centre=proxy_settings.data_centre,
    )
    daemon = proxy.make_daemon(
        proxy_settings,
        lambda: platform.make_records_store(
            proxy_settings.platform, random.Random()
        ),
    )
    _tune_interpreter()
    daemon.start()
    context.obj.wait_stop()
    daemon.leave()
    context.obj.ignore()


def _tune_interpreter() -> None:
    """Shorten the thread switch interval and freeze loaded modules.

    A thread that handles a request releases the global interpreter lock at
    each system call.  With the default interval it could wait 5 ms for a
    busy thread, which is ten times the time budget of a request.  Frozen
    objects are not scanned by garbage collections.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    gc.collect()
    gc.freeze()
