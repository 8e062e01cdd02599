"""Steps in which a day of a site is played on processes from outside."""

from collections.abc import Callable
from collections.abc import Iterator
import random

import msgspec

from sedgering import exceptions
from sedgering.testing import _engine
from sedgering.testing import _fault_kinds
from sedgering.testing import _mesh_target
from sedgering.testing import _sites

__all__ = [
    'DayPlan',
    'PLAYED_WORDS',
    'make_day_plan',
    'make_mixed_day',
    'make_single_day',
]

#: Latency of a call to a sound store.
STORE_CALL_MS = 4.0
#: When the only entry of a day begins, and the length of a day of such
#: entries that are mixed.
SINGLE_AT_S = 3.0
MIXED_S = 24.0
MIXED_EVENTS = 12
#: How long links reset connections that an entry resets.
RESET_S = 0.2

_Fault = _fault_kinds.Fault
_FaultKind = _fault_kinds.FaultKind
_Habit = _mesh_target.TargetHabit
_Kind = _sites.EventKind
_Mode = _engine.StoreMode


class DayPlan(msgspec.Struct, frozen=True):
    """Steps of a day, and the entries or words that cannot be played."""

    steps: tuple[_Fault, ...]
    refusals: tuple[exceptions.SettingsError, ...]


class _Planner:
    """Makes the steps of one day.

    Parameters
    ----------
    site : Site
        The site.
    rng : Random
        Chooses hosts and target sets that an entry leaves open.
    """

    def __init__(self, site: _sites.Site, rng: random.Random):
        self.site = site
        self.rng = rng
        #: Hosts whose targets join or go for good during the day.
        self.reserved: set[int] = set()

    def choose(
        self, event: _sites.DayEvent, share: float, numbers: list[int]
    ) -> list[int]:
        """Choose a share or a number of hosts."""
        count = event.count or round((event.share or share) * len(numbers))
        return self.rng.sample(numbers, min(max(1, count), len(numbers)))

    def choose_hosts(self, event: _sites.DayEvent, share: float) -> list[int]:
        """Choose hosts of a data centre or of all."""
        return self.choose(
            event,
            share,
            [
                number
                for number, host in enumerate(self.site.hosts)
                if event.zone in ('', host.data_centre)
            ],
        )

    def choose_targets(
        self, event: _sites.DayEvent, share: float, is_for_good: bool = False
    ) -> list[int]:
        """Choose hosts with targets of one set; one at least remains."""
        sets = sorted({host.target_set for host in self.site.hosts})
        target_set = event.service or self.rng.choice(sets)
        numbers = [
            number
            for number, host in enumerate(self.site.hosts)
            if host.target_set == target_set and number not in self.reserved
        ]
        if is_for_good:
            chosen = self.choose(event, share, numbers)[: len(numbers) - 1]
            self.reserved.update(chosen)
            return chosen
        return self.choose(event, share, numbers)

    def make_steps(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Make the steps of an entry."""
        yield from _MAKERS[_Kind(event.kind)](self, event)

    def _apply_to(
        self, numbers, event, kind: _FaultKind, detail: str = '', gap_s=0.0
    ) -> Iterator[_Fault]:
        per_round = max(1, round(event.x)) if gap_s else 1
        for position, number in enumerate(numbers):
            at_s = event.at + gap_s * (position // per_round)
            yield _Fault(at_s, kind, number, event.for_s, detail)

    def add_load(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Let callers send more, repeat, or leave early."""
        share = event.share or (1.0 if event.kind == 'burst' else 0.5)
        detail = f'{event.kind}|{event.x:g}|{share:g}'
        callers = _FaultKind.CALLERS
        yield _Fault(event.at, callers, 0, event.for_s, detail)

    def crash_targets(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Let targets crash, or go silent."""
        is_over = 'gone' in event.words
        numbers = self.choose_targets(event, 0.15, is_over)
        detail = 'gone' if is_over else event.how
        yield from self._apply_to(
            numbers, event, _FaultKind.TARGET_CRASH, detail
        )

    def slow_targets(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Let targets work longer."""
        numbers = self.choose_targets(event, 0.15)
        detail = f'{event.x or 4:g}'
        yield from self._apply_to(
            numbers, event, _FaultKind.TARGET_SLOW, detail
        )

    def spoil_answers(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Let targets spoil a share of their answers."""
        habit, share, fraction = _HABITS[(event.kind, event.how)]
        if 'all' in event.words:
            share = 1.0
        numbers = self.choose_targets(event, share)
        detail = f'{habit.value}|{event.x or fraction:g}'
        yield from self._apply_to(
            numbers, event, _FaultKind.TARGET_HABIT, detail
        )

    def release(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Replace targets in turn."""
        numbers = self.choose_targets(event, 0.5)
        leaves = _FaultKind.TARGET_LEAVES
        yield from self._apply_to(numbers, event, leaves, '', event.gap_s)

    def reuse_addresses(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Let targets of another set take over addresses."""
        form = 'drain' if 'drain' in event.words else event.how
        for number in self.choose_targets(event, 0.15, is_for_good=True):
            sets = {host.target_set for host in self.site.hosts}
            sets.discard(self.site.hosts[number].target_set)
            detail = f'{form}|{self.rng.choice(sorted(sets))}'
            yield _Fault(event.at, _FaultKind.TARGET_MOVES, number, 0, detail)

    def scale_out(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Let targets join late."""
        numbers = self.choose_targets(event, 0.3, is_for_good=True)
        joins = _FaultKind.TARGET_JOINS
        gap_s = event.gap_s / max(1, len(numbers))
        yield from self._apply_to(numbers, event, joins, '', gap_s)

    def scale_in(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Let targets leave for good."""
        numbers = self.choose_targets(event, 0.15, is_for_good=True)
        yield from self._apply_to(numbers, event, _FaultKind.TARGET_GOES)

    def kill_hosts(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Kill daemons, some of which stay down."""
        is_herd = event.kind == 'herd_kill'
        share = 0.6 if is_herd else 0.1
        if is_herd and 'off' in event.words:
            share = 1.0
        is_dark = {'power', 'off'} & set(event.words)
        detail = f'{event.for_s:g}' if is_dark else ''
        numbers = self.choose_hosts(event, share)
        yield from self._apply_to(numbers, event, _FaultKind.KILL, detail)
        yield from self._accompany(event, numbers)

    def _accompany(self, event, numbers: list[int]) -> Iterator[_Fault]:
        """Send versions, or let targets leave, as hosts are back."""
        back_s = event.at + event.for_s
        if 'meet' in event.words:
            yield _Fault(event.at, _FaultKind.VERSION)
        versions = {'meet': 1, 'race': 2}
        for word in event.words:
            for _ in range(versions.get(word, 0)):
                yield _Fault(back_s, _FaultKind.VERSION)
        if 'drain' in event.words:
            for number in numbers:
                yield _Fault(back_s, _FaultKind.TARGET_LEAVES, number)

    def pause_hosts(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Stop daemons for a while."""
        numbers = self.choose_hosts(event, 0.1)
        yield from self._apply_to(numbers, event, _FaultKind.PAUSE)

    def restart_in_turn(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Terminate daemons in turn; they start again."""
        numbers = self.choose_hosts(event, 1.0)
        kind = _FaultKind.TERMINATE
        yield from self._apply_to(numbers, event, kind, event.how, event.gap_s)

    def cut_hosts(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Cut links to hosts, and their way to the store."""
        mode = 'reset' if {'reset', 'refuse'} & set(event.words) else 'silent'
        if 'one_way' in event.words:
            mode = 'one way'
        if event.kind == 'core_cut' and not event.share and not event.count:
            event = msgspec.structs.replace(event, count=1)
        numbers = self.choose_hosts(event, 0.1)
        for kind in (_FaultKind.PEER_LINK, _FaultKind.STORE_LINK):
            yield from self._apply_to(numbers, event, kind, mode)
        yield from self._accompany(event, numbers)

    def harm_links(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Delay or reset what goes to hosts."""
        is_reset = event.kind == 'reset_conns'
        mode = 'reset' if is_reset else 'delayed'
        for_s = RESET_S if is_reset else event.for_s
        for number in self.choose_hosts(event, 0.1 if is_reset else 1.0):
            kind = _FaultKind.PEER_LINK
            yield _Fault(event.at, kind, number, for_s, mode)

    def break_store(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Break the store, or the way of some hosts to it."""
        if 'nodes' in event.words:
            numbers = self.choose_hosts(event, 0.35)
            mode = 'reset' if 'reset' in event.words else 'silent'
            kind = _FaultKind.STORE_LINK
            yield from self._apply_to(numbers, event, kind, mode)
            yield from self._accompany(event, numbers)
            return
        modes = [mode for mode in ('busy', 'reset') if mode in event.words]
        mode = _Mode(modes[0] if modes else 'silent')
        if event.kind == 'platform_lost':
            is_late = 'late' in event.words
            mode = _Mode.LATE if is_late else _Mode.LOSE_ANSWERS
        kind = _FaultKind.STORE
        yield _Fault(event.at, kind, 0, event.for_s, mode.value)

    def slow_store(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Let the store answer late."""
        detail = f'{(event.x or 50) * STORE_CALL_MS:.0f}'
        kind = _FaultKind.STORE_SLOW
        yield _Fault(event.at, kind, 0, event.for_s, detail)

    def send_versions(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Send one version, or several in turn."""
        count = 1
        if event.kind == 'config_storm':
            count = event.count or round(event.for_s / event.gap_s)
        for number in range(count):
            at_s = event.at + number * event.gap_s
            yield _Fault(at_s, _FaultKind.VERSION, detail=event.how)

    def kill_after_ack(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Kill hosts right after a version was acknowledged."""
        event = msgspec.structs.replace(event, count=event.count or 1)
        numbers = self.choose_hosts(event, 0.1)
        kind = _FaultKind.KILL_AFTER_ACK
        yield from self._apply_to(numbers, event, kind)

    def reload(self, event: _sites.DayEvent) -> Iterator[_Fault]:
        """Send SIGHUP in turn."""
        numbers = self.choose_hosts(event, 0.3)
        gap_s = event.gap_s / max(1, len(numbers))
        kind = _FaultKind.RELOAD
        yield from self._apply_to(numbers, event, kind, '', gap_s)


#: Habit, share of the targets and share of their answers, by kind and words.
_HABITS = {
    ('answer_lost', ''): (_Habit.RESET, 0.5, 0.03),
    ('answer_lost', 'reset'): (_Habit.RESET, 0.5, 0.03),
    ('garble', ''): (_Habit.TRUNCATED, 0.5, 0.02),
    ('garble', 'extra'): (_Habit.EXTRA_RESPONSE_AFTER, 0.5, 0.02),
    ('garble', 'extra late'): (_Habit.EXTRA_RESPONSE_LATE, 0.5, 0.02),
    ('garble', 'unframed'): (_Habit.UNFRAMED_RESET, 0.5, 0.02),
    ('srv_grey', ''): (_Habit.FAILING, 0.15, 0.5),
    ('srv_grey', 'shed'): (_Habit.SHED, 0.15, 0.5),
    ('srv_grey', 'shed all'): (_Habit.SHED, 0.15, 0.5),
}
_MAKERS: dict[_Kind, Callable] = {
    _Kind.BURST: _Planner.add_load,
    _Kind.RETRIES: _Planner.add_load,
    _Kind.LEAVING_CALLERS: _Planner.add_load,
    _Kind.TARGET_CRASH: _Planner.crash_targets,
    _Kind.TARGET_SLOW: _Planner.slow_targets,
    _Kind.TARGET_SHEDS: _Planner.spoil_answers,
    _Kind.LOST_ANSWERS: _Planner.spoil_answers,
    _Kind.SPOILT_ANSWERS: _Planner.spoil_answers,
    _Kind.TARGET_RELEASE: _Planner.release,
    _Kind.ADDRESS_REUSE: _Planner.reuse_addresses,
    _Kind.SCALE_OUT: _Planner.scale_out,
    _Kind.SCALE_IN: _Planner.scale_in,
    _Kind.HOST_KILL: _Planner.kill_hosts,
    _Kind.MANY_KILLS: _Planner.kill_hosts,
    _Kind.HOST_PAUSE: _Planner.pause_hosts,
    _Kind.ROLLING_RESTART: _Planner.restart_in_turn,
    _Kind.KILL_AFTER_ACK: _Planner.kill_after_ack,
    _Kind.PARTITION: _Planner.cut_hosts,
    _Kind.HOST_CUT: _Planner.cut_hosts,
    _Kind.LOSSY_LINKS: _Planner.harm_links,
    _Kind.RESET_CONNECTIONS: _Planner.harm_links,
    _Kind.STORE_DOWN: _Planner.break_store,
    _Kind.STORE_LOSES_ANSWERS: _Planner.break_store,
    _Kind.STORE_SLOW: _Planner.slow_store,
    _Kind.VERSION: _Planner.send_versions,
    _Kind.VERSIONS: _Planner.send_versions,
    _Kind.RELOAD: _Planner.reload,
}
#: Words of `how` that are played, by kind; a kind that is missing is refused.
PLAYED_WORDS: dict[_Kind, frozenset[str]] = {
    **dict.fromkeys(_MAKERS, frozenset()),
    **dict.fromkeys((_Kind.ALL_KILLED, _Kind.POWER_LOSS), frozenset(('all',))),
    _Kind.TARGET_CRASH: frozenset(('dark', 'gone')),
    _Kind.TARGET_SHEDS: frozenset(('shed', 'all')),
    _Kind.LOST_ANSWERS: frozenset(('reset',)),
    _Kind.SPOILT_ANSWERS: frozenset(('extra', 'late', 'unframed')),
    _Kind.ADDRESS_REUSE: frozenset(('drain', 'dark', 'side')),
    _Kind.ROLLING_RESTART: frozenset(('busy',)),
    _Kind.HOST_KILL: frozenset(('power', 'meet', 'race', 'drain')),
    _Kind.MANY_KILLS: frozenset(('power', 'off')),
    _Kind.KILL_AFTER_ACK: frozenset(('kill',)),
    _Kind.PARTITION: frozenset(
        ('reset', 'refuse', 'one_way', 'meet', 'race', 'drain')
    ),
    _Kind.HOST_CUT: frozenset(
        ('reset', 'refuse', 'one_way', 'meet', 'race', 'drain')
    ),
    _Kind.STORE_DOWN: frozenset(
        ('silent', 'busy', 'reset', 'nodes', 'meet', 'drain')
    ),
    _Kind.STORE_LOSES_ANSWERS: frozenset(('late',)),
    _Kind.VERSION: frozenset(('route', 'timeout', 'idle')),
    _Kind.VERSIONS: frozenset(('route', 'timeout', 'idle')),
}


def make_day_plan(
    site: _sites.Site, day: _sites.SiteDay, seed: int
) -> DayPlan:
    """Make the steps of a day.

    Parameters
    ----------
    site : Site
        The site.
    day : SiteDay
        One of its days.
    seed : int
        Added to that of the day.

    Returns
    -------
    DayPlan
        Steps in the order of time, and an error for each entry or word that
        cannot be played.  An entry is played without such words.
    """
    planner = _Planner(site, random.Random(f'{day.name} {day.seed} {seed}'))
    refusals, steps = [], []
    # Targets that join or go are reserved before others are chosen.
    for event in sorted(day.events, key=_is_not_joining):
        played, problem = _restrict(event)
        if problem:
            refusals.append(_refuse(event, problem))
        if played is not None:
            steps += planner.make_steps(played)
    if day.closing is not None and _restrict(day.closing)[1]:
        refusals.append(_refuse(day.closing, _restrict(day.closing)[1]))
    steps.sort(key=lambda step: step.at_s)
    return DayPlan(tuple(steps), tuple(refusals))


def _is_not_joining(event: _sites.DayEvent) -> bool:
    return event.kind != _Kind.SCALE_OUT.value


def _restrict(
    event: _sites.DayEvent,
) -> tuple[_sites.DayEvent | None, str]:
    """Return what can be played of an entry, and what cannot."""
    kinds = {kind.value: words for kind, words in PLAYED_WORDS.items()}
    if event.kind not in kinds:
        return None, event.kind
    known = kinds[event.kind]
    refused = [word for word in event.words if word not in known]
    how = ' '.join(word for word in event.words if word in known)
    problem = f'{event.kind} without {" ".join(refused)}' if refused else ''
    return msgspec.structs.replace(event, how=how), problem


def _refuse(event: _sites.DayEvent, problem: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(
        exceptions.Code.SITE_EVENT, f'{problem}, at {event.at:g} s'
    )


def make_single_day(site: _sites.Site, kind: str) -> _sites.SiteDay:
    """Make a day with the samples of one kind.

    Raises
    ------
    SettingsError
        If the site has no sample of the kind.
    """
    samples = [event for event in site.samples if event.kind == kind]
    if not samples:
        raise exceptions.SettingsError(exceptions.Code.SITE_EVENT, kind)
    gap_s = site.length_s / 2 / len(samples)
    events = (
        msgspec.structs.replace(event, at=SINGLE_AT_S + number * gap_s)
        for number, event in enumerate(samples)
    )
    return _sites.SiteDay(kind, 0, tuple(events))


def make_mixed_day(site: _sites.Site, seed: int) -> _sites.SiteDay:
    """Make a day in which samples of several kinds are mixed."""
    rng = random.Random(f'mixed {seed}')
    events = (
        msgspec.structs.replace(event, at=rng.uniform(1.0, MIXED_S))
        for event in rng.choices(site.samples, k=MIXED_EVENTS)
    )
    day_events = sorted(events, key=lambda event: event.at)
    return _sites.SiteDay(f'mixed {seed}', 0, tuple(day_events))
