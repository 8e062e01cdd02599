"""Settings of the programs: YAML, typed, validated in one place."""

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

_NOT_IP = 'is not an IPv4 number'
_CODES_BY_PATTERN = (
    (_NOT_IP, exceptions.Code.SETTINGS_ADDRESS),
    ('missing required field', exceptions.Code.SETTINGS_MISSING),
    ('(>=|<=|> |< |matching regex)', exceptions.Code.SETTINGS_RANGE),
)


class SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings are frozen, named, and refuse keys that they do not know."""


class PeerAddress(SettingsStruct):
    """Where a peer listens.

    Parameters
    ----------
    address : IPv4Address
        IP number.
    port : int
        Peer port; UDP and TCP have the same number.
    """

    address: ipaddress.IPv4Address
    port: Port


class PlatformSettings(SettingsStruct):
    """How the platform is asked.

    Parameters
    ----------
    address, port
        Where the platform listens.
    timeout_ms : int
        Longest time for one call.
    concurrent_calls : int
        Calls at a time; others wait.
    queue_wait_ms : int
        Longest wait for a free call.
    circuit_failures : int
        Failures in a row after which the platform is left alone.
    circuit_open_ms, circuit_max_open_ms : int
        For how long at first, and at most.
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
    """How versions spread.

    Parameters
    ----------
    fan_out : int
        Children of one parent in the tree of a data centre, on average.
    relays : int
        Proxies of a data centre that read the head.
    head_poll_interval_ms : int
        Time between two reads of the head by one relay.
    acknowledge_interval_ms : int
        Time between two acknowledgements when nothing changed.
    merge_interval_ms : int
        Shortest time between two acknowledgements.
    use_delta : bool
        Send differences instead of whole bundles where possible.
    delta_history : int
        Versions back from which a difference is still available.
    progress_interval_ms : int
        Shortest time between two writes of the progress row.
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
    """How hosts learn of each other.

    Parameters
    ----------
    compare_interval_ms : int
        Time between two probes of random peers.
    probe_timeout_ms : int
        Time after which an unanswered probe is repeated, then counted.
    suspicion_ms : int
        Time that a suspected host has to answer for itself.
    forget_ms : int
        Time for which the row of a host that is gone is kept; longer
        than regions are apart.
    remote_percent : int
        Share of probes that goes to other data centres.
    gossip_fan_out : int
        Peers that news is pushed to in each tick.
    seeds : list of PeerAddress
        Peers to ask when the platform cannot name any.
    floor_peers : int
        Peers that must answer, among them one of each data centre ever
        heard of, before a floor counts without the table.
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
    """How requests are treated.

    Parameters
    ----------
    threads : int
        Requests worked on at a time.
    queue_limit : int
        Connections that wait for a thread.
    waiting_limit : int
        Requests that wait for a target set at its limit.
    waiting_ms : int
        Longest such wait.
    retry_floor_per_s : int
        Retries allowed each second however few requests there are.
    guard_writes_per_s : int
        Table writes that the repeat guards of the whole fleet may use.
    caller_timeout_ms : int
        Longest silence of a caller within a request.
    drain_grace_ms : int
        Time for which a leaving proxy still accepts requests.
    drain_limit_ms : int
        Longest wait for requests in flight when leaving.
    heartbeat_limit_ms : int
        Silence after which a target counts as leaving.
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
        Mesh that the proxy belongs to.
    host : str
        Unique name of the host.
    data_centre : str
        Data centre of the host.
    address : IPv4Address
        IP number that peers and callers reach.
    data_port, peer_port, admin_port : int
        Ports for requests, for peers (UDP and TCP), and for the admin
        pages.
    platform : PlatformSettings
        How the platform is asked.
    admin_address : IPv4Address
        Where the admin pages listen; loopback unless set otherwise.
    tick_interval_ms : int
        Longest time between two ticks.
    log_level : str
        Least level written.
    distribution : DistributionSettings
        How versions spread.
    membership : MembershipSettings
        How hosts learn of each other.
    traffic : TrafficSettings
        How requests are treated.
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
        """Name of the host, as an identifier."""
        return base.HostId(self.host)


class OperatorSettings(SettingsStruct):
    """Settings of the operator's tools.

    Parameters
    ----------
    mesh : str
        Mesh that is operated.
    operator : str
        Who signs off and rolls.
    platform : PlatformSettings
        How the platform is asked.
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
        YAML file.
    settings_type : type
        One of the settings classes of this module.

    Returns
    -------
    settings_type
        Validated.

    Raises
    ------
    SettingsError
        One line: code, meaning, and the path of the key.
    """
    # Imported here: a daemon with default settings reads no file, and starts
    # 20 ms of processor time sooner.
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
    """Name the key that was probably meant, such as one with its unit."""
    unknown = re.search('unknown field `([^`]+)`', message)
    if unknown is None:
        return ''
    import difflib

    known = _list_keys(settings_type)
    written = unknown.group(1)
    longer = [key for key in known if key.startswith(written + '_')]
    close = longer or difflib.get_close_matches(written, known, 1)
    return f'; did you mean `{close[0]}`?' if close else ''


def _list_keys(settings_type: type) -> list[str]:
    keys = []
    for field in msgspec.structs.fields(settings_type):
        keys.append(field.name)
        if isinstance(field.type, type) and issubclass(
            field.type, SettingsStruct
        ):
            keys.extend(_list_keys(field.type))
    return keys
