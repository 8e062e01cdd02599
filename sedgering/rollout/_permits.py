"""Which versions of the targets of a set may get calls."""

import collections
from collections.abc import Iterable

import msgspec

from sedgering import base
from sedgering.rollout import _model

__all__ = ['UNKNOWN_VERSION', 'Permits', 'find_majority', 'make_permits']

#: Of a target that has not told it.
UNKNOWN_VERSION = base.SoftwareVersion('')

_Stage = _model.Stage


class Permits(msgspec.Struct, frozen=True):
    """Which versions of one set may get calls.

    Parameters
    ----------
    usual : str
        Version to which calls go; that of a target that does not tell one
        where nobody has told it.
    trial : str or None
        Version that gets a bounded share of them.
    leaving : str or None
        Version that is sent nothing, and still runs what comes: its senders
        learn one by one that it is leaving.
    ordered : str or None
        Version that was ordered, and gets nothing yet.
    """

    usual: base.SoftwareVersion
    trial: base.SoftwareVersion | None = None
    leaving: base.SoftwareVersion | None = None
    ordered: base.SoftwareVersion | None = None

    def may_send(self, version: base.SoftwareVersion) -> bool:
        """Whether calls go to targets of a version as usual."""
        if version == UNKNOWN_VERSION:
            # It may be any of those that are there.
            return self.ordered is None and not self.is_moving
        if self.usual == UNKNOWN_VERSION:
            return version != self.ordered
        return version == self.usual

    def may_run(self, version: base.SoftwareVersion) -> bool:
        """Whether the gate before a target of a version is open."""
        is_other = version in (self.trial, self.leaving)
        return is_other or self.may_send(version)

    @property
    def is_moving(self) -> bool:
        """Whether calls go to two versions."""
        return self.trial is not None or self.leaving is not None


def make_permits(
    rollout: _model.Rollout | None,
    order: _model.Order | None,
    majority: base.SoftwareVersion,
) -> Permits:
    """Say which versions of one set may get calls.

    Not knowing is no licence: a version gets calls when the rollout allows
    it, and without one only if most targets of the set have it.

    Parameters
    ----------
    rollout : Rollout or None
        As far as it is known.
    order : Order or None
        The operator's newest.
    majority : str
        Version of most targets.
    """
    if rollout is None:
        ordered = order.version if order is not None else None
        return Permits(majority, ordered=ordered)
    old = base.SoftwareVersion(rollout.old)
    new = base.SoftwareVersion(rollout.new)
    if rollout.stage is _Stage.TRIAL:
        return Permits(old, trial=new)
    if rollout.stage is _Stage.ROLLED_BACK:
        return Permits(old)
    is_moving = rollout.stage is _Stage.MOVING
    return Permits(new, leaving=old if is_moving else None)


def find_majority(
    versions: Iterable[base.SoftwareVersion],
) -> base.SoftwareVersion:
    """Return the version that most targets tell; of two the first by name."""
    counts = collections.Counter(
        version for version in versions if version != UNKNOWN_VERSION
    )
    if not counts:
        return UNKNOWN_VERSION
    return min(counts, key=lambda version: (-counts[version], version))
