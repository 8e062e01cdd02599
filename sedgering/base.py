"""Identifiers and abstract base classes shared by all packages.

Identifiers are ``NewType`` over plain strings and integers: a type checker
distinguishes a host from a party, without any cost at run time.
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

#: Non-negative integers for sizes and times in messages, up to the largest one
#: that every JSON parser represents exactly.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53 - 1)]

#: Version of a proxy that has not applied any bundle yet.
NO_VERSION = Version(0)

#: Workspace of a call that is made by a target or on a public route.
NO_WORKSPACE = WorkspaceName('')

TablesT = TypeVar('TablesT', bound=Any)


class System(abc.ABC, Generic[TablesT]):
    """A part of the control logic that runs once per tick.

    A system performs no I/O and uses no clock or thread.  It reads the tables
    and their inbox, writes the tables that it owns, and appends commands to
    the outbox.  Adapters execute the commands.
    """

    @abc.abstractmethod
    def run(self, tables: TablesT, now_ms: int) -> None:
        """Run one tick.

        Parameters
        ----------
        tables
            Tables of the process, which only the control thread writes.
        now_ms : int
            Monotonic time in milliseconds.
        """
