"""Runs a daemon on a host of the platform."""

import asyncio
import gc
import signal

import msgspec

from sedgering import mesh
from sedgering.platform import _document
from sedgering.platform import _factory
from sedgering.platform import _loop_carrier
from sedgering.platform import _metrics
from sedgering.platform import _readiness
from sedgering.platform import _reload
from sedgering.platform import _reports
from sedgering.platform import _settings
from sedgering.platform import _store
from sedgering.platform import _wire
from sedgering import ports
from sedgering import transport

__all__ = ['run_daemon']


async def _serve(
    host_settings: _settings.HostSettings,
    mesh_settings: mesh.MeshSettings,
    opened: ports.OpenPorts,
) -> None:
    loop = asyncio.get_running_loop()
    share = mesh_settings.retry_share_percent / 100
    budget = mesh.RetryWindow(
        host_settings.retry_ratio * share,
        host_settings.retry_extra * share,
        host_settings.retry_window_s,
    )
    carrier = _loop_carrier.LoopCarrier(host_settings.store)
    source = _factory.make_mesh_source(
        _store.StoreClient(carrier),
        host_settings.identity.host,
        loop,
        host_settings.is_first_start,
        has_rollouts=host_settings.exposed_share is not None,
    )
    if host_settings.exposed_share is not None:
        mesh_settings = msgspec.structs.replace(
            mesh_settings,
            exposed_share_percent=int(100 * host_settings.exposed_share),
        )
    own_settings = mesh_settings
    mesh_settings = _join_revocation(own_settings, host_settings)
    if host_settings.quota_window_ms:
        mesh_settings = msgspec.structs.replace(
            mesh_settings,
            quota_window_ms=host_settings.quota_window_ms,
            quota_excess_percent=host_settings.quota_excess_percent,
            quota_slack=host_settings.quota_slack,
        )
    daemon = mesh.make_mesh_daemon(
        host_settings.identity,
        host_settings.addresses,
        _wire.HEADERS,
        mesh_settings,
        budget,
        source,
        _document.MESH,
    )
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)

    def apply(found: _settings.HostSettings) -> None:
        budget.ratio = found.retry_ratio * share
        budget.extra = found.retry_extra * share
        daemon.state.follow_revocation(_join_revocation(own_settings, found))
        if found.store != carrier.store_settings:
            carrier.move(found.store)

    follower = _reload.SettingsFollower(host_settings, apply)
    loop.add_signal_handler(signal.SIGHUP, follower.reload)
    own = host_settings.addresses
    readiness = _readiness.ReadinessService(lambda: daemon.is_ready)
    reports = _reports.ReportsService(daemon)
    for service, port in (
        (readiness, own.readiness_port),
        (reports, own.reports_port),
        (_metrics.MetricsService(daemon), _metrics.METRICS_PORT),
    ):
        sock = opened.take(own.address, port)
        await transport.serve(service, own.address, port, sock)
    await daemon.start(opened)
    opened.close()
    # Modules and tables made so far are left out of collections.
    gc.collect()
    gc.freeze()
    following = loop.create_task(follower.run())
    await stopping.wait()
    following.cancel()
    await daemon.leave(follower.host_settings.grace_ms)


def _join_revocation(
    own_settings: mesh.MeshSettings, found: _settings.HostSettings
) -> mesh.MeshSettings:
    """Add what the platform states of keys that are taken away."""
    revoke_ms = found.revoke_ms
    if revoke_ms is None:
        revoke_ms = own_settings.revoke_ms
    return msgspec.structs.replace(
        own_settings,
        revoke_strict=own_settings.revoke_strict or found.revoke_strict,
        revoke_ms=revoke_ms,
    )


def run_daemon(
    host_settings: _settings.HostSettings,
    mesh_settings: mesh.MeshSettings,
    opened: ports.OpenPorts,
) -> None:
    """Run until SIGTERM or SIGINT, then leave gracefully.

    Parameters
    ----------
    host_settings : HostSettings
        From the platform's settings file.
    mesh_settings : MeshSettings
        Our own.
    opened : OpenPorts
        Ports that listen already.
    """
    with asyncio.Runner(loop_factory=transport.BootTimeLoop) as runner:
        runner.run(_serve(host_settings, mesh_settings, opened))
