"""Client of the platform's metadata store."""

import base64
from collections.abc import Sequence

import msgspec
import urllib3

from sedgering import exceptions
from sedgering.platform import _settings

__all__ = ['Condition', 'Page', 'Put', 'StoreClient', 'StoredRow']

#: Longest wait for an answer.  The store answers in 4 ms; when it is slow
#: it takes up to 60 times as long.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.7
#: Time beyond the wait of a watch after which its answer is taken as lost.
WATCH_MARGIN_S = 1.0
CONNECTIONS = 2

_CODES = {
    410: exceptions.Code.PLATFORM_HISTORY,
    412: exceptions.Code.PLATFORM_CONFLICT,
    429: exceptions.Code.PLATFORM_BUSY,
    503: exceptions.Code.PLATFORM_DOWN,
}
#: Failures before anything was sent.
_NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class StoredRow(msgspec.Struct, frozen=True):
    """One row of the store.

    Parameters
    ----------
    key : str
        Key in its table.
    value : bytes
        Content; empty when the row was removed.
    revision : int
        Counter of the store at which it was written.
    is_removed : bool
        Whether a watch tells of its removal.
    """

    key: str
    value: bytes
    revision: int
    is_removed: bool = False


class Page(msgspec.Struct, frozen=True):
    """Rows as of one moment.

    Parameters
    ----------
    rows : tuple of StoredRow
        In the order of keys, or of changes in a watch.
    revision : int
        Counter of the store at that moment.
    has_more : bool
        Whether rows are left out.
    """

    rows: tuple[StoredRow, ...]
    revision: int
    has_more: bool


class Condition(msgspec.Struct, frozen=True):
    """The row must be at this revision; 0 means that it must be absent."""

    table: str
    key: str
    revision: int


class Put(msgspec.Struct, frozen=True):
    """The row gets this value."""

    table: str
    key: str
    value: bytes


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

    Parameters
    ----------
    store_settings : StoreSettings
        Where the store listens.
    """

    def __init__(self, store_settings: _settings.StoreSettings):
        self.store_settings = store_settings
        self._pool = _make_pool(store_settings)

    def move(self, store_settings: _settings.StoreSettings) -> None:
        """Call the store at another address from now on."""
        self.store_settings = store_settings
        self._pool = _make_pool(store_settings)

    def read(self, table: str, start: str = '', end: str = '') -> Page:
        """Read all rows of a table, or those of a range of keys.

        Parameters
        ----------
        table : str
            Name of the table.
        start, end : str
            First key, and the first one left out; empty for no bound.

        Raises
        ------
        PlatformError
            When there is no answer.
        """
        rows: list[StoredRow] = []
        while True:
            fields = {'table': table, 'part': ''}
            if start:
                fields['from'] = start
            if end:
                fields['to'] = end
            page = _decode_page(self._read('/v1/rows-get', fields))
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                return Page(tuple(rows), page.revision, False)
            start = page.rows[-1].key + '\0'

    def watch(self, table: str, after: int, wait_ms: int) -> Page:
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
        return _decode_page(self._read('/v1/rows-feed', fields, timeout_s))

    def transact(
        self,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        removals: Sequence[tuple[str, str]] = (),
    ) -> int:
        """Write rows if all conditions hold.

        Parameters
        ----------
        conditions, puts : sequence
            What must hold, and what is written.
        removals : sequence of tuple of str
            Table and key of rows that are removed.

        Returns
        -------
        int
            Counter of the store after the write.

        Raises
        ------
        PlatformError
            `PLATFORM_CONFLICT` when a condition does not hold,
            `PLATFORM_UNKNOWN` when the write may have taken place or may
            yet do so.
        """
        body = {
            'precondition': [
                {
                    **_locate(item.table, item.key),
                    'schema_version': item.revision,
                }
                for item in conditions
            ],
            'puts': [
                {
                    **_locate(item.table, item.key),
                    'value': base64.b64encode(item.value).decode('ascii'),
                }
                for item in puts
            ],
            'remove': [_locate(table, key) for table, key in removals],
        }
        try:
            response = self._pool.urlopen(
                'POST',
                '/v1/rows-tx',
                body=msgspec.json.encode(body),
                headers={'Content-Type': 'application/json'},
                timeout=_make_timeout(CALL_TIMEOUT_S),
            )
        except _NEVER_SENT as error:
            raise _make_error(exceptions.Code.PLATFORM_DOWN, error) from error
        except urllib3.exceptions.HTTPError as error:
            raise _make_error(
                exceptions.Code.PLATFORM_UNKNOWN, error
            ) from error
        _check_status(response)
        return _decode_page(response.data).revision

    def _read(
        self, path: str, fields: dict[str, str], timeout_s=CALL_TIMEOUT_S
    ) -> bytes:
        try:
            response = self._pool.request_encode_url(
                'GET',
                path,
                fields=fields,
                timeout=_make_timeout(timeout_s),
            )
        except urllib3.exceptions.HTTPError as error:
            raise _make_error(exceptions.Code.PLATFORM_DOWN, error) from error
        _check_status(response)
        return response.data


def _make_pool(
    store_settings: _settings.StoreSettings,
) -> urllib3.HTTPConnectionPool:
    return urllib3.HTTPConnectionPool(
        store_settings.address,
        store_settings.port,
        maxsize=CONNECTIONS,
        retries=False,
    )


def _make_timeout(read_s: float) -> urllib3.Timeout:
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)


def _locate(table: str, key: str) -> dict[str, str]:
    return {'table': table, 'part': '', 'key': key}


def _decode_page(data: bytes) -> Page:
    try:
        page = msgspec.json.decode(data, type=_WirePage)
        rows = tuple(
            StoredRow(
                row.key,
                base64.b64decode(row.value),
                row.schema_version,
                row.deleted,
            )
            for row in page.rows
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise _make_error(exceptions.Code.PLATFORM_REFUSED, error) from error
    return Page(rows, page.schema_version, page.has_more)


def _check_status(response: urllib3.BaseHTTPResponse) -> None:
    if response.status == 200:
        return
    code = _CODES.get(response.status, exceptions.Code.PLATFORM_REFUSED)
    raise exceptions.PlatformError(code, f'status {response.status}')


def _make_error(
    code: exceptions.Code, error: Exception
) -> exceptions.PlatformError:
    detail = f'{type(error).__name__}: {error}'
    return exceptions.PlatformError(code, detail)
