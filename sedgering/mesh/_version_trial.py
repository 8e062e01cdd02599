"""What the daemon beside a target learns of the version of its software."""

from sedgering import base
from sedgering.mesh import _gate
from sedgering import rollout

__all__ = ['VersionTrial']

_Stage = rollout.Stage


class VersionTrial:
    """Counts what the local target shows while its set is rolled out.

    Attributes
    ----------
    is_on : bool
        Whether calls are counted.
    is_stopped : bool
        Whether the target has failed so many calls that it gets none any
        more, whatever the row says: the verdict takes a second to get round,
        longer with the store away.
    """

    def __init__(self):
        self.is_on = False
        self.is_stopped = False
        self._was_stopped = False
        self._is_new = False
        self._evidence = rollout.Evidence(rollout.UNKNOWN_VERSION, 0)

    def follow(
        self, row: rollout.Rollout | None, version: base.SoftwareVersion
    ) -> None:
        """Take in how far the rollout of the set has come.

        Parameters
        ----------
        row : Rollout or None
            Of the set.
        version : str
            Of the local target.
        """
        self.is_on = row is not None and not row.stage.is_final
        if not self.is_on:
            self.is_stopped = False
            return
        evidence = self._evidence
        is_same = evidence.order_revision == row.order_revision
        if not is_same or evidence.version != version:
            self._evidence = rollout.Evidence(version, row.order_revision)
            self.is_stopped = False
        is_on_trial = row.stage is _Stage.TRIAL
        self._is_new = is_on_trial and version == row.new
        if not self._is_new:
            # Once all calls go to the new version, one target that fails may
            # not take its place away by itself.
            self.is_stopped = False

    def note(
        self, route: base.RouteName, is_failure: bool, elapsed_ms: float
    ) -> None:
        """Count one call."""
        self._evidence.note(route, is_failure, elapsed_ms)
        if self._is_new and rollout.is_plainly_bad(self._evidence):
            self.is_stopped = True

    def has_just_changed(self) -> bool:
        """Whether it has stopped, or goes on, since the last question."""
        is_changed = self.is_stopped is not self._was_stopped
        self._was_stopped = self.is_stopped
        return is_changed

    def find_evidence(
        self, order_revision: int, gate: _gate.Gate
    ) -> rollout.Evidence:
        """Return what was counted since an order.

        Parameters
        ----------
        order_revision : int
            Of the order.
        gate : Gate
            Tells what runs now.
        """
        if self._evidence.order_revision != order_revision:
            return rollout.Evidence(
                rollout.UNKNOWN_VERSION, order_revision, gate.running
            )
        self._evidence.running = gate.running + gate.waiting
        self._evidence.is_stopped = self.is_stopped
        return self._evidence
