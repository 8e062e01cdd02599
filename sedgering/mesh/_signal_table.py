"""What the targets that this daemon calls state about themselves."""

import logging

import msgspec

from sedgering import base
from sedgering.mesh import _messages
from sedgering.mesh import _signals
from sedgering import overload

__all__ = ['SignalTable']

LOG = logging.getLogger(__name__)

#: Largest number of targets with signals that are remembered.
MAX_TARGETS = 2048


class _Entry(msgspec.Struct):
    """Signals of one lifetime of a target."""

    lifetime: _messages.Lifetime
    limit: overload.StatedLimit
    #: Holds until the end of the lifetime.
    is_leaving: bool = False


class SignalTable:
    """Signals in the answers that this daemon received from targets.

    They are kept by lifetime, independent of the member table: a target goes
    on while the daemon beside it restarts and its row comes and goes.  Targets
    without signals take no memory.
    """

    def __init__(self):
        #: In the order in which the targets began to state something.
        self._entries: dict[base.TargetName, _Entry] = {}

    def __len__(self) -> int:
        """Return the number of targets with signals."""
        return len(self._entries)

    def note(
        self,
        lifetime: _messages.Lifetime,
        signals: _signals.TargetSignals,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Note the signals in an answer.

        Parameters
        ----------
        lifetime : Lifetime
            Lifetime that the request was sent to.
        signals : TargetSignals
            Decoded signals.
        sent_s, now_s : float
            When the request was sent, and when its answer arrived.
        """
        entry = self._find(lifetime)
        if entry is None and signals == _signals.NO_SIGNALS:
            return
        if entry is None:
            entry = self._add(lifetime)
        if signals.is_leaving and not entry.is_leaving:
            entry.is_leaving = True
            LOG.info('target is leaving', extra={'target': lifetime.target})
        if not signals.is_limit_malformed:
            entry.limit.note(signals.rate_limit_per_s, sent_s, now_s)
        if entry.limit.per_s is None and not entry.is_leaving:
            del self._entries[lifetime.target]

    def is_leaving(self, row: _messages.MemberRow) -> bool:
        """Whether the target of a row has stated that it is leaving."""
        if row.target not in self._entries:
            return False
        entry = self._find(row.lifetime)
        return entry is not None and entry.is_leaving

    def find_rate_limit(self, row: _messages.MemberRow) -> float | None:
        """Return the rate limit that the target of a row has stated."""
        if row.target not in self._entries:
            return None
        entry = self._find(row.lifetime)
        return entry.limit.per_s if entry is not None else None

    def _find(self, lifetime: _messages.Lifetime) -> _Entry | None:
        entry = self._entries.get(lifetime.target)
        if entry is None or not entry.lifetime.is_same(lifetime):
            return None
        return entry

    def _add(self, lifetime: _messages.Lifetime) -> _Entry:
        entry = _Entry(lifetime, overload.StatedLimit())
        self._entries.pop(lifetime.target, None)
        self._entries[lifetime.target] = entry
        if len(self._entries) > MAX_TARGETS:
            self._drop_one()
        return entry

    def _drop_one(self) -> None:
        """Drop the oldest target that stays, or else the oldest one."""
        oldest = next(iter(self._entries))
        staying = (
            target
            for target, entry in self._entries.items()
            if not entry.is_leaving
        )
        del self._entries[next(staying, oldest)]
