"""Typed settings of the programs, read from YAML and validated."""

import ipaddress
import pathlib
import re
from typing import Annotated, Any, TypeVar

import msgspec

from sedgering import base
from sedgering import exceptions

__all__ = [
    'DistributionSettings',
    'MembershipSettings',
    'OperatorSettings',
    'PeerAddress',
    'PlatformSettings',
    'ProxySettings',
    'SettingsStruct',
    'TrafficSettings',
    'load_settings',
]

SettingsT = TypeVar('SettingsT')

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PortOrNone = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
IntervalMs = Annotated[int, msgspec.Meta(ge=10, le=86_400_000)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
CountOrNone = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]

_NOT_IP = 'is not an IPv4 address'
_CODES_BY_PATTERN = (
    (_NOT_IP, exceptions.Code.SETTINGS_ADDRESS),
    ('missing required field', exceptions.Code.SETTINGS_MISSING),
    ('(>=|<=|> |< |matching regex)', exceptions.Code.SETTINGS_RANGE),
)


class SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of settings: immutable, and unknown keys are errors."""


class PeerAddress(SettingsStruct):
    """Address of a peer.

    Parameters
    ----------
    address : IPv4Address
        IP address.
    port : int
        Peer port, the same for UDP and TCP.
    """

    address: ipaddress.IPv4Address
    port: Port


class PlatformSettings(SettingsStruct):
    """Connection to the platform.

    Parameters
    ----------
    address, port
        Address and port of the platform.
    timeout_ms : int
        Timeout of one call.
    concurrent_calls : int
        Largest number of concurrent calls; further calls wait.
    queue_wait_ms : int
        Longest time for which a call waits to be sent.
    circuit_failures : int
        Consecutive failures after which the circuit breaker opens: no calls
        are sent for a while.
    circuit_open_ms, circuit_max_open_ms : int
        Initial and longest time for which the circuit breaker stays open.
    """

    address: ipaddress.IPv4Address
    port: Port
    timeout_ms: IntervalMs = 2000
    concurrent_calls: Count = 4
    queue_wait_ms: IntervalMs = 1000
    circuit_failures: Count = 5
    circuit_open_ms: IntervalMs = 500
    circuit_max_open_ms: IntervalMs = 8000


class DistributionSettings(SettingsStruct):
    """Distribution of bundle versions.

    Parameters
    ----------
    fan_out : int
        Average number of children of a node in the distribution tree of a
        data centre.
    relays : int
        Number of proxies per data centre that read the head row.
    head_poll_interval_ms : int
        Interval at which one relay reads the head row.
    acknowledge_interval_ms : int
        Interval between acknowledgements while nothing changes.
    merge_interval_ms : int
        Shortest interval between two acknowledgements.
    use_delta : bool
        Whether deltas are sent instead of complete bundles where possible.
    delta_history : int
        Number of past versions from which a delta is available.
    progress_interval_ms : int
        Shortest interval between two writes of the progress row.
    """

    fan_out: Annotated[int, msgspec.Meta(ge=2, le=64)] = 8
    relays: Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    head_poll_interval_ms: IntervalMs = 1000
    acknowledge_interval_ms: IntervalMs = 1000
    merge_interval_ms: IntervalMs = 50
    use_delta: bool = True
    delta_history: Count = 32
    progress_interval_ms: IntervalMs = 1000


class MembershipSettings(SettingsStruct):
    """Group membership and failure detection.

    Parameters
    ----------
    compare_interval_ms : int
        Interval between probes of random peers.
    probe_timeout_ms : int
        Time after which an unanswered probe is repeated, and after which the
        repeated probe counts as failed.
    suspicion_ms : int
        Time within which a suspected host must refute the suspicion.
    forget_ms : int
        Time for which the row of a host that is gone is kept; must exceed
        the longest partition between regions.
    remote_percent : int
        Percentage of probes that go to other data centres.
    gossip_fan_out : int
        Number of peers to which changes are sent in each tick.
    seeds : list of PeerAddress
        Peers to contact when the platform cannot provide any.
    floor_peers : int
        Number of peers that must answer, among them one of each known data
        centre, before a version floor is accepted without reading it from
        the platform.
    """

    compare_interval_ms: IntervalMs = 1000
    probe_timeout_ms: IntervalMs = 500
    suspicion_ms: IntervalMs = 3000
    forget_ms: IntervalMs = 7_200_000
    remote_percent: Percent = 10
    gossip_fan_out: Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    seeds: tuple[PeerAddress, ...] = ()
    floor_peers: Count = 3


class TrafficSettings(SettingsStruct):
    """Handling of requests.

    Parameters
    ----------
    threads : int
        Number of worker threads, each of which handles one request at a
        time.
    queue_limit : int
        Largest number of connections that wait for a worker thread.
    waiting_limit : int
        Largest number of requests that wait for a target set at its limit.
    waiting_ms : int
        Longest time for which a request waits for a target set at its limit.
    retry_floor_per_s : int
        Retries per second that are allowed regardless of the request rate.
    guard_writes_per_s : int
        Table writes per second that the idempotency guards of all proxies
        may use together.
    caller_timeout_ms : int
        Longest time without data from the caller within a request.
    drain_grace_ms : int
        Time for which a proxy that shuts down still accepts requests.
    drain_limit_ms : int
        Longest time for which a proxy that shuts down waits for requests that
        are in flight or on their way.
    heartbeat_limit_ms : int
        Time without a heartbeat after which a target counts as leaving.
    """

    threads: Count = 40
    queue_limit: Count = 128
    waiting_limit: Count = 32
    waiting_ms: IntervalMs = 200
    retry_floor_per_s: Count = 1
    guard_writes_per_s: Count = 200
    caller_timeout_ms: IntervalMs = 10_000
    drain_grace_ms: IntervalMs = 2000
    drain_limit_ms: IntervalMs = 30_000
    heartbeat_limit_ms: IntervalMs = 5000


class ProxySettings(SettingsStruct):
    """Settings of one sedgering-proxy.

    Parameters
    ----------
    mesh : str
        Mesh to which the proxy belongs.
    host : str
        Unique name of the host.
    data_centre : str
        Data centre of the host.
    address : IPv4Address
        IP address at which peers and callers reach the proxy.
    data_port, peer_port, admin_port : int
        Ports for requests, for peers (UDP and TCP), and for the admin
        pages.
    platform : PlatformSettings
        Connection to the platform.
    admin_address : IPv4Address
        IP address on which the admin pages are served; loopback by default.
    tick_interval_ms : int
        Longest interval between two ticks of the control loop.
    log_level : str
        Lowest log level that is written.
    distribution : DistributionSettings
        Distribution of bundle versions.
    membership : MembershipSettings
        Group membership and failure detection.
    traffic : TrafficSettings
        Handling of requests.
    """

    mesh: Name
    host: Name
    data_centre: Name
    address: ipaddress.IPv4Address
    data_port: Port
    peer_port: Port
    admin_port: Port
    platform: PlatformSettings
    admin_address: ipaddress.IPv4Address = ipaddress.IPv4Address('127.0.0.1')
    tick_interval_ms: IntervalMs = 100
    log_level: str = 'INFO'
    distribution: DistributionSettings = DistributionSettings()
    membership: MembershipSettings = MembershipSettings()
    traffic: TrafficSettings = TrafficSettings()

    @property
    def host_id(self) -> base.HostId:
        """Name of the host as a `HostId`."""
        return base.HostId(self.host)


class OperatorSettings(SettingsStruct):
    """Settings of the operator command-line tools.

    Parameters
    ----------
    mesh : str
        Mesh to operate on.
    operator : str
        Name of the operator, recorded with each sign-off and roll.
    platform : PlatformSettings
        Connection to the platform.
    """

    mesh: Name
    operator: Name
    platform: PlatformSettings


def load_settings(
    path: pathlib.Path, settings_type: type[SettingsT]
) -> SettingsT:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        Path of the YAML file.
    settings_type : type
        Settings class to which the file is converted.

    Returns
    -------
    settings_type
        The validated settings.

    Raises
    ------
    SettingsError
        If the file is unreadable or invalid.  The message is one line with
        the code, its text and, if known, the path of the key.
    """
    # Imported here: a daemon with default settings reads no file, and saves
    # 20 ms of processor time at its start.
    import yaml

    try:
        document = yaml.safe_load(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeError, yaml.YAMLError) as error:
        detail = ' '.join(str(error).split())
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_UNREADABLE, detail
        ) from error
    try:
        return msgspec.convert(
            document, settings_type, dec_hook=_decode_address
        )
    except msgspec.ValidationError as error:
        raise _make_error(str(error), settings_type) from error


def _decode_address(kind: type, value: Any) -> Any:
    if kind is not ipaddress.IPv4Address:
        raise NotImplementedError(kind)
    try:
        return ipaddress.IPv4Address(value)
    except ValueError as error:
        raise ValueError(f'{value!r} {_NOT_IP}') from error


def _make_error(message: str, settings_type: type) -> exceptions.SettingsError:
    for pattern, code in _CODES_BY_PATTERN:
        if re.search(pattern, message):
            return exceptions.SettingsError(code, message)
    hint = _suggest_key(message, settings_type)
    return exceptions.SettingsError(
        exceptions.Code.SETTINGS_INVALID, message + hint
    )


def _suggest_key(message: str, settings_type: type) -> str:
    """Return a hint at a similar known key, preferably one with a unit."""
    unknown = re.search('unknown field `([^`]+)`', message)
    if unknown is None:
        return ''
    import difflib

    known_keys = _list_keys(settings_type)
    unknown_key = unknown.group(1)
    with_unit = [
        key for key in known_keys if key.startswith(unknown_key + '_')
    ]
    matches = with_unit or difflib.get_close_matches(
        unknown_key, known_keys, 1
    )
    return f'; did you mean `{matches[0]}`?' if matches else ''


def _list_keys(settings_type: type) -> list[str]:
    keys = []
    for field in msgspec.structs.fields(settings_type):
        keys.append(field.name)
        if isinstance(field.type, type) and issubclass(
            field.type, SettingsStruct
        ):
            keys.extend(_list_keys(field.type))
    return keys
