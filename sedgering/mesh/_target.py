"""The target beside this daemon, as it reports itself."""

import collections
import logging

from sedgering import base
from sedgering.mesh import _messages

__all__ = ['LocalTarget']

LOG = logging.getLogger(__name__)

#: Sequence of the first report of a lifetime.  A later one may come from a
#: lifetime that has crashed: reports can be delayed by seconds.
FIRST_SEQUENCE = 1
#: Lifetimes remembered as ended, so that a late report revives none.
REMEMBERED = 16


class LocalTarget:
    """State of the local target: what was reported last, and what ended.

    A target that has said that it is leaving stays closed: only another
    lifetime opens the gate again.
    """

    def __init__(self):
        self.report: _messages.TargetReport | None = None
        #: Report of another lifetime while one is open.
        self.rival: _messages.TargetReport | None = None
        self.cold_until_s = 0.0
        self._ended: collections.deque[base.TargetName] = collections.deque(
            maxlen=REMEMBERED
        )

    @property
    def is_open(self) -> bool:
        """Whether the target takes new work."""
        return (
            self.report is not None
            and self.report.state is _messages.TargetState.READY
        )

    @property
    def target(self) -> base.TargetName | None:
        """Id of the present lifetime, if one is known."""
        return self.report.target if self.report else None

    def take_report(
        self, report: _messages.TargetReport, now_s: float
    ) -> bool:
        """Take in a report.

        Returns
        -------
        bool
            Whether anything changed that other daemons must know.
        """
        if report.target in self._ended:
            return False
        old = self.report
        if old is not None and old.target == report.target:
            if report.sequence <= old.sequence:
                return False
            if old.state is not _messages.TargetState.READY:
                return False
        elif self.is_open and report.sequence > FIRST_SEQUENCE:
            self.rival = report
            return False
        elif old is not None:
            self._ended.append(old.target)
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
        if rival.target in self._ended:
            # It has left since it reported.
            return False
        if present == rival.target:
            self._ended.append(self.report.target)
            return self._accept(rival, now_s)
        if present == self.report.target:
            _log('late report', rival)
            self._ended.append(rival.target)
        return False

    def _accept(self, report: _messages.TargetReport, now_s: float) -> bool:
        old = self.report
        self.report = report
        self.cold_until_s = now_s + report.cold_ms / 1000
        is_changed = (
            old is None
            or old.target != report.target
            or old.state is not report.state
            or old.slots != report.slots
        )
        if is_changed:
            _log('target reported', report)
        return is_changed

    def leave(self, target: base.TargetName) -> bool:
        """Note that a lifetime has said that it is leaving for good.

        Returns
        -------
        bool
            Whether the present lifetime was meant, and was open.
        """
        if self.report is None or self.report.target != target:
            if target not in self._ended:
                self._ended.append(target)
            return False
        was_open = self.is_open
        self.report = _messages.TargetReport(
            target=target,
            target_set=self.report.target_set,
            slots=self.report.slots,
            state=_messages.TargetState.GONE,
            cold_ms=0,
            sequence=self.report.sequence,
        )
        _log('target left', self.report)
        return was_open

    def forget(self) -> None:
        """Close until the next report: another target answered there."""
        if self.report is not None:
            _log('target forgotten', self.report)
            self._ended.append(self.report.target)
        self.report = None


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
