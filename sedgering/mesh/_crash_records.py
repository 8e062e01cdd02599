"""What daemons tell each other of targets that have ended."""

from typing import Annotated, NewType

import msgspec

from sedgering import base

__all__ = [
    'CrashEvidence',
    'CrashId',
    'CrashRecord',
    'MOST_CRASHES',
    'MOST_SUSPECTS',
]

#: Names the end of one lifetime of a target, in a header field.
CrashId = NewType('CrashId', str)
_CrashId = Annotated[CrashId, msgspec.Meta(pattern=r'^[!-~]{1,220}\Z')]
_Fingerprint = Annotated[
    base.Fingerprint, msgspec.Meta(pattern=r'^[0-9a-f]{8}-[0-9a-f]{16}\Z')
]
#: Requests that are told with an end: a target has some places, and a few
#: that ended just before.
MOST_SUSPECTS = 32
_Fingerprints = Annotated[
    tuple[_Fingerprint, ...], msgspec.Meta(max_length=MOST_SUSPECTS)
]
#: Ends that a row tells of, 8 KB at the most.
MOST_CRASHES = 4


class CrashRecord(msgspec.Struct, frozen=True):
    """The end of a lifetime that had not said that it was leaving.

    Parameters
    ----------
    crash : CrashId
        Of this end.
    ended_ms : int
        Unix time at which the daemon beside it saw it.
    suspects : tuple of Fingerprint
        Requests that were under way, or had ended without answer just before.
    trials : tuple of Fingerprint
        Of these, the ones of which it was known that targets had ended under
        them, and that ran nowhere else.
    """

    crash: _CrashId
    ended_ms: base.Count
    suspects: _Fingerprints
    trials: _Fingerprints = ()


class CrashEvidence(msgspec.Struct, frozen=True):
    """One end of a target that speaks against a request.

    Parameters
    ----------
    crash : CrashId
        Of the end.
    was_trial : bool
        Whether the request ran there as a suspect.
    """

    crash: CrashId
    was_trial: bool = False
