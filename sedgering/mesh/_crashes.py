"""Requests under which targets ended, as all daemons know of them.

A request that ends each target that begins it comes again, at any host.  When
a target ends, the daemon beside it says which requests were under way.  These
are suspects, and run at one place only; one under which two more targets end
there is not begun any more.  A request that does no harm is answered sooner or
later, and is cleared by it.

Ends before a request was a suspect count as one: targets that end together for
a cause of their own have the same popular request under way.

With six targets and the request asked 20 times a second, 3 targets end where
38 to 47 did, in 3 s (features/crashes.feature, before and after).
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import logging
from typing import Any

import msgspec

from sedgering import base
from sedgering import clock
from sedgering.mesh import _crash_records
from sedgering.mesh import _fingerprint
from sedgering.mesh import _messages
from sedgering import transport

__all__ = ['CrashTable', 'Standing']

LOG = logging.getLogger(__name__)

#: For how long a request is held back at first: what makes it harmless is
#: most often a release of its targets, which takes minutes, and a trial may
#: cost a target for some seconds, with all that it has under way.
FIRST_HOLD_S = 120.0
#: How much longer after each trial that ends a target: 2, 20, 200 minutes.
HOLD_FACTOR = 10.0
LONGEST_HOLD_S = 24 * 3600.0
#: Share of a hold after which an end counts as that of a trial; the others
#: are of what was under way when the request was first held back.
TRIAL_SHARE = 0.5
#: For how long an end is held against a request that is not held back.
KEEP_S = 3600.0
#: Requests remembered, some 900 bytes each.  An end names a dozen.
ENTRIES_LIMIT = 512
#: Ends remembered of one request, forgiven ones too, the last ones: they go
#: with its calls, some 35 bytes each.
ENDS_LIMIT = 64
#: Less than both values of an end that is known.
NOT_KNOWN = -1


class Standing(enum.Enum):
    """What is known of a request."""

    #: Nothing, or that a target has answered it since.
    SOUND = 'sound'
    #: Targets have ended under it: it may run at one place only.
    SUSPECT = 'suspect'
    #: It is not begun.
    QUARANTINED = 'quarantined'


class _Entry(msgspec.Struct):
    """What is known of one request.

    Parameters
    ----------
    crashes : dict of CrashId to bool
        Ends while it was under way, the last one at the end, and whether it
        ran there as a suspect.
    forgiven : dict of CrashId
        Those that came before a target answered it.
    blamed_s : float
        When it was blamed last, as time of the event loop.
    held_s, hold_s : float
        Since when it is held back, and for how long.
    """

    crashes: dict[_crash_records.CrashId, bool]
    forgiven: dict[_crash_records.CrashId, None]
    blamed_s: float
    held_s: float = 0.0
    hold_s: float = 0.0

    @property
    def count(self) -> int:
        """Ends that speak against it, the first ones together as one."""
        trials = [
            was_trial
            for crash, was_trial in self.crashes.items()
            if crash not in self.forgiven
        ]
        return sum(trials) + (not all(trials))

    @property
    def due_s(self) -> float:
        """When it may be tried once more."""
        return self.held_s + self.hold_s


class CrashTable:
    """What is known of requests under which targets ended.

    Daemons tell each other of ends, in any order and more than once; each
    end has an id, so that it counts once.

    Parameters
    ----------
    caller_fields : iterable of str
        Header fields, in lower case, that say who asks.
    limit : int
        Ends after which a request is held back; 0 for never.
    now_s : callable
        Time of the event loop.
    """

    def __init__(
        self,
        caller_fields: Iterable[str],
        limit: int,
        now_s: Callable[[], float],
    ):
        self.caller_fields = tuple(caller_fields)
        self.limit = limit
        self.now_s = now_s
        self._entries: dict[base.Fingerprint, _Entry] = {}
        #: Starts of the fingerprints, which rule most requests out.
        self._heads: set[str] = set()

    def __len__(self) -> int:
        """Return the number of requests that are known."""
        return len(self._entries)

    @property
    def quarantined(self) -> int:
        """Requests that are held back."""
        return sum(
            entry.count >= self.limit for entry in self._entries.values()
        )

    def make_fingerprint(self, request: transport.Request) -> base.Fingerprint:
        """Return what tells a request from others."""
        return _fingerprint.make_fingerprint(request, self.caller_fields)

    def find(self, request: transport.Request) -> base.Fingerprint | None:
        """Return the fingerprint of a request if anything is known of it.

        Takes 0.04 us while no target has ended, then 0.4 us for a request of
        another URL (bench_crashes.py).
        """
        if not self._entries:
            return None
        if _fingerprint.hash_head(request) not in self._heads:
            return None
        fingerprint = self.make_fingerprint(request)
        return fingerprint if fingerprint in self._entries else None

    def judge(self, fingerprint: base.Fingerprint) -> Standing:
        """Return what is known of a request."""
        entry = self._entries.get(fingerprint)
        if entry is None or not entry.count:
            return Standing.SOUND
        if entry.count < self.limit or self.now_s() >= entry.due_s:
            return Standing.SUSPECT
        return Standing.QUARANTINED

    def count_crashes(self, fingerprint: base.Fingerprint) -> int:
        """Return how many ends speak against a request."""
        entry = self._entries.get(fingerprint)
        return entry.count if entry else 0

    def list_crashes(
        self, fingerprint: base.Fingerprint
    ) -> tuple[_crash_records.CrashEvidence, ...]:
        """Return the ends that speak against a request."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return ()
        return tuple(
            _crash_records.CrashEvidence(crash, was_trial)
            for crash, was_trial in entry.crashes.items()
            if crash not in entry.forgiven
        )

    def list_forgiven(
        self, fingerprint: base.Fingerprint
    ) -> tuple[_crash_records.CrashId, ...]:
        """Return the ends that speak no more against a request."""
        entry = self._entries.get(fingerprint)
        return tuple(entry.forgiven) if entry else ()

    def find_wait_s(self, fingerprint: base.Fingerprint) -> float:
        """Return the time until a request that is held back may be tried."""
        entry = self._entries.get(fingerprint)
        return max(0.0, entry.due_s - self.now_s()) if entry else 0.0

    def take_row(self, row: _messages.MemberRow) -> None:
        """Take in the ends that a row tells of.

        A row that nobody has written since may be of last month.
        """
        now_ms = clock.wall_ms()
        for record in row.crashes:
            if abs(now_ms - record.ended_ms) <= KEEP_S * 1000:
                self.take_record(record)

    def take_record(self, record: _crash_records.CrashRecord) -> None:
        """Take in that a target has ended."""
        for fingerprint in record.suspects:
            was_trial = fingerprint in record.trials
            evidence = _crash_records.CrashEvidence(record.crash, was_trial)
            self.blame(fingerprint, (evidence,))

    def blame(
        self,
        fingerprint: base.Fingerprint,
        crashes: Iterable[_crash_records.CrashEvidence],
    ) -> None:
        """Take in ends of targets while a request was under way."""
        if not self.limit:
            return
        entry = self._entries.get(fingerprint)
        known = entry.crashes if entry else {}
        new = {
            item.crash: item.was_trial
            for item in crashes
            if item.was_trial > known.get(item.crash, NOT_KNOWN)
        }
        if not new:
            return
        now_s = self.now_s()
        if entry is None:
            self._forget_some(now_s)
            entry = self._entries[fingerprint] = _Entry({}, {}, now_s)
            self._heads.add(_read_head(fingerprint))
        entry.crashes.update(new)
        _keep_last(entry.crashes)
        entry.blamed_s = now_s
        if entry.count >= self.limit:
            self._hold(fingerprint, entry, now_s)

    def forgive(
        self,
        fingerprint: base.Fingerprint,
        crashes: Iterable[_crash_records.CrashId] | None = None,
    ) -> None:
        """Take in that a target has answered a request.

        Parameters
        ----------
        fingerprint : Fingerprint
            Of the request.
        crashes : iterable of CrashId or None
            Ends known where it was answered; those that are known here where
            it is left out.
        """
        entry = self._entries.get(fingerprint)
        if entry is None:
            return
        was_held = entry.count >= self.limit
        told = entry.crashes if crashes is None else crashes
        entry.forgiven.update(dict.fromkeys(told))
        _keep_last(entry.forgiven)
        if not was_held or entry.count >= self.limit:
            return
        entry.held_s = entry.hold_s = 0.0
        LOG.info('request cleared', extra={'fingerprint': fingerprint})

    def _hold(
        self, fingerprint: base.Fingerprint, entry: _Entry, now_s: float
    ) -> None:
        """Hold a request back, longer after each trial."""
        if not entry.hold_s:
            entry.hold_s = FIRST_HOLD_S
        elif now_s - entry.held_s < TRIAL_SHARE * entry.hold_s:
            return
        else:
            entry.hold_s = min(LONGEST_HOLD_S, HOLD_FACTOR * entry.hold_s)
        entry.held_s = now_s
        LOG.warning(
            'request quarantined',
            extra={
                'fingerprint': fingerprint,
                'crashes': list(entry.crashes),
                'wait_ms': int(entry.hold_s * 1000),
            },
        )

    def _forget_some(self, now_s: float) -> None:
        """Make room for one more entry; forget what is long ago."""
        old = [
            fingerprint
            for fingerprint, entry in self._entries.items()
            if now_s - max(entry.blamed_s, entry.due_s) > KEEP_S
        ]
        if not old and len(self._entries) >= ENTRIES_LIMIT:
            # A request that is held back goes last.
            old = [
                min(
                    self._entries,
                    key=lambda item: (
                        self._entries[item].hold_s,
                        self._entries[item].blamed_s,
                    ),
                )
            ]
        for fingerprint in old:
            del self._entries[fingerprint]
        if old:
            self._heads = set(map(_read_head, self._entries))


def _keep_last(ends: dict[_crash_records.CrashId, Any]) -> None:
    for crash in list(ends)[:-ENDS_LIMIT]:
        del ends[crash]


def _read_head(fingerprint: base.Fingerprint) -> str:
    return fingerprint.partition(_fingerprint.SEPARATOR)[0]
