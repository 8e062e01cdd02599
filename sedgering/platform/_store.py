"""Client of the platform's metadata store."""

import base64
from collections.abc import Sequence
from typing import Any
import urllib.parse

import msgspec

from sedgering import exceptions
from sedgering.platform import _carrier
from sedgering.platform import _wire
from sedgering import storage

__all__ = ['StoreClient', 'decode_rows']

#: Largest number of conditions and writes in one transaction, as documented
#: by the store.
ENTRIES_LIMIT = 100
#: Largest number of rows requested in one response.
PAGE_ROWS = 500
#: Revision that no row ever has: the largest integer that every JSON parser
#: represents exactly.
IMPOSSIBLE_REVISION = 2**53 - 1

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_PRECONDITION_FAILED = 412
STATUS_SERVER_ERROR = 500
_ERROR_CODES = {
    STATUS_NOT_FOUND: exceptions.Code.PLATFORM_NO_OBJECT,
    410: exceptions.Code.PLATFORM_HISTORY,
    STATUS_PRECONDITION_FAILED: exceptions.Code.PLATFORM_CONFLICT,
    429: exceptions.Code.PLATFORM_BUSY,
    # The store refused the request and has changed nothing.
    503: exceptions.Code.PLATFORM_DOWN,
    # The object storage is full.
    507: exceptions.Code.PLATFORM_REFUSED,
}
_JSON_HEADERS = (('Content-Type', 'application/json'),)


class _WireRow(msgspec.Struct):
    key: str
    #: Base64, unless another writer stored an invalid value.
    value: Any = ''
    #: Revision counter of the store, not the version of a schema.
    schema_version: int = 0
    deleted: bool = False


class _WirePage(msgspec.Struct):
    rows: list[_WireRow] = []
    schema_version: int = 0
    has_more: bool = False
    #: Monotonic clock of the store, as a duration.
    now: str = ''


_PAGE_DECODER = msgspec.json.Decoder(_WirePage)


class StoreClient:
    """Client of the store; every failure raises `PlatformError`.

    Parameters
    ----------
    carrier : StoreCarrier
        HTTP client: asynchronous in daemons, blocking in tools.
    """

    def __init__(self, carrier: _carrier.StoreCarrier):
        self.carrier = carrier

    async def list_rows(
        self, table: str, start: str = '', end: str = '', limit: int = 0
    ) -> storage.RowsPage:
        """Read the rows in a range of keys.

        Several pages are as of several moments.  Their revision is that of
        the first one, so that a watch from there on reads what has changed
        since.

        Parameters
        ----------
        table : str
            Name of the table.
        start, end : str
            First key, and the first key after the range; empty for no
            bound.
        limit : int
            Largest number of rows to return; 0 for all.

        Raises
        ------
        PlatformError
            When the request fails.
        """
        rows: list[storage.Row] = []
        revision: int | None = None
        while True:
            fields = {'table': table, 'part': ''}
            if start:
                fields['from'] = start
            if end:
                fields['to'] = end
            if limit:
                fields['limit'] = str(min(PAGE_ROWS, limit - len(rows)))
            page = _decode_page(await self._read('/v1/rows-get', fields))
            rows.extend(_make_rows(page))
            if revision is None:
                revision = page.schema_version
            is_full = limit and len(rows) >= limit
            if is_full or not page.has_more or not page.rows:
                return _make_page(page, tuple(rows), revision)
            start = page.rows[-1].key + '\0'

    async def read_rows(
        self, table: str, keys: Sequence[str]
    ) -> tuple[storage.Row, ...]:
        """Read a consistent snapshot of rows by their keys.

        A read request covers only one range of keys.  Several keys are
        therefore read with a transaction whose conditions cannot hold: the
        store changes nothing, and responds with the current rows of all
        conditions.

        Raises
        ------
        PlatformError
            When the request fails.
        """
        if len(keys) == 1:
            page = await self.list_rows(table, keys[0], keys[0] + '\0')
            found = {row.key: row for row in page.rows}
        else:
            conditions = [
                storage.Condition(key, IMPOSSIBLE_REVISION) for key in keys
            ]
            body = _make_transaction(table, conditions)
            response = await self._send(
                'POST', '/v1/rows-tx', body, _JSON_HEADERS
            )
            _check_status(response, STATUS_PRECONDITION_FAILED)
            rows = decode_rows(response.body)
            found = {row.key: row for row in rows if row.revision}
        return tuple(found.get(key) or storage.Row(key) for key in keys)

    async def watch(
        self, table: str, after: int, wait_ms: int
    ) -> storage.RowsPage:
        """Wait for changes of a table after a revision.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Revision up to which the changes are known.
        wait_ms : int
            Milliseconds for which the store waits for a change.

        Raises
        ------
        PlatformError
            When the request fails; `PLATFORM_HISTORY` when the store no
            longer has the changes after that revision.
        """
        fields = {
            'table': table,
            'after': str(after),
            'wait_ms': str(wait_ms),
        }
        page = _decode_page(await self._read('/v1/rows-feed', fields, wait_ms))
        return _make_page(page, _make_rows(page), page.schema_version)

    async def transact(
        self, table: str, transaction: storage.Transaction
    ) -> int:
        """Write rows of one table if all conditions hold.

        Returns
        -------
        int
            Revision of the written rows.

        Raises
        ------
        PlatformError
            `PLATFORM_CONFLICT` when a condition does not hold;
            `PLATFORM_UNKNOWN` when the write may have taken effect, or may
            still do so.
        """
        body = _make_transaction(
            table,
            transaction.conditions,
            transaction.puts,
            transaction.deletes,
        )
        return await self._commit(body)

    async def transact_across(
        self,
        conditions: Sequence[tuple[str, storage.Condition]],
        puts: Sequence[tuple[str, storage.Put]],
    ) -> int:
        """Write rows of several tables if all conditions hold.

        Parameters
        ----------
        conditions, puts : sequence of tuple
            Pairs of the name of a table and a condition or write.

        Raises
        ------
        PlatformError
            See :meth:`transact`.
        """
        return await self._commit(
            _encode_entries(
                [_make_condition(table, item) for table, item in conditions],
                [_make_put(table, item) for table, item in puts],
            )
        )

    async def _commit(self, body: bytes) -> int:
        response = await self._write(
            'POST', '/v1/rows-tx', body, _JSON_HEADERS
        )
        return _decode_page(response.body).schema_version

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object unless one of that name exists.

        Raises
        ------
        PlatformError
            `PLATFORM_CONFLICT` when the object exists.
        """
        if_absent = (('If-None-Match', '*'),)
        await self._write('PUT', f'/v1/blob-put/{name}', body, if_absent)

    async def get_object(self, name: str) -> bytes:
        """Fetch an object.

        Raises
        ------
        PlatformError
            `PLATFORM_NO_OBJECT` when the object does not exist.
        """
        return await self._read(f'/v1/blob-get/{name}', {})

    async def _read(
        self, path: str, fields: dict[str, str], wait_ms: int = 0
    ) -> bytes:
        query = urllib.parse.urlencode(fields)
        url = f'{path}?{query}' if query else path
        call = _carrier.StoreCall('GET', url, wait_ms=wait_ms)
        try:
            response = await self.carrier.send(call)
        except (_carrier.CallNotSent, _carrier.CallLost) as error:
            self.carrier.renew()
            raise _make_error(exceptions.Code.PLATFORM_DOWN, error) from error
        _check_status(response)
        return response.body

    async def _write(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> _carrier.StoreAnswer:
        response = await self._send(method, path, body, headers)
        status = response.status
        if status >= STATUS_SERVER_ERROR and status not in _ERROR_CODES:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_UNKNOWN, f'HTTP status {status}'
            )
        _check_status(response)
        return response

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> _carrier.StoreAnswer:
        """Send a request that may write.

        Raises
        ------
        PlatformError
            `PLATFORM_UNKNOWN` when the request was sent, but its outcome
            is not known.
        """
        call = _carrier.StoreCall(method, path, body, headers)
        try:
            return await self.carrier.send(call)
        except _carrier.CallNotSent as error:
            raise _make_error(exceptions.Code.PLATFORM_DOWN, error) from error
        except _carrier.CallLost as error:
            self.carrier.renew()
            raise _make_error(
                exceptions.Code.PLATFORM_UNKNOWN, error
            ) from error


def _make_transaction(
    table: str,
    conditions: Sequence[storage.Condition],
    puts: Sequence[storage.Put] = (),
    deletes: Sequence[str] = (),
) -> bytes:
    entries = len(conditions) + len(puts) + len(deletes)
    if entries > ENTRIES_LIMIT:
        raise exceptions.PlatformError(
            exceptions.Code.PLATFORM_REFUSED,
            f'transaction has too many entries: {entries}',
        )
    return _encode_entries(
        [_make_condition(table, item) for item in conditions],
        [_make_put(table, item) for item in puts],
        [_make_row_key(table, key) for key in deletes],
    )


def _encode_entries(
    conditions: list[dict[str, Any]],
    puts: list[dict[str, Any]],
    deletes: Sequence[dict[str, Any]] = (),
) -> bytes:
    return msgspec.json.encode(
        {'precondition': conditions, 'puts': puts, 'remove': list(deletes)}
    )


def _make_condition(table: str, item: storage.Condition) -> dict[str, Any]:
    return {**_make_row_key(table, item.key), 'schema_version': item.revision}


def _make_put(table: str, item: storage.Put) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode('ascii')
    return {**_make_row_key(table, item.key), 'value': value}


def _make_row_key(table: str, key: str) -> dict[str, Any]:
    return {'table': table, 'part': '', 'key': key}


def decode_rows(data: bytes) -> tuple[storage.Row, ...]:
    """Decode the rows of a response.

    A row whose value cannot be decoded is marked as unreadable; the other
    rows are not affected.

    Raises
    ------
    PlatformError
        When the response is not in the format of the store.
    """
    return _make_rows(_decode_page(data))


def _decode_page(data: bytes) -> _WirePage:
    try:
        return _PAGE_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _make_error(exceptions.Code.PLATFORM_REFUSED, error) from error


def _make_page(
    page: _WirePage, rows: tuple[storage.Row, ...], revision: int
) -> storage.RowsPage:
    return storage.RowsPage(rows, revision, _parse_now_ms(page.now))


def _parse_now_ms(text: str) -> int:
    """Return the clock of the store in milliseconds; 0 when it is invalid."""
    try:
        return _wire.parse_duration_ms(text)
    except ValueError:
        return 0


def _make_rows(page: _WirePage) -> tuple[storage.Row, ...]:
    return tuple(map(_make_row, page.rows))


def _make_row(row: _WireRow) -> storage.Row:
    try:
        value = base64.b64decode(row.value, validate=True)
    except (TypeError, ValueError):
        # The code that decodes the value logs the error.
        return storage.Row(
            row.key, row.schema_version, b'', row.deleted, is_readable=False
        )
    return storage.Row(row.key, row.schema_version, value, row.deleted)


def _check_status(
    response: _carrier.StoreAnswer, expected: int = STATUS_OK
) -> None:
    if response.status == expected:
        return
    code = _ERROR_CODES.get(response.status, exceptions.Code.PLATFORM_REFUSED)
    raise exceptions.PlatformError(code, f'HTTP status {response.status}')


def _make_error(
    code: exceptions.Code, error: Exception
) -> exceptions.PlatformError:
    detail = f'{type(error).__name__}: {error}'
    return exceptions.PlatformError(code, detail)
