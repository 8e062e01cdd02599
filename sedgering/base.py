"""Identifiers and abstract classes that all packages share.

Identifiers are ``NewType`` over plain strings and integers, so that a
type checker tells a host from a party while nothing is paid at run time.
"""

import abc
from typing import Annotated, Any, Generic, NewType, TypeVar

import msgspec

__all__ = [
    'Count',
    'DataCentre',
    'Digest',
    'Fingerprint',
    'HostId',
    'Incarnation',
    'NO_VERSION',
    'NO_WORKSPACE',
    'OperationId',
    'PartyId',
    'PolicyName',
    'RequestId',
    'RouteName',
    'SoftwareVersion',
    'System',
    'TargetName',
    'TargetSetName',
    'Version',
    'WorkspaceName',
]

DataCentre = NewType('DataCentre', str)
Digest = NewType('Digest', bytes)
Fingerprint = NewType('Fingerprint', str)
HostId = NewType('HostId', str)
Incarnation = NewType('Incarnation', int)
OperationId = NewType('OperationId', str)
PartyId = NewType('PartyId', str)
PolicyName = NewType('PolicyName', str)
RequestId = NewType('RequestId', str)
RouteName = NewType('RouteName', str)
SoftwareVersion = NewType('SoftwareVersion', str)
TargetName = NewType('TargetName', str)
TargetSetName = NewType('TargetSetName', str)
Version = NewType('Version', int)
WorkspaceName = NewType('WorkspaceName', str)

#: Whole numbers of sizes and times in messages; up to the largest one that
#: every reader of JSON keeps exactly.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53 - 1)]

#: Held by a proxy that has not applied any bundle yet.
NO_VERSION = Version(0)

#: Of a call that no workspace makes: one of a target, or on a public route.
NO_WORKSPACE = WorkspaceName('')

TablesT = TypeVar('TablesT', bound=Any)


class System(abc.ABC, Generic[TablesT]):
    """A decision that runs over the tables each tick.

    A system has no socket, clock or thread.  It reads the tables and
    their inbox, writes the tables it owns and appends commands to the
    outbox.  Adapters carry the commands out.
    """

    @abc.abstractmethod
    def run(self, tables: TablesT, now_ms: int) -> None:
        """Advance by one tick.

        Parameters
        ----------
        tables
            The tables of the process; written by the control thread only.
        now_ms : int
            Monotonic time in milliseconds, handed in by the caller.
        """
