"""State of the local target, as it reports itself."""

import logging

import msgspec

from sedgering import base
from sedgering.mesh import _messages

__all__ = ['LocalTarget']

LOG = logging.getLogger(__name__)

#: Sequence of the first report of a lifetime.  A report with a higher one may
#: come from a lifetime that has crashed: reports can be delayed by seconds.
FIRST_SEQUENCE = 1
#: Number of targets whose last ended lifetime is remembered, so that a
#: delayed report does not reopen it.
MAX_ENDED_TARGETS = 16


class LocalTarget:
    """The last report of the local target, and the lifetimes that ended.

    A target that has deregistered stays closed: only another lifetime, which
    may have the same id, opens the gate again.
    """

    def __init__(self):
        self.report: _messages.TargetReport | None = None
        #: Report of another lifetime that arrived while one is open.
        self.conflicting_report: _messages.TargetReport | None = None
        self.cold_until_s = 0.0
        #: Times of the last reports of the current lifetime and of the one
        #: before it, which prove that it was alive.
        self.reported_s = 0.0
        self.previous_reported_s = 0.0
        #: Start time of the last ended lifetime of each target, ordered by
        #: when it ended.
        self._ended: dict[base.TargetName, int] = {}

    @property
    def is_open(self) -> bool:
        """Whether the target accepts new calls."""
        return (
            self.report is not None
            and self.report.state is _messages.TargetState.READY
        )

    @property
    def is_down(self) -> bool:
        """Whether the target has crashed."""
        return (
            self.report is not None
            and self.report.state is _messages.TargetState.DOWN
        )

    @property
    def target(self) -> base.TargetName | None:
        """Id of the current target, if one is known."""
        return self.report.target if self.report else None

    @property
    def lifetime(self) -> _messages.Lifetime | None:
        """The current lifetime, if one is known."""
        return self.report.lifetime if self.report else None

    def has_ended(self, lifetime: _messages.Lifetime) -> bool:
        """Whether a lifetime is known to have ended or left."""
        born_ms = self._ended.get(lifetime.target)
        return born_ms is not None and lifetime.born_ms <= born_ms

    def is_superseded(self, lifetime: _messages.Lifetime) -> bool:
        """Whether a later lifetime is known to have taken its place."""
        current = self.lifetime
        conflicting = self.conflicting_report
        if current is None:
            return False
        if lifetime.target == current.target:
            return lifetime.is_before(current)
        is_open = conflicting is not None and conflicting.lifetime.is_same(
            lifetime
        )
        return self.has_ended(lifetime) and not is_open

    def take_report(
        self, report: _messages.TargetReport, now_s: float
    ) -> bool:
        """Process a report.

        Returns
        -------
        bool
            Whether anything changed that peers must be told.
        """
        if self.has_ended(report.lifetime):
            return False
        old = self.report
        if old is not None and old.target == report.target:
            if not _replaces(old, report):
                # A target that is leaving may tell its start only now.
                is_final = old.state.is_final and report.state.is_final
                return is_final and self.leave(report.lifetime, report.state)
        elif self.is_open and _may_be_delayed(old, report):
            self.conflicting_report = report
            return False
        elif old is not None:
            self._record_end(old.lifetime)
        return self._accept(report, now_s)

    def resolve_conflict(
        self, current: base.TargetName | None, now_s: float
    ) -> bool:
        """Decide between two lifetimes that both report themselves.

        Parameters
        ----------
        current : str or None
            Target that answers at the address; None when neither does.
        now_s : float
            Event loop time in seconds.

        Returns
        -------
        bool
            Whether anything changed that peers must be told.
        """
        conflicting, self.conflicting_report = self.conflicting_report, None
        if conflicting is None or self.report is None or current is None:
            return False
        if self.has_ended(conflicting.lifetime):
            is_final = conflicting.state.is_final
            if not is_final or current != conflicting.target:
                # It has left since it reported.
                return False
        if conflicting.target == self.report.target:
            # A later report of it was accepted meanwhile.
            return False
        if current == conflicting.target:
            self._record_end(self.report.lifetime)
            return self._accept(conflicting, now_s)
        if current == self.report.target:
            _log('delayed report ignored', conflicting)
            self._record_end(conflicting.lifetime)
        return False

    def _accept(self, report: _messages.TargetReport, now_s: float) -> bool:
        old = self.report
        if old is not None and old.lifetime.is_before(report.lifetime):
            self.previous_reported_s = self.reported_s
        self.reported_s = now_s
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

    def leave(
        self,
        lifetime: _messages.Lifetime,
        state: _messages.TargetState = _messages.TargetState.GONE,
    ) -> bool:
        """Record that a lifetime has left or is leaving.

        Parameters
        ----------
        lifetime : Lifetime
            Lifetime that leaves; the current one if the target does not report
            its start time.
        state : TargetState
            Its final state.

        Returns
        -------
        bool
            Whether anything changed that peers must be told.
        """
        current = self.report
        if (
            current is None
            or current.target != lifetime.target
            or lifetime.is_before(current.lifetime)
        ):
            self._record_end(lifetime)
            self._close_conflict(lifetime, state)
            return False
        if current.state.is_final and state is _messages.TargetState.DRAINING:
            state = current.state
        self.report = _make_final(current, lifetime, state)
        if self.report == current:
            return False
        _log('target has left', self.report)
        return (
            not current.state.is_final
            or self.report.born_ms != current.born_ms
        )

    def _close_conflict(
        self, lifetime: _messages.Lifetime, state: _messages.TargetState
    ) -> None:
        """Record that the target of the conflicting report is leaving."""
        conflicting = self.conflicting_report
        if conflicting is not None and conflicting.lifetime.is_same(lifetime):
            self.conflicting_report = _make_final(conflicting, lifetime, state)

    def mark_crashed(self, lifetime: _messages.Lifetime) -> bool:
        """Record that a lifetime has crashed.

        Its next report opens it again, since the detection was then wrong.

        Returns
        -------
        bool
            Whether it was the current lifetime and was open.
        """
        if self.lifetime != lifetime or not self.is_open:
            return False
        self.report = msgspec.structs.replace(
            self.report, state=_messages.TargetState.DOWN, cold_ms=0
        )
        _log('target ended', self.report)
        return True

    def mark_leaving(self, lifetime: _messages.Lifetime) -> bool:
        """Record that a lifetime has stated in an answer that it is leaving.

        No later report of it opens it again.

        Returns
        -------
        bool
            Whether it was the current lifetime and was open.
        """
        current = self.lifetime
        if current is None or not current.is_same(lifetime):
            return False
        if not self.is_open:
            return False
        self.report = msgspec.structs.replace(
            self.report, state=_messages.TargetState.DRAINING, cold_ms=0
        )
        _log('target is leaving', self.report)
        return True

    def discard(self) -> None:
        """Discard the target, because another one answered at its address.

        The gate then stays closed until the next report.
        """
        if self.report is not None:
            _log('target discarded', self.report)
            self._record_end(self.report.lifetime)
        self.report = None

    def _record_end(self, lifetime: _messages.Lifetime) -> None:
        """Record that a lifetime and all earlier ones have ended."""
        born_ms = self._ended.pop(lifetime.target, lifetime.born_ms)
        self._ended[lifetime.target] = max(born_ms, lifetime.born_ms)
        if len(self._ended) > MAX_ENDED_TARGETS:
            del self._ended[next(iter(self._ended))]


def _make_final(
    report: _messages.TargetReport,
    lifetime: _messages.Lifetime,
    state: _messages.TargetState,
) -> _messages.TargetReport:
    """Return the last report of a lifetime that leaves."""
    return msgspec.structs.replace(
        report,
        state=state,
        cold_ms=0,
        born_ms=max(report.born_ms, lifetime.born_ms),
    )


def _may_be_delayed(
    old: _messages.TargetReport, report: _messages.TargetReport
) -> bool:
    """Whether a report with another id may not be from the local target.

    It is not the first of its lifetime and may be delayed, or it lacks the
    start time that the last report had, so that its sender may be another one.
    """
    unknown = _messages.UNKNOWN_BORN_MS
    lacks_start = report.born_ms == unknown and old.born_ms != unknown
    return lacks_start or report.sequence > FIRST_SEQUENCE


def _replaces(
    old: _messages.TargetReport, report: _messages.TargetReport
) -> bool:
    """Whether a report with the same id as the last one replaces it."""
    if old.lifetime.is_before(report.lifetime):
        return True
    if report.lifetime.is_before(old.lifetime):
        _log('report of an earlier lifetime ignored', report)
        return False
    is_down = old.state is _messages.TargetState.DOWN
    if is_down and report.born_ms == _messages.UNKNOWN_BORN_MS:
        # Most likely it has restarted, and its sequence with it.
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
