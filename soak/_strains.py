"""Strains on a day of a site that its file does not state."""

import enum
import random
import time

import msgspec

from sedgering import testing
from soak import _bad_bytes
from soak import _callers
from soak import _daemons
from soak import _far_links
from soak import _faults
from soak import _site_callers

__all__ = [
    'ACTIONS',
    'Strain',
    'make_large_readers',
    'make_strain_plan',
    'move_far',
]

#: Mean time between targets that send bad bytes, the most that do so at once,
#: the range of the time for which they do, and shares of their answers.
MEAN_GAP_S = 4.0
MAX_TARGETS = 4
DURATION_S = (2.0, 6.0)
SHARES = (0.1, 1.0)
#: Delays of callers in milliseconds, in each direction, beside that of the
#: site; every second caller of a host is far away.
DELAYS_MS = (8.0, 40.0, 120.0)
FAR_PORT = 7701
#: Callers of each host that get large answers, and ranges of their sizes, of
#: the time in which they read them and of the pause between them.
READERS = 2
SIZE_BYTES = (100_000, 12_000_000)
READING_S = (1.0, 7.0)
READER_PAUSE_S = (0.5, 4.0)


class Strain(enum.Enum):
    """Strain on a day."""

    BAD_BYTES = 'bytes'
    LARGE_READERS = 'readers'
    DISTANCE = 'distance'


class _Reading(enum.Enum):
    """How a caller reads a large answer."""

    SLOW = 'slow'
    #: Nothing for a while, and then all of it.
    LATE = 'late'
    #: Nothing, and leaves.
    NOT = 'not'


def make_strain_plan(settings) -> tuple[_faults.Fault, ...]:
    """Make the faults of the strains, from a generator of their own."""
    if Strain.BAD_BYTES not in settings.strains:
        return ()
    rng = random.Random(f'strains {settings.seed}')
    plan = []
    at_s = rng.expovariate(1 / MEAN_GAP_S)
    while at_s < settings.seconds:
        name = rng.choice(list(_bad_bytes.KINDS))
        detail = f'{name}|{rng.choice(SHARES)}'
        for_s = rng.uniform(*DURATION_S)
        count = rng.randint(1, min(MAX_TARGETS, settings.hosts))
        for host in rng.sample(range(settings.hosts), count):
            kind = _faults.FaultKind.BAD_BYTES
            plan.append(_faults.Fault(at_s, kind, host, for_s, detail))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return tuple(plan)


async def _spoil_answers(world, fault: _faults.Fault) -> None:
    """Let a target send bad bytes in place of a share of its answers."""
    name, share = fault.detail.split('|')
    await world.targets[fault.host].send_bad_bytes(
        _bad_bytes.KINDS[name](), float(share), fault.for_s
    )


def move_far(settings, callers: list) -> list[str]:
    """Move every second caller away; return the links that this needs."""
    if Strain.DISTANCE not in settings.strains:
        return []
    rng = random.Random(f'distance {settings.seed}')
    delays_ms = (settings.site.caller_delay_ms, *DELAYS_MS)
    links = {}
    for caller in callers[1::2]:
        address = caller.host_daemon.address
        if address not in links:
            links[address] = rng.choice(delays_ms) / 1000
        caller.port, caller.delay_s = FAR_PORT, links[address]
    return [
        _far_links.encode_link(
            address, FAR_PORT, _daemons.CALLERS_PORT, delay_s
        )
        for address, delay_s in links.items()
    ]


class LargeReader(_site_callers.SiteCaller):
    """Caller that reads large answers slowly, late or not at all."""

    #: How it reads the next answer.
    _reading = _Reading.SLOW

    @property
    def pause_s(self) -> float:
        """Time to the next request."""
        return self._rng.uniform(*READER_PAUSE_S)

    def _choose_requests(self) -> list[_callers.CallRecord]:
        self._reading = self._rng.choice(list(_Reading))
        reading_s = self._rng.uniform(*READING_S)
        item = msgspec.structs.replace(
            self._rng.choice(self.classes),
            answer_bytes=self._rng.randint(*SIZE_BYTES),
        )
        is_slow = self._reading is _Reading.SLOW
        # A caller with a rate of its own makes a new connection.
        rate = item.answer_bytes / reading_s if is_slow else 0.0
        self.read_bytes_per_s = rate
        record = self._make_class_record(0, item)
        record.reading_s = reading_s
        return [record]

    def _read(self, record: _callers.CallRecord) -> bool:
        if self._reading is not _Reading.SLOW:
            record.paused_s = record.reading_s
            time.sleep(record.paused_s)
        if self._reading is _Reading.NOT:
            record.has_left = True
            return False
        return super()._read(record)


def make_large_readers(settings, daemons: list) -> list[LargeReader]:
    """Make the callers of each host that get large answers."""
    if Strain.LARGE_READERS not in settings.strains:
        return []
    classes = tuple(item for item in settings.site.classes if not item.is_once)
    return [
        LargeReader(
            name,
            daemon,
            random.Random(f'{name} {settings.seed}').randrange(1 << 30),
            classes,
            1.0,
        )
        for daemon in daemons
        for name in (f'{daemon.name}-reader-{n}' for n in range(READERS))
    ]


ACTIONS = {testing.FaultKind.BAD_BYTES: _spoil_answers}
