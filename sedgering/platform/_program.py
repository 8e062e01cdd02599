"""Runs a daemon on a host of the platform."""

import asyncio
import gc
import logging

import msgspec

from sedgering import mesh
from sedgering.platform import _async_http
from sedgering.platform import _document
from sedgering.platform import _factory
from sedgering.platform import _metrics
from sedgering.platform import _readiness
from sedgering.platform import _reload
from sedgering.platform import _reports
from sedgering.platform import _settings
from sedgering.platform import _store
from sedgering.platform import _wire
from sedgering import ports
from sedgering import signals
from sedgering import transport

__all__ = ['run_daemon']

LOG = logging.getLogger(__name__)

#: Time after which a cancelled task that is still running is logged.
CANCEL_WAIT_S = 0.05


async def _serve(
    host_settings: _settings.HostSettings,
    mesh_settings: mesh.MeshSettings,
    receiver: signals.SignalReceiver,
    opened: ports.OpenPorts,
) -> None:
    loop = asyncio.get_running_loop()
    budget_share = mesh_settings.retry_share_percent / 100
    budget = mesh.RetryWindow(
        host_settings.retry_ratio * budget_share,
        host_settings.retry_extra * budget_share,
        host_settings.retry_window_s,
    )
    http_client = _async_http.LoopCarrier(host_settings.store)
    source = _factory.make_mesh_source(
        _store.StoreClient(http_client),
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
    mesh_settings = _merge_bounds(own_settings, host_settings)
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

    def apply_settings(changed: _settings.HostSettings) -> None:
        budget.ratio = changed.retry_ratio * budget_share
        budget.extra = changed.retry_extra * budget_share
        daemon.state.follow_revocation(_merge_bounds(own_settings, changed))
        if changed.store != http_client.store_settings:
            http_client.change_store(changed.store)

    settings_watcher = _reload.SettingsWatcher(host_settings, apply_settings)

    def handle_signal(number: int) -> None:
        if number in signals.STOP_SIGNALS:
            stopping.set()
        else:
            settings_watcher.reload()

    receiver.listen(loop, handle_signal)
    addresses = host_settings.addresses
    readiness = _readiness.ReadinessService(lambda: daemon.is_ready)
    reports = _reports.ReportsService(daemon)
    for service, port in (
        (readiness, addresses.readiness_port),
        (reports, addresses.reports_port),
    ):
        sock = opened.take(addresses.address, port)
        server = await transport.serve(service, addresses.address, port, sock)
        daemon.add_server(service, server)
    await daemon.start(opened)
    opened.close()
    metrics_task = loop.create_task(
        _metrics.serve_metrics(daemon, addresses.address)
    )
    # Exclude the modules and tables created so far from garbage collection.
    gc.collect()
    gc.freeze()
    watch_task = loop.create_task(settings_watcher.run())
    await stopping.wait()
    watch_task.cancel()
    metrics_task.cancel()
    # The signal may be older than the event loop.
    elapsed_s = loop.time() - receiver.stop_requested_s
    grace_ms = settings_watcher.host_settings.grace_ms - 1000 * elapsed_s
    await daemon.leave(max(0, int(grace_ms)))
    await _cancel_tasks()


async def _cancel_tasks() -> None:
    """Cancel all other tasks, and log those that do not end soon."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if not tasks:
        return
    _ended, running = await asyncio.wait(tasks, timeout=CANCEL_WAIT_S)
    for task in running:
        LOG.warning('cancelled task runs on', extra={'detail': repr(task)})


def _merge_bounds(
    own_settings: mesh.MeshSettings, host_settings: _settings.HostSettings
) -> mesh.MeshSettings:
    """Add the platform's settings for versions and for revoked API keys."""
    revoke_ms = host_settings.revoke_ms
    if revoke_ms is None:
        revoke_ms = own_settings.revoke_ms
    return msgspec.structs.replace(
        own_settings,
        revoke_strict=(
            own_settings.revoke_strict or host_settings.revoke_strict
        ),
        revoke_ms=revoke_ms,
        apply_ms=host_settings.apply_ms or own_settings.apply_ms,
    )


def run_daemon(
    host_settings: _settings.HostSettings,
    mesh_settings: mesh.MeshSettings,
    receiver: signals.SignalReceiver,
    opened: ports.OpenPorts,
) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully.

    Parameters
    ----------
    host_settings : HostSettings
        Settings from the platform's file.
    mesh_settings : MeshSettings
        Settings of this project.
    receiver : SignalReceiver
        Receives the signals to this process.
    opened : OpenPorts
        Ports that are already listening.
    """
    serving = _serve(host_settings, mesh_settings, receiver, opened)
    try:
        with asyncio.Runner(loop_factory=transport.BootTimeLoop) as runner:
            runner.run(serving)
        _log_end(receiver)
    finally:
        receiver.ignore()


def _log_end(receiver: signals.SignalReceiver) -> None:
    """Log the end, after which only the interpreter itself is left."""
    elapsed_s = transport.BootTimeLoop.time() - receiver.stop_requested_s
    LOG.info('ended', extra={'elapsed_ms': int(elapsed_s * 1000)})
