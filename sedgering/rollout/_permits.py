"""Which versions of the targets of a set may get calls."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from sedgering import base
from sedgering.rollout import _model

__all__ = [
    'UNKNOWN_VERSION',
    'Permits',
    'find_majority',
    'find_most_frequent',
    'make_permits',
]

#: Version of a target that has not reported one.
UNKNOWN_VERSION = base.SoftwareVersion('')

_Stage = _model.Stage


class Permits(msgspec.Struct, frozen=True):
    """Which versions of one set may get calls.

    Parameters
    ----------
    stable : str
        Version that gets the calls; ``UNKNOWN_VERSION`` while no target has
        reported one.
    trial : str or None
        Version that gets a bounded share of the calls.
    draining : str or None
        Version that is sent no new calls but still runs those that arrive,
        as senders learn at different times that it is draining.
    ordered : str or None
        Version that was ordered and gets no calls yet.
    is_recorded : bool
        Whether a row tells the stable version, and not the targets present.
    """

    stable: base.SoftwareVersion
    trial: base.SoftwareVersion | None = None
    draining: base.SoftwareVersion | None = None
    ordered: base.SoftwareVersion | None = None
    is_recorded: bool = True

    def may_send(self, version: base.SoftwareVersion) -> bool:
        """Whether calls go to a version without the limit of a trial."""
        if version == UNKNOWN_VERSION:
            # It may be a version that no order allows.
            return self.ordered is None and not self.is_recorded
        if self.stable == UNKNOWN_VERSION:
            return version != self.ordered
        return version == self.stable

    def may_run(self, version: base.SoftwareVersion) -> bool:
        """Whether a daemon admits calls to its target of a version."""
        is_extra = version in (self.trial, self.draining)
        return is_extra or self.may_send(version)


def make_permits(
    rollout: _model.Rollout | None,
    order: _model.Order | None,
    majority: base.SoftwareVersion,
) -> Permits:
    """Decide which versions of one target set may get calls.

    Fails closed: a version gets calls when the rollout allows it.  Only while
    the version in use is not recorded yet, most targets of the set tell it.

    Parameters
    ----------
    rollout : Rollout or None
        Last known state of the rollout.
    order : Order or None
        Newest order of the operator.
    majority : str
        Version that most targets have.
    """
    if rollout is None:
        ordered = order.version if order is not None else None
        return Permits(majority, ordered=ordered, is_recorded=False)
    if rollout.stage.is_final:
        return Permits(rollout.final_version)
    old = base.SoftwareVersion(rollout.old)
    new = base.SoftwareVersion(rollout.new)
    if rollout.stage is _Stage.TRIAL:
        return Permits(old, trial=new)
    is_moving = rollout.stage is _Stage.MOVING
    return Permits(new, draining=old if is_moving else None)


def find_majority(
    versions: Iterable[base.SoftwareVersion],
) -> base.SoftwareVersion:
    """Return the most frequent version; the first by name on a tie."""
    return find_most_frequent(collections.Counter(versions))


def find_most_frequent(
    counts: Mapping[base.SoftwareVersion, int],
) -> base.SoftwareVersion:
    """Return the version with the highest count, like `find_majority`."""
    known = counts.keys() - {UNKNOWN_VERSION}
    if not known:
        return UNKNOWN_VERSION
    return min(known, key=lambda version: (-counts[version], version))
