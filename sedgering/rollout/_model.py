"""Orders of the operator, and the stage of a rollout."""

import enum
from typing import Annotated

import msgspec

from sedgering import base

__all__ = ['NO_ORDER', 'Order', 'Rollout', 'Stage', 'make_record']

#: Order revision of a row that no order of the operator has caused.
NO_ORDER = 0

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Stage(enum.Enum):
    """Stage of a rollout."""

    #: A bounded share of the calls goes to a few targets of the new version.
    TRIAL = 'trial'
    #: All calls go to the new version.  The old one still accepts calls from
    #: senders that have not learned of this stage yet.
    MOVING = 'moving'
    #: The old version accepts no new calls and finishes those in progress.
    SETTLING = 'settling'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled back'

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended and its verdict stands."""
        return self in (Stage.SUCCEEDED, Stage.ROLLED_BACK)


class Order(msgspec.Struct, frozen=True, array_like=True):
    """Order of the operator to move a target set to a version.

    Parameters
    ----------
    target_set : str
        Target set whose calls are to move.
    version : str
        Software version of the targets that are to get the calls.
    duration_ms : int
        Time within which the rollout succeeds or is rolled back.
    revision : int
        Revision of the store at which the order was written.  A later order
        for the same set replaces an earlier one.
    """

    target_set: base.TargetSetName
    version: base.SoftwareVersion
    duration_ms: int
    revision: int


class Rollout(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored state of the rollout of one target set.

    A set without an order has a row, too: it records which version is in use,
    as a rollout to that version that has succeeded.

    Parameters
    ----------
    target_set : str
        Target set whose calls move.
    old, new : str
        Versions of its targets.
    order_revision : int
        Revision of the order that the rollout carries out; ``NO_ORDER`` if
        there was none.
    stage : Stage
        Current stage.
    began_ms : int
        Time of the store's clock at which the order was first seen.
    stage_ms : int
        Time of the store's clock at which the current stage began.
    unshown_routes : tuple of str
        Routes on which too few calls have come to judge the new version, once
        the calls have moved.
    """

    target_set: _Text
    old: str
    new: _Text
    order_revision: base.Count
    stage: Stage
    began_ms: base.Count = 0
    stage_ms: base.Count = 0
    unshown_routes: tuple[str, ...] = ()

    @property
    def final_version(self) -> base.SoftwareVersion:
        """Version that gets the calls once the rollout has ended."""
        has_moved = self.stage is Stage.SUCCEEDED
        return base.SoftwareVersion(self.new if has_moved else self.old)


def make_record(
    target_set: base.TargetSetName,
    version: base.SoftwareVersion,
    previous: Rollout | None = None,
) -> Rollout:
    """Make the row that records the version in use without an order.

    Parameters
    ----------
    target_set : str
        Target set.
    version : str
        Version in use.
    previous : Rollout or None
        Row that it replaces.  Its order stays carried out.
    """
    if previous is None:
        return Rollout(target_set, version, version, NO_ORDER, Stage.SUCCEEDED)
    return msgspec.structs.replace(
        previous,
        old=previous.final_version,
        new=version,
        unshown_routes=(),
    )
