"""The target beside this daemon, as it reports itself."""

import logging

import msgspec

from sedgering import base
from sedgering.mesh import _messages

__all__ = ['LocalTarget']

LOG = logging.getLogger(__name__)

#: Sequence of the first report of a lifetime.  A later one may come from a
#: lifetime that has crashed: reports can be delayed by seconds.
FIRST_SEQUENCE = 1
#: Targets of which an ended lifetime is remembered, so that a late report
#: revives none.
REMEMBERED = 16


class LocalTarget:
    """State of the local target: what was reported last, and what ended.

    A target that has said that it is leaving stays closed: only another
    lifetime opens the gate again, which may have the same id.
    """

    def __init__(self):
        self.report: _messages.TargetReport | None = None
        #: Report of another lifetime while one is open.
        self.rival: _messages.TargetReport | None = None
        self.cold_until_s = 0.0
        #: When the present lifetime reported last, and when the one before
        #: it did: it was alive then.
        self.heard_s = 0.0
        self.earlier_heard_s = 0.0
        #: When the last lifetime of each that has ended was born; those
        #: that ended last are at the end.
        self._ended: dict[base.TargetName, int] = {}

    @property
    def is_open(self) -> bool:
        """Whether the target takes new work."""
        return (
            self.report is not None
            and self.report.state is _messages.TargetState.READY
        )

    @property
    def is_down(self) -> bool:
        """Whether the target has ended without a word."""
        return (
            self.report is not None
            and self.report.state is _messages.TargetState.DOWN
        )

    @property
    def target(self) -> base.TargetName | None:
        """Id of the present target, if one is known."""
        return self.report.target if self.report else None

    @property
    def lifetime(self) -> _messages.Lifetime | None:
        """The present lifetime, if one is known."""
        return self.report.lifetime if self.report else None

    def take_report(
        self, report: _messages.TargetReport, now_s: float
    ) -> bool:
        """Take in a report.

        Returns
        -------
        bool
            Whether anything changed that other daemons must know.
        """
        if self._has_ended(report.lifetime):
            return False
        old = self.report
        if old is not None and old.target == report.target:
            if not _is_next(old, report):
                return False
        elif self.is_open and _is_doubtful(old, report):
            self.rival = report
            return False
        elif old is not None:
            self._end(old.lifetime)
        return self._accept(report, now_s)

    def settle_rival(
        self, present: base.TargetName | None, now_s: float
    ) -> bool:
        """Decide between two lifetimes that report themselves.

        Parameters
        ----------
        present : str or None
            Which one answers at the address; None when neither does.
        now_s : float
            Time of the event loop.

        Returns
        -------
        bool
            Whether anything changed that other daemons must know.
        """
        rival, self.rival = self.rival, None
        if rival is None or self.report is None or present is None:
            return False
        if self._has_ended(rival.lifetime):
            # It has left since it reported.
            return False
        if rival.target == self.report.target:
            # It has reported again, and was taken.
            return False
        if present == rival.target:
            self._end(self.report.lifetime)
            return self._accept(rival, now_s)
        if present == self.report.target:
            _log('late report', rival)
            self._end(rival.lifetime)
        return False

    def _accept(self, report: _messages.TargetReport, now_s: float) -> bool:
        old = self.report
        if old is not None and old.lifetime.is_before(report.lifetime):
            self.earlier_heard_s = self.heard_s
        self.heard_s = now_s
        self.report = report
        self.cold_until_s = now_s + report.cold_ms / 1000
        is_changed = (
            old is None
            or old.target != report.target
            or old.lifetime.is_before(report.lifetime)
            or old.state is not report.state
            or old.slots != report.slots
            or old.version != report.version
        )
        if is_changed:
            _log('target reported', report)
        return is_changed

    def leave(self, lifetime: _messages.Lifetime) -> bool:
        """Note that a lifetime has said that it is leaving for good.

        Parameters
        ----------
        lifetime : Lifetime
            Of a target that does not tell its start: the present one.

        Returns
        -------
        bool
            Whether the present lifetime was meant, and was open.
        """
        present = self.report
        if (
            present is None
            or present.target != lifetime.target
            or lifetime.is_before(present.lifetime)
        ):
            self._end(lifetime)
            return False
        was_open = self.is_open
        self.report = msgspec.structs.replace(
            present,
            state=_messages.TargetState.GONE,
            cold_ms=0,
            born_ms=max(present.born_ms, lifetime.born_ms),
        )
        _log('target left', self.report)
        return was_open

    def note_down(self, lifetime: _messages.Lifetime) -> bool:
        """Note that a lifetime has ended without a word.

        Its next report opens it again: that nobody listened was an error.

        Returns
        -------
        bool
            Whether the present lifetime was meant, and was open.
        """
        if self.lifetime != lifetime or not self.is_open:
            return False
        self.report = msgspec.structs.replace(
            self.report, state=_messages.TargetState.DOWN, cold_ms=0
        )
        _log('target ended', self.report)
        return True

    def forget(self) -> None:
        """Close until the next report: another target answered there."""
        if self.report is not None:
            _log('target forgotten', self.report)
            self._end(self.report.lifetime)
        self.report = None

    def _end(self, lifetime: _messages.Lifetime) -> None:
        """Remember that a lifetime, and all before it, have ended."""
        born_ms = self._ended.pop(lifetime.target, lifetime.born_ms)
        self._ended[lifetime.target] = max(born_ms, lifetime.born_ms)
        if len(self._ended) > REMEMBERED:
            del self._ended[next(iter(self._ended))]

    def _has_ended(self, lifetime: _messages.Lifetime) -> bool:
        born_ms = self._ended.get(lifetime.target)
        return born_ms is not None and lifetime.born_ms <= born_ms


def _is_doubtful(
    old: _messages.TargetReport, report: _messages.TargetReport
) -> bool:
    """Whether a report of another id may not be of the target beside us.

    It is late, or of another writer: the last one told its start.
    """
    unknown = _messages.UNKNOWN_BORN_MS
    lacks_start = report.born_ms == unknown and old.born_ms != unknown
    return lacks_start or report.sequence > FIRST_SEQUENCE


def _is_next(
    old: _messages.TargetReport, report: _messages.TargetReport
) -> bool:
    """Whether a report with the same id as the last one takes its place."""
    if old.lifetime.is_before(report.lifetime):
        return True
    if report.lifetime.is_before(old.lifetime):
        _log('report of an earlier lifetime', report)
        return False
    is_down = old.state is _messages.TargetState.DOWN
    if is_down and report.born_ms == _messages.UNKNOWN_BORN_MS:
        # Most likely it has started again, and counts anew.
        return True
    may_change = is_down or old.state is _messages.TargetState.READY
    return may_change and report.sequence > old.sequence


def _log(message: str, report: _messages.TargetReport) -> None:
    LOG.info(
        message,
        extra={
            'target': report.target,
            'target_set': report.target_set,
            'detail': report.state.value,
            'sequence': report.sequence,
        },
    )
