"""Evidence on the software version of the local target in a rollout."""

from sedgering import base
from sedgering.mesh import _gate
from sedgering import rollout

__all__ = ['VersionTrial']

_Stage = rollout.Stage


class VersionTrial:
    """Records results of the local target while its set is rolled out.

    Attributes
    ----------
    is_on : bool
        Whether results are recorded.
    is_stopped : bool
        Whether the target failed so many calls that it receives no more,
        whatever the rollout row says.  The verdict takes a second to reach
        all daemons, and longer while the store is unavailable.
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
        """Update the state of the rollout of the set.

        Parameters
        ----------
        row : Rollout or None
            Rollout of the set; None without one.
        version : str
            Version of the local target.
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
            # Once all calls go to the new version, a failing target must not
            # take itself out of service.
            self.is_stopped = False

    def note(
        self, route: base.RouteName, is_failure: bool, elapsed_ms: float
    ) -> None:
        """Record one call, and stop the target if it plainly fails."""
        self._evidence.note(route, is_failure, elapsed_ms)
        if self._is_new and rollout.is_clearly_failing(self._evidence):
            self.is_stopped = True

    def has_just_changed(self) -> bool:
        """Whether `is_stopped` has changed since the previous check."""
        is_changed = self.is_stopped is not self._was_stopped
        self._was_stopped = self.is_stopped
        return is_changed

    def find_evidence(
        self, order_revision: int, gate: _gate.Gate
    ) -> rollout.Evidence:
        """Return the evidence since a rollout order.

        Parameters
        ----------
        order_revision : int
            Revision of the order.
        gate : Gate
            Gate that knows the running and queued calls.
        """
        if self._evidence.order_revision != order_revision:
            return rollout.Evidence(
                rollout.UNKNOWN_VERSION, order_revision, gate.running
            )
        self._evidence.running = gate.running + gate.waiting
        self._evidence.is_stopped = self.is_stopped
        return self._evidence
