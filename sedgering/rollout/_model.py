"""Orders of the operator, and how far a rollout has come."""

import enum
from typing import Annotated

import msgspec

from sedgering import base

__all__ = ['Order', 'Rollout', 'Stage']

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Stage(enum.Enum):
    """How far a rollout has come."""

    #: A bounded share of the calls goes to a few targets of the new version.
    TRIAL = 'trial'
    #: All calls go to the new version; the old one still answers those whose
    #: senders do not know yet.
    MOVING = 'moving'
    #: The old version takes no new calls, and ends those under way.
    SETTLING = 'settling'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled back'

    @property
    def is_final(self) -> bool:
        """Whether the verdict is told, and nothing more is done."""
        return self in (Stage.SUCCEEDED, Stage.ROLLED_BACK)


class Order(msgspec.Struct, frozen=True, array_like=True):
    """What the operator asks for.

    Parameters
    ----------
    target_set : str
        Whose calls are to move.
    version : str
        Of the software of the targets to which they are to move.
    duration_ms : int
        Time within which that is done, or undone.
    revision : int
        Counter of the store at which it was written; a later order of the
        same set takes the place of an earlier one.
    """

    target_set: base.TargetSetName
    version: base.SoftwareVersion
    duration_ms: int
    revision: int


class Rollout(msgspec.Struct, frozen=True):
    """The row of one target set: what outlives every daemon.

    Parameters
    ----------
    target_set : str
        Whose calls move.
    old, new : str
        Versions of its targets.
    order_revision : int
        Of the order that it follows.
    stage : Stage
        How far it has come.
    began_ms : int
        Time of the store's clock at which the order was first seen.
    stage_ms : int
        The same for the present stage.
    """

    target_set: _Text
    old: str
    new: _Text
    order_revision: base.Count
    stage: Stage
    began_ms: base.Count = 0
    stage_ms: base.Count = 0

    @property
    def settled(self) -> base.SoftwareVersion:
        """The version that gets the calls when nothing moves."""
        has_moved = self.stage is Stage.SUCCEEDED
        return base.SoftwareVersion(self.new if has_moved else self.old)
