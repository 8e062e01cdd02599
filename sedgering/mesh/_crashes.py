"""Requests during which targets crashed, as known to all daemons.

A request that crashes each target that starts it is retried at any host.  When
a target crashes, its daemon reports which requests were running.  These are
suspects, and each runs at one host only; after two more crashes there it is
quarantined and not started any more.  A harmless request is answered sooner or
later, which clears it.

Crashes before a request was a suspect count as one: targets that crash
together for another cause have the same popular request running.

With six targets and the request sent 20 times a second, 3 targets crash in
3 s, compared to 38 to 47 without this protection.
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

__all__ = ['CrashStatus', 'CrashTable']

LOG = logging.getLogger(__name__)

#: First quarantine of a request.  What makes it harmless is most often a
#: release of its targets, which takes minutes, while a trial may cost a target
#: for some seconds, with all calls that it runs.
FIRST_QUARANTINE_S = 120.0
#: Factor by which it grows after each trial with a crash: 2, 20, 200 minutes.
QUARANTINE_FACTOR = 10.0
MAX_QUARANTINE_S = 24 * 3600.0
#: Share of a quarantine after which a crash counts as that of a trial; earlier
#: ones are of calls that were running when the quarantine began.
MIN_TRIAL_SHARE = 0.5
#: Time for which a crash counts against a request that is not quarantined.
RETENTION_S = 3600.0
#: Maximum number of requests, some 900 bytes each.  A crash names a dozen.
ENTRIES_LIMIT = 512
#: Maximum number of crashes of one request, including cleared ones.  They are
#: sent with its calls, some 35 bytes each; the latest are kept.
CRASHES_LIMIT = 64
#: Stands for `was_trial` of an unknown crash; less than both its values.
UNKNOWN_CRASH = -1


class CrashStatus(enum.Enum):
    """Whether a request may run."""

    #: No crash is known, or a target has answered the request since.
    SOUND = 'sound'
    #: Targets have crashed during the request: it may run at one host only.
    SUSPECT = 'suspect'
    #: The request is not started.
    QUARANTINED = 'quarantined'


class _Entry(msgspec.Struct):
    """Crashes and quarantine of one request.

    Parameters
    ----------
    crashes : dict of CrashId to bool
        Crashes during the request, the latest last, and whether it ran as a
        suspect.
    cleared : dict of CrashId
        Crashes that count no more, because a target answered the request.
    last_crash_s : float
        Time at which a crash was last added, in seconds of event loop time.
    quarantined_s, quarantine_s : float
        Start of the quarantine in event loop time, and its duration.
    """

    crashes: dict[_crash_records.CrashId, bool]
    cleared: dict[_crash_records.CrashId, None]
    last_crash_s: float
    quarantined_s: float = 0.0
    quarantine_s: float = 0.0

    @property
    def crash_count(self) -> int:
        """Crashes that count; those outside trials together count as one."""
        trials = [
            was_trial
            for crash, was_trial in self.crashes.items()
            if crash not in self.cleared
        ]
        return sum(trials) + (not all(trials))

    @property
    def retry_s(self) -> float:
        """Time at which the request may be tried again."""
        return self.quarantined_s + self.quarantine_s


class CrashTable:
    """Table of requests during which targets crashed.

    Daemons report crashes to each other in any order and more than once;
    each crash has an id, so that it counts once.

    Parameters
    ----------
    caller_fields : iterable of str
        Header fields, in lower case, that identify the caller.
    limit : int
        Crashes after which a request is quarantined; 0 for never.
    now_s : callable
        Returns the event loop time in seconds.
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
        #: First parts of the fingerprints, which exclude most requests.
        self._head_hashes: set[str] = set()

    def __len__(self) -> int:
        """Return the number of requests in the table."""
        return len(self._entries)

    @property
    def quarantined(self) -> int:
        """Number of quarantined requests."""
        return sum(
            entry.crash_count >= self.limit for entry in self._entries.values()
        )

    def make_fingerprint(self, request: transport.Request) -> base.Fingerprint:
        """Return the fingerprint of a request."""
        return _fingerprint.make_fingerprint(request, self.caller_fields)

    def find(self, request: transport.Request) -> base.Fingerprint | None:
        """Return the fingerprint of a request if it is in the table.

        Takes 0.04 us while the table is empty, otherwise 0.4 us for a request
        of another URL.
        """
        if not self._entries:
            return None
        if _fingerprint.hash_head(request) not in self._head_hashes:
            return None
        fingerprint = self.make_fingerprint(request)
        return fingerprint if fingerprint in self._entries else None

    def find_status(self, fingerprint: base.Fingerprint) -> CrashStatus:
        """Return whether a request may run."""
        entry = self._entries.get(fingerprint)
        if entry is None or not entry.crash_count:
            return CrashStatus.SOUND
        if entry.crash_count < self.limit or self.now_s() >= entry.retry_s:
            return CrashStatus.SUSPECT
        return CrashStatus.QUARANTINED

    def count_crashes(self, fingerprint: base.Fingerprint) -> int:
        """Return the number of crashes that count against a request."""
        entry = self._entries.get(fingerprint)
        return entry.crash_count if entry else 0

    def list_crashes(
        self, fingerprint: base.Fingerprint
    ) -> tuple[_crash_records.CrashEvidence, ...]:
        """Return the crashes that count against a request."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return ()
        return tuple(
            _crash_records.CrashEvidence(crash, was_trial)
            for crash, was_trial in entry.crashes.items()
            if crash not in entry.cleared
        )

    def list_cleared(
        self, fingerprint: base.Fingerprint
    ) -> tuple[_crash_records.CrashId, ...]:
        """Return the crashes that no longer count against a request."""
        entry = self._entries.get(fingerprint)
        return tuple(entry.cleared) if entry else ()

    def find_wait_s(self, fingerprint: base.Fingerprint) -> float:
        """Return the time until a quarantined request may be tried."""
        entry = self._entries.get(fingerprint)
        return max(0.0, entry.retry_s - self.now_s()) if entry else 0.0

    def add_row(self, row: _messages.MemberRow) -> None:
        """Add the recent crashes that a member row reports.

        Old records are skipped: a row may not have been written for a month.
        """
        now_ms = clock.wall_ms()
        for record in row.crashes:
            if abs(now_ms - record.ended_ms) <= RETENTION_S * 1000:
                self.add_record(record)

    def add_record(self, record: _crash_records.CrashRecord) -> None:
        """Add the crash of a target."""
        for fingerprint in record.suspects:
            was_trial = fingerprint in record.trials
            evidence = _crash_records.CrashEvidence(record.crash, was_trial)
            self.add_crashes(fingerprint, (evidence,))

    def add_crashes(
        self,
        fingerprint: base.Fingerprint,
        crashes: Iterable[_crash_records.CrashEvidence],
    ) -> None:
        """Add crashes of targets that were running a request."""
        if not self.limit:
            return
        entry = self._entries.get(fingerprint)
        known = entry.crashes if entry else {}
        new = {
            item.crash: item.was_trial
            for item in crashes
            if item.was_trial > known.get(item.crash, UNKNOWN_CRASH)
        }
        if not new:
            return
        now_s = self.now_s()
        if entry is None:
            self._evict_entries(now_s)
            entry = self._entries[fingerprint] = _Entry({}, {}, now_s)
            self._head_hashes.add(_read_head_hash(fingerprint))
        entry.crashes.update(new)
        _trim_oldest(entry.crashes)
        entry.last_crash_s = now_s
        if entry.crash_count >= self.limit:
            self._quarantine(fingerprint, entry, now_s)

    def clear(
        self,
        fingerprint: base.Fingerprint,
        crashes: Iterable[_crash_records.CrashId] | None = None,
    ) -> None:
        """Clear crashes of a request after a target has answered it.

        Parameters
        ----------
        fingerprint : Fingerprint
            Fingerprint of the request.
        crashes : iterable of CrashId or None
            Crashes known where it was answered; those known here if omitted.
        """
        entry = self._entries.get(fingerprint)
        if entry is None:
            return
        was_quarantined = entry.crash_count >= self.limit
        answered = entry.crashes if crashes is None else crashes
        entry.cleared.update(dict.fromkeys(answered))
        _trim_oldest(entry.cleared)
        if not was_quarantined or entry.crash_count >= self.limit:
            return
        entry.quarantined_s = entry.quarantine_s = 0.0
        LOG.info('request cleared', extra={'fingerprint': fingerprint})

    def _quarantine(
        self, fingerprint: base.Fingerprint, entry: _Entry, now_s: float
    ) -> None:
        """Quarantine a request, for longer after each failed trial."""
        if not entry.quarantine_s:
            entry.quarantine_s = FIRST_QUARANTINE_S
        elif (
            now_s - entry.quarantined_s < MIN_TRIAL_SHARE * entry.quarantine_s
        ):
            return
        else:
            entry.quarantine_s = min(
                MAX_QUARANTINE_S, QUARANTINE_FACTOR * entry.quarantine_s
            )
        entry.quarantined_s = now_s
        LOG.warning(
            'request quarantined',
            extra={
                'fingerprint': fingerprint,
                'crashes': list(entry.crashes),
                'wait_ms': int(entry.quarantine_s * 1000),
            },
        )

    def _evict_entries(self, now_s: float) -> None:
        """Evict expired entries, or one if the table is full."""
        expired = [
            fingerprint
            for fingerprint, entry in self._entries.items()
            if now_s - max(entry.last_crash_s, entry.retry_s) > RETENTION_S
        ]
        if not expired and len(self._entries) >= ENTRIES_LIMIT:
            # Quarantined requests are evicted last.
            expired = [
                min(
                    self._entries,
                    key=lambda item: (
                        self._entries[item].quarantine_s,
                        self._entries[item].last_crash_s,
                    ),
                )
            ]
        for fingerprint in expired:
            del self._entries[fingerprint]
        if expired:
            self._head_hashes = set(map(_read_head_hash, self._entries))


def _trim_oldest(recent: dict[_crash_records.CrashId, Any]) -> None:
    for crash in list(recent)[:-CRASHES_LIMIT]:
        del recent[crash]


def _read_head_hash(fingerprint: base.Fingerprint) -> str:
    return fingerprint.partition(_fingerprint.SEPARATOR)[0]
