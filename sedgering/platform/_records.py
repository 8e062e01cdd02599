"""Blocking access to sign-offs, rolls, claims and content, for tools."""

from collections.abc import Sequence
import random

from sedgering import base
from sedgering import exceptions
from sedgering.platform import _blocking_http
from sedgering.platform import _settings
from sedgering.platform import _store
from sedgering.platform import _tables
from sedgering import settings
from sedgering import storage

__all__ = [
    'PlatformObjectStore',
    'RECORDS_TABLE',
    'RecordsTable',
    'make_records_store',
]

#: Table of the sign-offs, rolls and claims that this project's tools write.
RECORDS_TABLE = 'sedgering'

_run = _blocking_http.run_blocking


class RecordsTable(storage.TableStore):
    """One table of the store, with blocking calls.

    Parameters
    ----------
    client : StoreClient
        With a blocking HTTP client.
    name : str
        Name of the table.
    """

    def __init__(self, client: _store.StoreClient, name: str):
        self.client = client
        self.table = _tables.PlatformTable(client, name)

    def read(self, keys: Sequence[str]) -> tuple[storage.Row, ...]:
        """Read a consistent snapshot of rows; see :class:`TableStore`."""
        return _check_readable(_run(self.table.read(keys)))

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> tuple[storage.Row, ...]:
        """Read rows by key prefix; see :class:`TableStore`."""
        start = max(prefix, after + '\0' if after else '')
        end = _find_prefix_end(prefix)
        name = self.table.name
        page = _run(self.client.list_rows(name, start, end, limit))
        return _check_readable(page.rows)

    def transact(self, transaction: storage.Transaction) -> storage.Outcome:
        """Send a transaction once; see :class:`TableStore`."""
        return _run(self.table.transact(transaction))


class PlatformObjectStore(storage.ObjectStore):
    """Objects of the store, addressed by their digest.

    Parameters
    ----------
    client : StoreClient
        With a blocking HTTP client.
    """

    def __init__(self, client: _store.StoreClient):
        self.client = client

    def put_object(self, digest: base.Digest, body: bytes) -> storage.Outcome:
        """Store an object; see :class:`ObjectStore`."""
        try:
            _run(self.client.put_object(digest.hex(), body))
        except exceptions.PlatformError as error:
            if error.code is not exceptions.Code.PLATFORM_CONFLICT:
                return _tables.make_failed_outcome(error)
            # An object of this name exists.  Its name is the digest of its
            # content, so that the content is the same.
        return storage.Outcome(storage.OutcomeKind.DONE)

    def get_object(self, digest: base.Digest) -> bytes:
        """Fetch an object; see :class:`ObjectStore`."""
        return _run(self.client.get_object(digest.hex()))


def make_records_store(
    platform_settings: settings.PlatformSettings, rng: random.Random
) -> storage.GuardedStore:
    """Make the store of sign-offs, rolls, claims and content for a tool.

    Parameters
    ----------
    platform_settings : PlatformSettings
        Validated settings of the store.
    rng : random.Random
        Source of the jitter of the circuit breaker.
    """
    http_client = _blocking_http.BlockingHttpClient(
        _settings.StoreSettings(
            str(platform_settings.address),
            platform_settings.port,
            platform_settings.timeout_ms,
        )
    )
    client = _store.StoreClient(http_client)
    return storage.make_guarded_store(
        RecordsTable(client, RECORDS_TABLE),
        PlatformObjectStore(client),
        platform_settings,
        rng,
    )


def _check_readable(
    rows: tuple[storage.Row, ...],
) -> tuple[storage.Row, ...]:
    """Return rows, all of which must have a readable value.

    Raises
    ------
    PlatformError
        When a value is not readable.  Leaving out its row would hide a
        record.
    """
    for row in rows:
        if not row.is_readable:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_REFUSED,
                f'{row.key}: the value is not base64',
            )
    return rows


def _find_prefix_end(prefix: str) -> str:
    """Return the first key after all keys that start with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else ''
