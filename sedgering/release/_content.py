"""The content of a version, as differences where the store has them.

Each sign-off stores, beside the whole bundle, the difference from the
version that was rolled when it was signed off.  A relay that holds an
earlier version follows these differences back to what it holds.
"""

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.release import _records
from sedgering import storage

__all__ = ['VersionContent', 'read_content']

#: Longest chain of differences that is followed back.
CHAIN_LIMIT = 8


class VersionContent(msgspec.Struct, frozen=True):
    """Content of one version.

    Parameters
    ----------
    version : Version
        The version.
    digest : bytes
        Digest (32 bytes) of the whole bundle.
    base_version : Version
        Version to which the first difference applies; 0 when `full` is
        there instead.
    deltas : tuple of bytes
        Encoded differences, to be applied in order.
    full : bytes
        The whole encoded bundle, when there is no chain.
    """

    version: base.Version
    digest: bytes
    base_version: base.Version = base.NO_VERSION
    deltas: tuple[bytes, ...] = ()
    full: bytes = b''

    @property
    def size(self) -> int:
        """Bytes transferred."""
        return len(self.full) + sum(len(delta) for delta in self.deltas)


def read_content(
    table: storage.TableStore,
    objects: storage.ObjectStore,
    version: base.Version,
    digest: base.Digest,
    held_version: base.Version,
) -> VersionContent:
    """Read a version, as differences from the version held if possible.

    Parameters
    ----------
    table, objects
        The platform.
    version, digest
        As the head row names them.
    held_version : Version
        Version held by the reader; 0 for none.

    Raises
    ------
    PlatformError
        When the platform gives no answer in time.
    """
    chain = _find_chain(table, version, held_version)
    deltas = _read_deltas(objects, chain)
    if deltas:
        return VersionContent(version, digest, held_version, deltas)
    return VersionContent(version, digest, full=objects.get_object(digest))


def _find_chain(
    table: storage.TableStore,
    version: base.Version,
    held_version: base.Version,
) -> tuple[_records.SignOffRecord, ...]:
    """Follow the sign-offs from `version` back to the version held."""
    first = held_version + 1
    if not held_version or version - first >= CHAIN_LIMIT:
        return ()
    keys = [
        _records.sign_off_key(base.Version(number))
        for number in range(first, version + 1)
    ]
    records = {}
    for row in table.read(keys):
        record = _records.decode_record(row, _records.SignOffRecord)
        if record is not None and record.delta_digest:
            records[record.version] = record
    chain = []
    reached = version
    while reached > held_version:
        record = records.get(reached)
        if record is None:
            return ()
        chain.append(record)
        reached = record.base_version
    if reached != held_version:
        return ()
    return tuple(reversed(chain))


def _read_deltas(
    objects: storage.ObjectStore,
    chain: tuple[_records.SignOffRecord, ...],
) -> tuple[bytes, ...]:
    try:
        return tuple(
            objects.get_object(base.Digest(record.delta_digest))
            for record in chain
        )
    except exceptions.PlatformError as error:
        if error.code is exceptions.Code.PLATFORM_NO_OBJECT:
            return ()
        raise
