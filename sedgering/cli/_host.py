"""Startup of the daemon of a host, shared by its two programs."""

import asyncio
import logging
import os
import pathlib
import sys
from typing import NoReturn

from sedgering import exceptions
from sedgering import mesh
from sedgering import observability
from sedgering import platform
from sedgering import ports
from sedgering import settings
from sedgering import signals
from sedgering import transport

__all__ = ['end_start', 'run_host']

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
    open_ports = open_ports or ports.OpenPorts(receiver=receiver)
    try:
        mesh_settings = _load_mesh_settings(config)
        host_settings = _prepare(receiver, log_level, open_ports)
    except signals.StopRequested as stop:
        print(stop, file=sys.stderr)
        end_start(open_ports, receiver)
        return
    except exceptions.SettingsError:
        end_start(open_ports, receiver)
        raise
    platform.run_daemon(
        host_settings,
        mesh_settings,
        receiver,
        open_ports,
    )
    _end_process()


def _end_process() -> NoReturn:
    """End without the interpreter's own end, which may outstay the grace time.

    All answers have been given.  Modules, threads and memory are left to the
    kernel.
    """
    logging.shutdown()
    os._exit(0)


def end_start(
    open_ports: ports.OpenPorts, receiver: signals.SignalReceiver
) -> None:
    """End a start that has failed, and answer the requests that wait for it.

    Parameters
    ----------
    open_ports : OpenPorts
        Ports that are already listening.
    receiver : SignalReceiver
        Receives the signals to this process.
    """
    refusing = mesh.refuse_waiting(open_ports, platform.HEADERS)
    try:
        with asyncio.Runner(loop_factory=transport.BootTimeLoop) as runner:
            runner.run(refusing)
    finally:
        receiver.ignore()


def _load_mesh_settings(config: str) -> mesh.MeshSettings:
    if not config:
        return mesh.MeshSettings()
    return settings.load_settings(pathlib.Path(config), mesh.MeshSettings)


def _prepare(
    receiver: signals.SignalReceiver,
    log_level: str,
    open_ports: ports.OpenPorts,
) -> platform.HostSettings:
    """Read the settings of the host, configure the log and open the ports."""
    host_settings, settings_error = platform.wait_for_settings(receiver)
    observability.configure_logging(
        log_level,
        sys.stdout,
        host=host_settings.identity.host,
        data_centre=host_settings.identity.data_centre,
    )
    _open_ports(open_ports, host_settings.addresses)
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
    return host_settings


def _open_ports(
    open_ports: ports.OpenPorts, addresses: mesh.Addresses
) -> None:
    """Open the ports that are not open yet."""
    try:
        for port in (
            addresses.callers_port,
            addresses.readiness_port,
            addresses.reports_port,
            addresses.peers_port,
        ):
            open_ports.open(addresses.address, port)
    except OSError as error:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_PORT, str(error)
        ) from error
