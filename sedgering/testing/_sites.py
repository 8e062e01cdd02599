"""Site files of the platform: hosts, services, traffic and days."""

import enum
import pathlib
import tomllib

import msgspec

from sedgering import exceptions

__all__ = [
    'DayEvent',
    'EventKind',
    'Site',
    'SiteClass',
    'SiteDay',
    'SiteHost',
    'make_site_routes',
    'read_site',
]


class EventKind(enum.Enum):
    """Kind of an entry of a day, by its name in site files."""

    BURST = 'burst'
    RETRIES = 'retry_abuse'
    LEAVING_CALLERS = 'give_up'
    TARGET_CRASH = 'srv_crash'
    TARGET_SLOW = 'srv_slow'
    TARGET_SHEDS = 'srv_grey'
    TARGET_RELEASE = 'release'
    ADDRESS_REUSE = 'replace_with_reuse'
    SCALE_OUT = 'scale_out'
    SCALE_IN = 'scale_in'
    LOST_ANSWERS = 'answer_lost'
    SPOILT_ANSWERS = 'garble'
    HOST_KILL = 'node_kill'
    HOST_PAUSE = 'node_freeze'
    ROLLING_RESTART = 'roll_term'
    MANY_KILLS = 'herd_kill'
    ALL_KILLED = 'kill_all'
    POWER_LOSS = 'power_off_all'
    KILL_AFTER_ACK = 'after_ack_kill'
    CLOCK_STEP = 'clock_step'
    PARTITION = 'core_cut'
    HOST_CUT = 'node_cut'
    LOSSY_LINKS = 'lossy'
    STORE_DOWN = 'platform_down'
    STORE_SLOW = 'platform_slow'
    STORE_LOSES_ANSWERS = 'platform_lost'
    STORE_COMPACTION = 'platform_compact'
    VERSION = 'config_change'
    VERSIONS = 'config_storm'
    HOST_SLOW = 'node_slow'
    RELOAD = 'hup'
    RESET_CONNECTIONS = 'reset_conns'


class SiteHost(msgspec.Struct, frozen=True):
    """Host with a daemon and a target.

    Parameters
    ----------
    data_centre, target_set : str
        Where it is, and the set of its target.
    slots : int
        Requests that the target runs at once.
    rate_per_s : float
        Requests that callers send to it.
    memory_mb : int
        Memory above which a process is killed; 0 for unlimited.
    max_descriptors : int
        Descriptors of a process; 0 for unlimited.
    """

    data_centre: str
    target_set: str
    slots: int
    rate_per_s: float
    memory_mb: int = 0
    max_descriptors: int = 0


class SiteClass(msgspec.Struct, frozen=True):
    """Class of requests that callers send.

    Parameters
    ----------
    name, target_set, kind : str
        Name, target set and kind of its route.
    share : float
        Relative frequency.
    priority, retries : int
        Priority of its route, and how often callers repeat a request.
    latency_ms, deadline_ms, timeout_ms : float
        Target latency, time of the caller, and timeout of the route.
    work_ms, work_spread, max_work_ms : float
        Mean, relative spread and maximum of the time that targets work.
    body_bytes, answer_bytes : int
        Mean sizes.
    is_pipelined : bool
        Whether callers send requests behind each other.
    """

    name: str
    target_set: str
    kind: str
    share: float
    priority: int
    retries: int
    latency_ms: float
    deadline_ms: float
    timeout_ms: float
    work_ms: float
    work_spread: float
    max_work_ms: float
    body_bytes: int
    answer_bytes: int
    is_pipelined: bool

    @property
    def is_once(self) -> bool:
        """Whether a request must run at most once."""
        return self.kind != 'safe'


class DayEvent(msgspec.Struct, frozen=True):
    """Entry of a day, with the names of its fields in site files."""

    kind: str
    at: float = 0.0
    how: str = ''
    share: float = 0.0
    count: int = 0
    for_s: float = 5.0
    gap_s: float = 1.0
    x: float = 0.0
    zone: str = ''
    service: str = ''
    down_s: float = 0.0

    @property
    def words(self) -> list[str]:
        """Variants of the kind."""
        return self.how.split()


class SiteDay(msgspec.Struct, frozen=True):
    """Day of a site.

    Parameters
    ----------
    name : str
        Name of the day.
    seed : int
        Seed that chooses hosts and targets.
    events : tuple of DayEvent
        Entries in the order of time.
    closing : DayEvent or None
        What strikes at the end, right after an acknowledgement.
    """

    name: str
    seed: int
    events: tuple[DayEvent, ...]
    closing: DayEvent | None = None


class Site(msgspec.Struct, frozen=True):
    """Deployment that a site file describes.

    Parameters
    ----------
    name : str
        Name of the site.
    length_s : float
        Length of a day.
    hosts, classes, days
        Its hosts, classes of requests and days.
    samples : tuple of DayEvent
        An entry of each kind that the site may meet, without times.
    caller_delay_ms : float
        Delay of the links of callers in each direction.
    """

    name: str
    length_s: float
    hosts: tuple[SiteHost, ...]
    classes: tuple[SiteClass, ...]
    days: tuple[SiteDay, ...]
    samples: tuple[DayEvent, ...]
    caller_delay_ms: float = 0.0


def make_site_routes(site: Site, timeout_factor: float = 1.0) -> list[dict]:
    """Make the fields of a route for each class of requests.

    Parameters
    ----------
    site : Site
        The site.
    timeout_factor : float
        Factor of their timeouts.
    """
    return [
        {
            'prefix': f'/{item.name}/',
            'kind': item.kind,
            'service': item.target_set,
            'priority': item.priority,
            'timeout': f'{item.timeout_ms * timeout_factor:.0f}ms',
            'target_latency': f'{item.latency_ms:.0f}ms',
        }
        for item in site.classes
    ]


def read_site(path: pathlib.Path) -> Site:
    """Read a site file.

    Raises
    ------
    SettingsError
        If it cannot be read.
    """
    try:
        data = tomllib.loads(path.read_text())
        return Site(
            data['name'],
            float(data['length_s']),
            _make_hosts(data),
            _make_classes(data),
            tuple(map(_make_day, data.get('day', ()))),
            tuple(map(_make_event, data.get('troubles', ()))),
            float(data.get('net', {}).get('client_ms', 0)),
        )
    except (
        KeyError,
        OSError,
        StopIteration,
        TypeError,
        ValueError,
        msgspec.ValidationError,
    ) as error:
        raise exceptions.SettingsError(
            exceptions.Code.SITE_UNREADABLE, f'{path.name}: {error!r}'
        ) from error


def _make_hosts(data: dict) -> tuple[SiteHost, ...]:
    slots = {item['name']: item['slots'] for item in data['services']}
    groups = [
        group
        for group in data['machines']
        for _ in range(group.get('count', 1))
    ]
    rates = {item['zone']: item['per_s'] for item in data['traffic']}
    zones = [group['zone'] for group in groups]
    return tuple(
        SiteHost(
            group['zone'],
            group['app'],
            slots[group['app']],
            rates.get(group['zone'], 0.0) / zones.count(group['zone']),
            int(group.get('memory_mb', 0)),
            int(group.get('fds', 0)),
        )
        for group in groups
    )


def _make_classes(data: dict) -> tuple[SiteClass, ...]:
    mix: dict[str, float] = {}
    for item in data['traffic']:
        for name, share in item['mix'].items():
            mix[name] = mix.get(name, 0.0) + share * item['per_s']
    return tuple(
        _make_class(item, mix[item['name']])
        for item in data['classes']
        if item['name'] in mix
    )


def _make_class(item: dict, share: float) -> SiteClass:
    work = item['work_ms']
    kinds = {'unsafe': 'non_idempotent'}
    return SiteClass(
        item['name'],
        item['service'],
        kinds.get(item['kind'], item['kind']),
        share,
        item.get('priority', 1),
        item.get('retries', 0),
        float(item['aim_ms']),
        float(item['deadline_ms']),
        float(item.get('timeout_ms', item['deadline_ms'])),
        float(work['mean']),
        float(work.get('spread', 0.0)),
        float(work.get('max', work['mean'])),
        round(item.get('req_bytes', {}).get('mean', 0)),
        round(item.get('resp_bytes', {}).get('mean', 0)),
        item.get('habit') == 'pipeline',
    )


def _make_day(item: dict) -> SiteDay:
    events = map(_make_event, [*item.get('plan', ()), *item.get('faults', ())])
    closing = item.get('closing')
    return SiteDay(
        item['name'],
        item['seed'],
        tuple(sorted(events, key=lambda event: event.at)),
        _make_event(closing) if closing else None,
    )


def _make_event(item: dict) -> DayEvent:
    return msgspec.convert(item, DayEvent)
