"""Decides which version of a target set is recorded as the one in use."""

from collections.abc import Mapping

import msgspec

from sedgering import base
from sedgering.rollout import _model
from sedgering.rollout import _permits

__all__ = ['RecordChoice', 'choose_record']


class RecordChoice(msgspec.Struct, frozen=True):
    """Version that is to be recorded as the one in use.

    Parameters
    ----------
    version : str
        Version in use.
    is_certain : bool
        Whether it can be recorded at once.  Otherwise targets of another
        version may be in use, and it is recorded only if none appears.
    """

    version: base.SoftwareVersion
    is_certain: bool


def choose_record(
    rollout: _model.Rollout | None,
    order: _model.Order | None,
    versions: Mapping[base.SoftwareVersion, int],
) -> RecordChoice | None:
    """Choose the version to record; None if nothing is to be recorded.

    The record stands while any target of its version exists, however few, and
    whether or not the daemon beside it runs.  A version that was rolled back
    never takes the place of the one in use.

    Parameters
    ----------
    rollout : Rollout or None
        Stored row of the set.
    order : Order or None
        Newest order of the operator.
    versions : mapping of str to int
        Number of targets of each version, without those that have left.
    """
    ordered = order.version if order is not None else None
    others = {
        version: count
        for version, count in versions.items()
        if version != ordered
    }
    majority = _permits.find_most_frequent(others or versions)
    if majority == _permits.UNKNOWN_VERSION:
        return None
    if rollout is None:
        return RecordChoice(majority, is_certain=majority != ordered)
    is_in_use = rollout.final_version in versions
    may_be_in_use = is_in_use or _permits.UNKNOWN_VERSION in versions
    if may_be_in_use or rollout.stage is not _model.Stage.SUCCEEDED:
        return None
    return RecordChoice(majority, is_certain=False)
