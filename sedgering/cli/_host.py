"""Startup of the daemon of a host, shared by its two programs."""

import logging
import pathlib
import sys

from sedgering import mesh
from sedgering import observability
from sedgering import platform
from sedgering import ports
from sedgering import settings
from sedgering import signals

__all__ = ['run_host']

LOG = logging.getLogger(__name__)


def run_host(
    config: str,
    receiver: signals.SignalReceiver,
    log_level: str = 'INFO',
    open_ports: ports.OpenPorts | None = None,
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then leave gracefully.

    Parameters
    ----------
    config : str
        Path of a YAML file with the settings of the request path; empty for
        the defaults.
    receiver : SignalReceiver
        Receives the signals to this process.
    log_level : str
        Lowest level that is logged.
    open_ports : OpenPorts or None
        Ports that are already listening.

    Raises
    ------
    SettingsError
        If the settings are invalid.
    """
    mesh_settings = mesh.MeshSettings()
    if config:
        mesh_settings = settings.load_settings(
            pathlib.Path(config), mesh.MeshSettings
        )
    host_settings, settings_error = platform.wait_for_settings()
    observability.configure_logging(
        log_level,
        sys.stdout,
        host=host_settings.identity.host,
        data_centre=host_settings.identity.data_centre,
    )
    open_ports = open_ports or ports.OpenPorts()
    addresses = host_settings.addresses
    open_ports.open(addresses.address, addresses.peers_port)
    if open_ports.first_error:
        LOG.warning(
            'port was in use at first',
            extra={'detail': open_ports.first_error},
        )
    if settings_error:
        LOG.warning(
            'settings were unreadable at first',
            extra={'detail': settings_error},
        )
    platform.run_daemon(
        host_settings,
        mesh_settings,
        receiver,
        open_ports,
    )
