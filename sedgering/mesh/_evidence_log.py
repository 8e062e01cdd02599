"""Evidence on the targets of a rollout, as gathered by one daemon."""

import msgspec

from sedgering import base
from sedgering.mesh import _messages
from sedgering import rollout

__all__ = ['EvidenceLog']


class _TargetEvidence(msgspec.Struct):
    """Evidence of the targets of one version on one host."""

    #: Sum over the daemons that have ended.
    ended: rollout.Evidence
    #: Last answer of the daemon that runs now.
    latest: rollout.Evidence


class EvidenceLog:
    """Keeps the evidence of daemons that have ended since.

    A daemon counts calls in its memory.  Without what it has told before it
    ended, a version would be judged by the calls since its return only.

    Parameters
    ----------
    order_revision : int
        Revision of the order that the rollout carries out.
    """

    def __init__(self, order_revision: int):
        self.order_revision = order_revision
        self._evidence: dict[
            tuple[base.SoftwareVersion, base.HostId], _TargetEvidence
        ] = {}

    def start_poll(self) -> None:
        """Forget the calls in progress; the next answers tell them."""
        for item in self._evidence.values():
            item.latest.running = 0

    def note(
        self, row: _messages.MemberRow, evidence: rollout.Evidence
    ) -> None:
        """Record the answer of a daemon.

        Parameters
        ----------
        row : MemberRow
            Row of its host.
        evidence : Evidence
            The answer; without a version if the daemon does not know the
            order yet.
        """
        version = evidence.version or row.version
        key = version, row.host
        known = self._evidence.get(key)
        if known is None:
            ended = rollout.Evidence(version, self.order_revision)
            self._evidence[key] = _TargetEvidence(ended, evidence)
            return
        if evidence.runs < known.latest.runs:
            known.ended.add(known.latest)
        known.latest = evidence

    def list_version(
        self, version: base.SoftwareVersion
    ) -> list[rollout.Evidence]:
        """Return the evidence on a version, one item for each host."""
        found = []
        for (known, _host), item in self._evidence.items():
            if known == version:
                total = rollout.Evidence(version, self.order_revision)
                total.add(item.ended)
                total.add(item.latest)
                total.running = item.latest.running
                found.append(total)
        return found
