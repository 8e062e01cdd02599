"""The store of sign-offs, rolls, claims and content, for tools."""

from collections.abc import Sequence
import random

from sedgering import base
from sedgering import exceptions
from sedgering.platform import _blocking_carrier
from sedgering.platform import _settings
from sedgering.platform import _store
from sedgering.platform import _tables
from sedgering import settings
from sedgering import storage

__all__ = [
    'PlatformObjects',
    'RECORDS_TABLE',
    'RecordsTable',
    'make_records_store',
]

#: Table of the sign-offs, rolls and claims of the product's own tools.
RECORDS_TABLE = 'sedgering'

_run = _blocking_carrier.run_blocking


class RecordsTable(storage.TableStore):
    """One table of the store, asked by calls that block.

    Parameters
    ----------
    client : StoreClient
        With a carrier that blocks.
    name : str
        Of the table.
    """

    def __init__(self, client: _store.StoreClient, name: str):
        self.client = client
        self.table = _tables.PlatformTable(client, name)

    def read(self, keys: Sequence[str]) -> tuple[storage.Row, ...]:
        """Read rows as of one moment; see :class:`TableStore`."""
        return _check_readable(_run(self.table.read(keys)))

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> tuple[storage.Row, ...]:
        """Read rows by prefix; see :class:`TableStore`."""
        start = max(prefix, after + '\0' if after else '')
        end = _end_of(prefix)
        name = self.table.name
        page = _run(self.client.list_rows(name, start, end, limit))
        return _check_readable(page.rows)

    def transact(self, transaction: storage.Transaction) -> storage.Outcome:
        """Try a transaction once; see :class:`TableStore`."""
        return _run(self.table.transact(transaction))


class PlatformObjects(storage.ObjectStore):
    """Objects of the store, named by their digest.

    Parameters
    ----------
    client : StoreClient
        With a carrier that blocks.
    """

    def __init__(self, client: _store.StoreClient):
        self.client = client

    def put_object(self, digest: base.Digest, body: bytes) -> storage.Outcome:
        """Store an object; see :class:`ObjectStore`."""
        try:
            _run(self.client.put_object(digest.hex(), body))
        except exceptions.PlatformError as error:
            if error.code is not exceptions.Code.PLATFORM_CONFLICT:
                return _tables.tell_failure(error)
            # It is there already, and its name fixes its content.
        return storage.Outcome(storage.OutcomeKind.DONE)

    def get_object(self, digest: base.Digest) -> bytes:
        """Fetch an object; see :class:`ObjectStore`."""
        return _run(self.client.get_object(digest.hex()))


def make_records_store(
    platform_settings: settings.PlatformSettings, rng: random.Random
) -> storage.GuardedStore:
    """Make the store of sign-offs, rolls, claims and content.

    Parameters
    ----------
    platform_settings : PlatformSettings
        Validated settings.
    rng : random.Random
        Jitter of the circuit.
    """
    carrier = _blocking_carrier.BlockingCarrier(
        _settings.StoreSettings(
            str(platform_settings.address),
            platform_settings.port,
            platform_settings.timeout_ms,
        )
    )
    client = _store.StoreClient(carrier)
    return storage.make_guarded_store(
        RecordsTable(client, RECORDS_TABLE),
        PlatformObjects(client),
        platform_settings,
        rng,
    )


def _check_readable(
    rows: tuple[storage.Row, ...],
) -> tuple[storage.Row, ...]:
    """Return records; none of them may be left out unseen."""
    for row in rows:
        if not row.is_readable:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_REFUSED, f'{row.key}: no base64'
            )
    return rows


def _end_of(prefix: str) -> str:
    """Return the first key after all that start with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else ''
