"""Client of the platform's metadata store: its calls, and how they fail."""

import base64
from collections.abc import Sequence
from typing import Any

import msgspec
import urllib3

from sedgering import exceptions
from sedgering.platform import _settings
from sedgering import storage

__all__ = ['StoreClient']

CONNECT_TIMEOUT_S = 0.7
#: Time beyond the wait of a watch after which its answer is taken as lost.
WATCH_MARGIN_S = 1.0
#: Idle connections kept: two watches, and one for all other calls.
CONNECTIONS = 3
#: Most entries of one transaction, as the store's page says.
ENTRIES_LIMIT = 100
#: Most rows of one answer.
PAGE_ROWS = 500
#: A revision that no row ever has; the largest whole number that every
#: JSON reader keeps exactly.
NO_REVISION = 2**53 - 1

STATUS_OK = 200
STATUS_MISSING = 404
STATUS_CONFLICT = 412
STATUS_SERVER_ERROR = 500
_CODES = {
    STATUS_MISSING: exceptions.Code.PLATFORM_NO_OBJECT,
    410: exceptions.Code.PLATFORM_HISTORY,
    STATUS_CONFLICT: exceptions.Code.PLATFORM_CONFLICT,
    429: exceptions.Code.PLATFORM_BUSY,
    # The store says that it has done nothing.
    503: exceptions.Code.PLATFORM_DOWN,
    # All of the room for objects is used.
    507: exceptions.Code.PLATFORM_REFUSED,
}
#: Failures before anything was sent.
_NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class _WireRow(msgspec.Struct):
    key: str
    value: str = ''
    #: The store's counter, not a version of a schema.
    schema_version: int = 0
    deleted: bool = False


class _WirePage(msgspec.Struct):
    rows: list[_WireRow] = []
    schema_version: int = 0
    has_more: bool = False


class StoreClient:
    """Calls to the store; every failure is a typed error.

    Threads may share one client.

    Parameters
    ----------
    store_settings : StoreSettings
        Where the store listens, and how long a call may take.
    """

    def __init__(self, store_settings: _settings.StoreSettings):
        self.store_settings = store_settings
        self._pool = _make_pool(store_settings)

    def move(self, store_settings: _settings.StoreSettings) -> None:
        """Call the store at another address from now on."""
        self.store_settings = store_settings
        self._renew_connections()

    def list_rows(
        self, table: str, start: str = '', end: str = '', limit: int = 0
    ) -> storage.RowsPage:
        """Read the rows of a range of keys.

        Parameters
        ----------
        table : str
            Name of the table.
        start, end : str
            First key, and the first one left out; empty for no bound.
        limit : int
            Most rows; 0 for all.

        Raises
        ------
        PlatformError
            When there is no answer.
        """
        rows: list[storage.Row] = []
        while True:
            fields = {'table': table, 'part': ''}
            if start:
                fields['from'] = start
            if end:
                fields['to'] = end
            if limit:
                fields['limit'] = str(min(PAGE_ROWS, limit - len(rows)))
            page = _decode_page(self._read('/v1/rows-get', fields))
            rows.extend(_make_rows(page))
            is_full = limit and len(rows) >= limit
            if is_full or not page.has_more or not page.rows:
                return storage.RowsPage(tuple(rows), page.schema_version)
            start = page.rows[-1].key + '\0'

    def read_rows(
        self, table: str, keys: Sequence[str]
    ) -> tuple[storage.Row, ...]:
        """Read rows by key as of one moment.

        The store reads one range of keys at a time.  A transaction whose
        conditions cannot hold changes nothing, and is refused with the
        present rows of all its conditions.

        Raises
        ------
        PlatformError
            When there is no answer.
        """
        if len(keys) == 1:
            page = self.list_rows(table, keys[0], keys[0] + '\0')
            found = {row.key: row for row in page.rows}
        else:
            conditions = [storage.Condition(key, NO_REVISION) for key in keys]
            body = _make_transaction(table, conditions)
            response = self._send('POST', '/v1/rows-tx', body)
            _check_status(response, STATUS_CONFLICT)
            rows = _make_rows(_decode_page(response.data))
            found = {row.key: row for row in rows if row.revision}
        return tuple(found.get(key) or storage.Row(key) for key in keys)

    def watch(self, table: str, after: int, wait_ms: int) -> storage.RowsPage:
        """Wait for changes of a table.

        Raises
        ------
        PlatformError
            When there is no answer, or with `PLATFORM_HISTORY` when the
            changes are no longer known.
        """
        fields = {
            'table': table,
            'after': str(after),
            'wait_ms': str(wait_ms),
        }
        timeout_s = wait_ms / 1000 + WATCH_MARGIN_S
        page = _decode_page(self._read('/v1/rows-feed', fields, timeout_s))
        return storage.RowsPage(_make_rows(page), page.schema_version)

    def transact(self, table: str, transaction: storage.Transaction) -> int:
        """Write rows if all conditions hold.

        Returns
        -------
        int
            Revision of the rows written.

        Raises
        ------
        PlatformError
            `PLATFORM_CONFLICT` when a condition does not hold,
            `PLATFORM_UNKNOWN` when the write may have taken place or may
            yet do so.
        """
        body = _make_transaction(
            table,
            transaction.conditions,
            transaction.puts,
            transaction.deletes,
        )
        response = self._write('POST', '/v1/rows-tx', body)
        return _decode_page(response.data).schema_version

    def put_object(self, name: str, body: bytes) -> None:
        """Store an object unless it is there.

        Raises
        ------
        PlatformError
            `PLATFORM_CONFLICT` when it is there already.
        """
        path = f'/v1/blob-put/{name}'
        self._write('PUT', path, body, {'If-None-Match': '*'})

    def get_object(self, name: str) -> bytes:
        """Fetch an object.

        Raises
        ------
        PlatformError
            `PLATFORM_NO_OBJECT` when it is missing.
        """
        return self._read(f'/v1/blob-get/{name}', {})

    def _read(
        self, path: str, fields: dict[str, str], timeout_s: float = 0.0
    ) -> bytes:
        try:
            response = self._pool.request_encode_url(
                'GET', path, fields=fields, timeout=self._limit_time(timeout_s)
            )
        except urllib3.exceptions.HTTPError as error:
            self._renew_connections()
            raise _make_error(exceptions.Code.PLATFORM_DOWN, error) from error
        _check_status(response)
        return response.data

    def _write(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        response = self._send(method, path, body, headers)
        status = response.status
        if status >= STATUS_SERVER_ERROR and status not in _CODES:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_UNKNOWN, f'status {status}'
            )
        _check_status(response)
        return response

    def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a call that may write."""
        try:
            return self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers or {'Content-Type': 'application/json'},
                timeout=self._limit_time(),
            )
        except _NEVER_SENT as error:
            raise _make_error(exceptions.Code.PLATFORM_DOWN, error) from error
        except urllib3.exceptions.HTTPError as error:
            self._renew_connections()
            raise _make_error(
                exceptions.Code.PLATFORM_UNKNOWN, error
            ) from error

    def _limit_time(self, read_s: float = 0.0) -> urllib3.Timeout:
        usual_s = self.store_settings.timeout_ms / 1000
        return urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, usual_s), read=read_s or usual_s
        )

    def _renew_connections(self) -> None:
        """Use none of the idle connections again.

        When one has fallen silent the others may have, too, and each
        would cost a whole time limit.
        """
        old, self._pool = self._pool, _make_pool(self.store_settings)
        old.close()


def _make_pool(
    store_settings: _settings.StoreSettings,
) -> urllib3.HTTPConnectionPool:
    return urllib3.HTTPConnectionPool(
        store_settings.address,
        store_settings.port,
        maxsize=CONNECTIONS,
        retries=False,
    )


def _make_transaction(
    table: str,
    conditions: Sequence[storage.Condition],
    puts: Sequence[storage.Put] = (),
    deletes: Sequence[str] = (),
) -> bytes:
    entries = len(conditions) + len(puts) + len(deletes)
    if entries > ENTRIES_LIMIT:
        raise exceptions.PlatformError(
            exceptions.Code.PLATFORM_REFUSED, f'{entries} entries'
        )
    return msgspec.json.encode(
        {
            'precondition': [
                {**_locate(table, item.key), 'schema_version': item.revision}
                for item in conditions
            ],
            'puts': [
                {
                    **_locate(table, item.key),
                    'value': base64.b64encode(item.value).decode('ascii'),
                }
                for item in puts
            ],
            'remove': [_locate(table, key) for key in deletes],
        }
    )


def _locate(table: str, key: str) -> dict[str, Any]:
    return {'table': table, 'part': '', 'key': key}


def _decode_page(data: bytes) -> _WirePage:
    try:
        return msgspec.json.decode(data, type=_WirePage)
    except msgspec.MsgspecError as error:
        raise _make_error(exceptions.Code.PLATFORM_REFUSED, error) from error


def _make_rows(page: _WirePage) -> tuple[storage.Row, ...]:
    try:
        return tuple(
            storage.Row(
                row.key,
                row.schema_version,
                base64.b64decode(row.value),
                row.deleted,
            )
            for row in page.rows
        )
    except ValueError as error:
        raise _make_error(exceptions.Code.PLATFORM_REFUSED, error) from error


def _check_status(
    response: urllib3.BaseHTTPResponse, expected: int = STATUS_OK
) -> None:
    if response.status == expected:
        return
    code = _CODES.get(response.status, exceptions.Code.PLATFORM_REFUSED)
    raise exceptions.PlatformError(code, f'status {response.status}')


def _make_error(
    code: exceptions.Code, error: Exception
) -> exceptions.PlatformError:
    detail = f'{type(error).__name__}: {error}'
    return exceptions.PlatformError(code, detail)
