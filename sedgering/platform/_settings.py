"""Decodes the platform's settings file of a host."""

import functools
import math
import os
import pathlib
from typing import Any

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import mesh
from sedgering.platform import _wire
from sedgering import signals
from sedgering import waits

__all__ = [
    'HostSettings',
    'StoreSettings',
    'decode_settings',
    'read_settings',
    'wait_for_settings',
]

#: Port 0 stands for any free one.
PORTS = range(65_536)


class StoreSettings(msgspec.Struct, frozen=True):
    """Address of the platform's metadata store, and its timeout.

    Parameters
    ----------
    address : str
        Address at which the store listens.
    port : int
        Port at which the store listens.
    timeout_ms : int
        Longest wait for a response.  The store responds in 4 ms, and takes
        up to 90 times as long when it is slow.
    """

    address: str
    port: int
    timeout_ms: int = 2000


class HostSettings(msgspec.Struct, frozen=True):
    """Settings of one host, as stated by the platform.

    Parameters
    ----------
    identity : MeshIdentity
        Identity of the daemon.
    addresses : Addresses
        Addresses at which the daemon and its target listen.
    store : StoreSettings
        Address of the metadata store.
    grace_ms : int
        Time from the signal to terminate until the process is killed.
    retry_ratio, retry_extra, retry_window_s : float
        Retry budget of the whole fleet: retries for each request, further
        retries, and the sliding window in which both are counted.
    is_first_start : bool
        Whether all daemons of the fleet start for the first time.
    exposed_share : float or None
        Largest share of the calls to a target set that a version on trial
        may receive; None when the operator does not use rollouts.
    revoke_strict : bool
        Whether a daemon also refuses known API keys when its list of keys
        may be out of date.
    revoke_ms : int or None
        Time within which a revoked API key must be refused; None when the
        operator states none.
    quota_window_ms : int
        Window in which the requests of a workspace are counted against its
        quota; 0 when quotas are not counted.
    quota_excess_percent, quota_slack : int
        Percentage, and additional number of requests, by which a quota may
        be exceeded in a window.
    apply_ms : int or None
        Time within which a version must be in force everywhere; None when the
        operator states none.
    """

    identity: mesh.MeshIdentity
    addresses: mesh.Addresses
    store: StoreSettings
    grace_ms: int
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    is_first_start: bool = False
    exposed_share: float | None = None
    revoke_strict: bool = False
    revoke_ms: int | None = None
    quota_window_ms: int = 0
    quota_excess_percent: int = 0
    quota_slack: int = 0
    apply_ms: int | None = None


class _Listen(msgspec.Struct):
    #: For requests of the callers and the target of this host.
    outbound: str
    ready: str
    #: For the heartbeats of the local target.
    control: str


class _Platform(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    link_mbps: float = 0.0
    memory_mb: base.Count = 0


class _SettingsFile(msgspec.Struct):
    """The encoded settings file, without the fields that are not used."""

    node: str
    ip: str
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int]
    bounds: list[str]
    #: Address of the local target.
    app: str
    #: Target set of the local target.
    service: str
    platform: _Platform
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: Whether all daemons of the fleet start for the first time.
    bootstrap: bool = False


def read_settings() -> HostSettings:
    """Read the settings file named by the environment variable.

    Raises
    ------
    SettingsError
        When the file cannot be read or decoded.
    """
    name = os.environ.get(_wire.SETTINGS_VARIABLE, '')
    try:
        data = pathlib.Path(name).read_bytes()
    except OSError as error:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_UNREADABLE, str(error)
        ) from error
    return decode_settings(data)


def wait_for_settings(
    receiver: signals.SignalReceiver | None = None,
) -> tuple[HostSettings, str]:
    """Read the settings file, which may still be written at the start.

    Parameters
    ----------
    receiver : SignalReceiver or None
        Ends the wait.

    Returns
    -------
    HostSettings
        The settings.
    str
        Why they could not be read at first; empty if they could.

    Raises
    ------
    SettingsError
        When the file still cannot be read or decoded after some time.
    StopRequested
        When a signal to stop arrives before.
    """
    wait = waits.StartWait(receiver)
    while True:
        try:
            return read_settings(), wait.first_error
        except exceptions.SettingsError as error:
            if not os.environ.get(_wire.SETTINGS_VARIABLE):
                raise
            wait.pause(error)


@functools.lru_cache(maxsize=1)
def decode_settings(data: bytes) -> HostSettings:
    """Decode a settings file; the last result is cached.

    Raises
    ------
    SettingsError
        When the file is malformed.
    """
    try:
        return _convert(msgspec.json.decode(data, type=_SettingsFile))
    except (
        msgspec.MsgspecError,
        ValueError,
        KeyError,
        RecursionError,
    ) as error:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_INVALID, str(error)
        ) from error


def _convert(file: _SettingsFile) -> HostSettings:
    bounds = dict(item.split('=', 1) for item in file.bounds)
    exposed_share = bounds.get('expose_share')
    revoke = bounds.get('revoke')
    apply = bounds.get('apply')
    quota_window = bounds.get('quota_window')
    quota_excess = _parse_number(bounds.get('quota_excess', '0'))
    target_address, target_port = _split_address(file.app)
    store_address, store_port = _split_address(file.platform.address)
    return HostSettings(
        identity=mesh.MeshIdentity(
            base.HostId(file.node),
            base.DataCentre(file.zone),
            base.TargetSetName(file.service),
            file.limits.link_mbps,
            file.limits.memory_mb,
        ),
        addresses=mesh.Addresses(
            address=file.ip,
            callers_port=_split_address(file.listen.outbound)[1],
            readiness_port=_split_address(file.listen.ready)[1],
            reports_port=_split_address(file.listen.control)[1],
            peers_port=file.internal_ports[0],
            target_address=target_address,
            target_port=target_port,
        ),
        store=StoreSettings(store_address, store_port),
        grace_ms=_wire.parse_duration_ms(bounds['grace']),
        retry_ratio=_parse_number(bounds['budget_ratio']),
        retry_extra=_parse_number(bounds['budget_extra']),
        retry_window_s=_wire.parse_duration_ms(bounds['budget_window']) / 1000,
        is_first_start=file.bootstrap,
        exposed_share=_parse_number(exposed_share) if exposed_share else None,
        revoke_strict=bounds.get('revoke_strict') == 'true',
        revoke_ms=_wire.parse_duration_ms(revoke) if revoke else None,
        quota_window_ms=(
            _wire.parse_duration_ms(quota_window) if quota_window else 0
        ),
        quota_excess_percent=int(100 * quota_excess),
        quota_slack=int(bounds.get('quota_slack', 0)),
        apply_ms=_wire.parse_duration_ms(apply) if apply else None,
    )


def _split_address(address: str) -> tuple[Any, int]:
    host, _colon, port = address.rpartition(':')
    if int(port) not in PORTS:
        raise ValueError(f'port out of range: {address!r}')
    return host, int(port)


def _parse_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'not a finite number: {text!r}')
    return number
