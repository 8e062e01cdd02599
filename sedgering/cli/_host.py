"""Runs the daemon of a host: what its two programs share."""

import pathlib
import sys

from sedgering import mesh
from sedgering import observability
from sedgering import platform
from sedgering import ports
from sedgering import settings

__all__ = ['run_host']


def run_host(
    config: str = '',
    log_level: str = 'INFO',
    opened: ports.OpenPorts | None = None,
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then leave gracefully.

    Parameters
    ----------
    config : str
        Path of YAML settings of the request path; empty for the defaults.
    log_level : str
        Least level that is logged.
    opened : OpenPorts or None
        Ports that listen already.

    Raises
    ------
    SettingsError
        When settings are refused.
    """
    mesh_settings = mesh.MeshSettings()
    if config:
        mesh_settings = settings.load_settings(
            pathlib.Path(config), mesh.MeshSettings
        )
    host_settings = platform.read_settings()
    observability.configure_logging(
        log_level,
        sys.stdout,
        host=host_settings.identity.host,
        data_centre=host_settings.identity.data_centre,
    )
    platform.run_daemon(
        host_settings, mesh_settings, opened or ports.OpenPorts()
    )
