"""Records of target crashes that daemons exchange."""

from typing import Annotated, NewType

import msgspec

from sedgering import base

__all__ = [
    'CrashEvidence',
    'CrashId',
    'CrashRecord',
    'MAX_CRASHES',
    'MAX_SUSPECTS',
]

#: Identifies the crash of one lifetime of a target, in a header field.
CrashId = NewType('CrashId', str)
_CrashId = Annotated[CrashId, msgspec.Meta(pattern=r'^[!-~]{1,220}\Z')]
_Fingerprint = Annotated[
    base.Fingerprint, msgspec.Meta(pattern=r'^[0-9a-f]{8}-[0-9a-f]{16}\Z')
]
#: Maximum number of requests in a record: those in all slots of a target, and
#: a few that ended just before.
MAX_SUSPECTS = 32
_Fingerprints = Annotated[
    tuple[_Fingerprint, ...], msgspec.Meta(max_length=MAX_SUSPECTS)
]
#: Maximum number of crashes in a member row, which take up to 8 KB.
MAX_CRASHES = 4


class CrashRecord(msgspec.Struct, frozen=True):
    """The crash of one lifetime: it ended without deregistering.

    Parameters
    ----------
    crash : CrashId
        Id of the crash.
    ended_ms : int
        Unix time in milliseconds at which the local daemon detected it.
    suspects : tuple of Fingerprint
        Requests that were running, or had failed without an answer just
        before.
    trials : tuple of Fingerprint
        Those of the suspects that were already suspected, and so ran at no
        other host.
    """

    crash: _CrashId
    ended_ms: base.Count
    suspects: _Fingerprints
    trials: _Fingerprints = ()


class CrashEvidence(msgspec.Struct, frozen=True):
    """One crash that counts against a request.

    Parameters
    ----------
    crash : CrashId
        Id of the crash.
    was_trial : bool
        Whether the request ran there as a suspect.
    """

    crash: CrashId
    was_trial: bool = False
