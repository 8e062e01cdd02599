"""In-memory metadata store that serves the platform's published protocol."""

import asyncio
import base64
import json
import threading
import time
import urllib.parse

import msgspec

from sedgering import exceptions
from sedgering import storage
from sedgering.testing import _engine
from sedgering.testing import _loops
from sedgering import transport

__all__ = ['StoreServer', 'StoreService']

#: Maximum number of rows in the response to one read.
PAGE_ROWS = 500
#: Delay of responses in the mode `SILENT`; longer than any test.
SILENT_DELAY_S = 3600
_STATUS_BY_CODE = {
    exceptions.Code.PLATFORM_DOWN: 503,
    exceptions.Code.PLATFORM_BUSY: 429,
    exceptions.Code.PLATFORM_HISTORY: 410,
}
_GET_PREFIX = '/v1/blob-get/'
_PUT_PREFIX = '/v1/blob-put/'
#: Calls that control the stand-in itself; faults do not affect them.
_CONTROL_PREFIX = '/standin/'

_Response = transport.Response


class StoreService(transport.Service):
    """Handles the calls to the store.

    Parameters
    ----------
    engine : PlatformEngine
        Rows, objects and faults.
    """

    def __init__(self, engine: _engine.PlatformEngine):
        super().__init__()
        self.engine = engine
        self._loop = asyncio.get_running_loop()
        self._changed = asyncio.Event()
        engine.listeners.append(self._notify_change)

    def find_limits(self) -> transport.CallerLimits:
        """Return the default limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> _Response | None:
        """Handle one call; None closes the connection without a response."""
        path, _mark, query = request.url.partition('?')
        if path.startswith(_CONTROL_PREFIX):
            return self._handle_control(path, request.body)
        faults = self.engine.faults
        await asyncio.sleep(faults.slow_ms / 1000)
        if faults.mode is _engine.StoreMode.SILENT:
            await asyncio.sleep(SILENT_DELAY_S)
        if faults.mode is _engine.StoreMode.RESET:
            return None
        fields = dict(urllib.parse.parse_qsl(query))
        try:
            response = await self._handle(path, fields, request)
        except _engine.ResponseLost:
            return None
        except exceptions.PlatformError as error:
            response = transport.make_json_response(
                _STATUS_BY_CODE[error.code], {}
            )
        self.engine.stats.bytes_out += len(response.body)
        return response

    async def _handle(
        self, path: str, fields: dict[str, str], request: transport.Request
    ) -> _Response:
        if path == '/v1/rows-get':
            return self._read_rows(fields)
        if path == '/v1/rows-feed':
            return await self._watch(fields)
        if path == '/v1/rows-tx':
            return await self._transact(json.loads(request.body))
        if path.startswith(_PUT_PREFIX):
            name = path.removeprefix(_PUT_PREFIX)
            is_new = self.engine.put_object(name, request.body)
            return transport.make_json_response(200 if is_new else 412, {})
        if path.startswith(_GET_PREFIX):
            return self._get_object(path.removeprefix(_GET_PREFIX))
        return transport.make_json_response(404, {})

    def _read_rows(self, fields: dict[str, str]) -> _Response:
        rows = self.engine.list_rows(
            fields['table'], fields.get('from', ''), fields.get('to', '')
        )
        limit = min(PAGE_ROWS, int(fields.get('limit', PAGE_ROWS)))
        return self._make_rows_response(
            rows[:limit], has_more=len(rows) > limit
        )

    async def _watch(self, fields: dict[str, str]) -> _Response:
        table, after = fields['table'], int(fields['after'])
        self.engine.admit_watch()
        try:
            async with asyncio.timeout(int(fields['wait_ms']) / 1000):
                while not self.engine.find_changes(table, after):
                    await self._changed.wait()
        except TimeoutError:
            return self._make_rows_response(())
        return self._make_rows_response(self.engine.find_changes(table, after))

    async def _transact(self, body: dict) -> _Response:
        faults = self.engine.faults
        is_delayed = faults.mode is _engine.StoreMode.LATE
        if is_delayed:
            await asyncio.sleep(faults.late_ms / 1000)
        conditions = _decode_entries(body['precondition'])
        is_met = self.engine.apply(
            conditions,
            _decode_entries(body['puts']),
            _decode_entries(body['remove']),
        )
        if is_delayed:
            raise _engine.ResponseLost
        if is_met:
            return self._make_rows_response(())
        present = [
            self.engine.read((entry.key,), entry.table)[0]
            for entry in conditions
        ]
        return self._make_rows_response(
            [row for row in present if row.revision], 412
        )

    def _get_object(self, name: str) -> _Response:
        body = self.engine.get_object(name)
        if body is None:
            return transport.make_json_response(404, {})
        return transport.Response(200, [], body)

    def _handle_control(self, path: str, body: bytes) -> _Response:
        if path == '/standin/faults':
            self.engine.faults = msgspec.json.decode(body, type=_engine.Faults)
        stats = msgspec.to_builtins(self.engine.stats)
        return transport.make_json_response(200, stats)

    def _make_rows_response(
        self, rows, status: int = 200, has_more: bool = False
    ) -> _Response:
        body = {
            'rows': [_encode_row(row) for row in rows],
            'has_more': has_more,
            'schema_version': self.engine.revision,
            'now': f'{int(time.monotonic() * 1000)}ms',
        }
        return transport.make_json_response(status, body)

    def _notify_change(self) -> None:
        self._loop.call_soon_threadsafe(self._wake_watches)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _decode_entries(items: list[dict]) -> list[_engine.TableEntry]:
    return [
        _engine.TableEntry(
            item['table'],
            item['key'],
            item.get('schema_version', 0),
            base64.b64decode(item.get('value', '')),
        )
        for item in items
    ]


def _encode_row(row: storage.Row) -> dict:
    found = {'key': row.key, 'schema_version': row.revision}
    if row.is_removed:
        return {**found, 'deleted': True}
    value = base64.b64encode(row.value).decode('ascii')
    return {**found, 'value': value}


class StoreServer:
    """Runs the store in a separate thread with its own event loop.

    Parameters
    ----------
    address, port
        Address and port to listen on.
    engine : PlatformEngine
        Rows, objects and faults.
    """

    def __init__(self, address: str, port: int, engine):
        self.address = address
        self.port = port
        self.engine = engine
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._service: StoreService | None = None
        self._server: asyncio.AbstractServer | None = None

    def start(self) -> None:
        """Start the thread and listen."""
        self._thread.start()
        self._run(self._listen())

    def stop(self) -> None:
        """Stop immediately and abort all connections."""
        if self._loop.is_closed():
            return
        self._run(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        _loops.finish_loop(self._loop)

    def _run(self, work) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result()

    async def _listen(self) -> None:
        self._service = StoreService(self.engine)
        self._server = await transport.serve(
            self._service, self.address, self.port
        )

    async def _close(self) -> None:
        self._server.close()
        for connection in list(self._service.connections):
            connection.transport.abort()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
