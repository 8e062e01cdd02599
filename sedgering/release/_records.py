"""Rows of the table service, typed, and their keys."""

import enum
from typing import TypeVar

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import storage

__all__ = [
    'CONTACT_PREFIX',
    'Contact',
    'ContactRecord',
    'HEAD_KEY',
    'HeadRecord',
    'OperationKind',
    'OperationRecord',
    'PROGRESS_PREFIX',
    'ProgressRecord',
    'RefusalRecord',
    'RollRecord',
    'SignOffRecord',
    'contact_key',
    'decode_record',
    'encode_record',
    'operation_key',
    'progress_key',
    'roll_key',
    'sign_off_key',
]

RecordT = TypeVar('RecordT')

HEAD_KEY = 'head'
CONTACT_PREFIX = 'contact/'
PROGRESS_PREFIX = 'progress/'


class HeadRecord(msgspec.Struct, frozen=True):
    """The row on which every sign-off and roll is conditional.

    Parameters
    ----------
    version, digest
        What was rolled last; version 0 before the first roll.
    latest_signed : Version
        Greatest version signed off.
    changed_by : str
        Operator of the last sign-off or roll.
    """

    version: base.Version = base.NO_VERSION
    digest: bytes = b''
    latest_signed: base.Version = base.NO_VERSION
    changed_by: str = ''


class SignOffRecord(msgspec.Struct, frozen=True):
    """One signed-off version; never changes.

    Parameters
    ----------
    version, digest
        The version and its content.
    base_version : Version
        Version that was rolled when it was signed off.
    operator, signed_at_ms, operation_id
        Who, when, and by which operation.
    delta_digest : bytes
        Names the difference from `base_version` in the object store;
        empty when there is none.
    """

    version: base.Version
    digest: bytes
    base_version: base.Version
    operator: str
    signed_at_ms: int
    operation_id: base.OperationId
    delta_digest: bytes = b''


class RollRecord(msgspec.Struct, frozen=True):
    """One roll; never changes."""

    version: base.Version
    from_version: base.Version
    operator: str
    rolled_at_ms: int
    operation_id: base.OperationId


class OperationKind(enum.Enum):
    """What an operation id stands for."""

    SIGN_OFF = 'sign-off'
    ROLL = 'roll'


class OperationRecord(msgspec.Struct, frozen=True):
    """Proof that an operation took effect, written with its effect."""

    kind: OperationKind
    version: base.Version


class Contact(msgspec.Struct, frozen=True):
    """A proxy that joiners and operators may ask."""

    host: base.HostId
    address: str
    peer_port: int


class ContactRecord(msgspec.Struct, frozen=True):
    """A few proxies of one data centre."""

    data_centre: base.DataCentre
    contacts: tuple[Contact, ...] = ()


class RefusalRecord(msgspec.Struct, frozen=True):
    """How many hosts refused a version, why, and one of them."""

    version: base.Version
    code: int
    hosts: int
    example_host: str


class ProgressRecord(msgspec.Struct, frozen=True):
    """How far one data centre has come, as the top of its tree sees it.

    Parameters
    ----------
    data_centre : DataCentre
        Subject.
    reporter : HostId
        Proxy at the top of the tree.
    members : int
        Hosts known there.
    covered : int
        Hosts whose acknowledgement is merged here.
    is_exact : bool
        Whether the covered hosts are exactly the members.
    lowest_version, highest_version : Version
        Among the covered hosts.
    at_highest : int
        Hosts that hold the highest version.
    refusals : tuple of RefusalRecord
        Versions refused.
    written_at_ms : int
        Wall-clock time of the report, for display only.
    """

    data_centre: base.DataCentre
    reporter: base.HostId
    members: int
    covered: int
    is_exact: bool
    lowest_version: base.Version
    highest_version: base.Version
    at_highest: int
    refusals: tuple[RefusalRecord, ...] = ()
    written_at_ms: int = 0


def sign_off_key(version: base.Version) -> str:
    """Return the key of a sign-off; keys sort by version."""
    return f'sign-off/{version:012d}'


def roll_key(version: base.Version) -> str:
    """Return the key of a roll; keys sort by version."""
    return f'roll/{version:012d}'


def operation_key(operation_id: base.OperationId) -> str:
    """Return the key of an operation's proof."""
    return f'operation/{operation_id}'


def contact_key(data_centre: base.DataCentre) -> str:
    """Return the key of a data centre's contacts."""
    return f'{CONTACT_PREFIX}{data_centre}'


def progress_key(data_centre: base.DataCentre) -> str:
    """Return the key of a data centre's progress."""
    return f'{PROGRESS_PREFIX}{data_centre}'


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record as the value of a row."""
    return msgspec.json.encode(record)


def decode_record(
    row: storage.Row, record_type: type[RecordT]
) -> RecordT | None:
    """Decode the value of a row.

    Returns
    -------
    record_type or None
        None when the row is absent.

    Raises
    ------
    PlatformError
        When the row holds something else.
    """
    if not row.revision:
        return None
    try:
        return msgspec.json.decode(row.value, type=record_type)
    except msgspec.DecodeError as error:
        raise exceptions.PlatformError(
            exceptions.Code.PLATFORM_REFUSED, f'row {row.key}: {error}'
        ) from error
