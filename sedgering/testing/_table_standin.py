"""Stand-in of the platform's metadata store, as its protocol is published.

Rows only; it runs in an event loop of the test.
"""

import asyncio
import base64
import enum
import json
import urllib.parse

from sedgering import transport

__all__ = ['StoreMode', 'TableStandin']

#: Rows returned by one read.
PAGE_ROWS = 500


class StoreMode(enum.Enum):
    """How the store treats calls."""

    SOUND = 'sound'
    BUSY = 'busy'
    LIMITED = 'limited'
    RESET = 'reset'
    SILENT = 'silent'
    #: Writes are done, and their answers are lost.
    LOSE_ANSWERS = 'lose answers'
    #: Writes are done after `late_s`, and their answers are lost.
    LATE = 'late'


class TableStandin(transport.Service):
    """Rows with a change feed, conditional transactions and faults."""

    def __init__(self):
        super().__init__()
        self.mode = StoreMode.SOUND
        self.slow_s = 0.0
        self.late_s = 0.1
        self.calls: list[str] = []
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._changes: list[tuple[int, str, dict]] = []
        self._revision = 0
        self._oldest = 0
        self._changed = asyncio.Condition()

    def find_limits(self) -> transport.CallerLimits:
        """Return the usual limits."""
        return transport.CallerLimits()

    async def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row, as the operator does."""
        async with self._changed:
            self._apply(table, key, value)
            self._changed.notify_all()

    def read(self, table: str, key: str) -> bytes | None:
        """Return the value of a row."""
        found = self._rows.get((table, key))
        return base64.b64decode(found[0]) if found else None

    def compact(self) -> None:
        """Drop the history: feeds answer 410."""
        self._oldest = self._revision + 1
        self._revision += 1

    async def answer(
        self, request: transport.Request
    ) -> transport.Response | None:
        """Answer one call."""
        path, _mark, query = request.url.partition('?')
        self.calls.append(path)
        fields = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(self.slow_s)
        refused = await self._refuse()
        if refused is not None:
            return refused
        if self.mode is StoreMode.RESET:
            return None
        if path == '/v1/rows-get':
            return self._read_rows(fields)
        if path == '/v1/rows-feed':
            return await self._feed(fields)
        if path == '/v1/rows-tx':
            return await self._transact(json.loads(request.body))
        return transport.make_json_response(404, {})

    async def _refuse(self) -> transport.Response | None:
        if self.mode is StoreMode.BUSY:
            return transport.make_json_response(503, {})
        if self.mode is StoreMode.LIMITED:
            return transport.make_json_response(429, {})
        if self.mode is StoreMode.SILENT:
            await asyncio.sleep(3600)
        return None

    def _read_rows(self, fields: dict[str, str]) -> transport.Response:
        start, end = fields.get('from', ''), fields.get('to')
        rows = [
            {'key': key, 'value': value, 'schema_version': revision}
            for (table, key), (value, revision) in sorted(self._rows.items())
            if table == fields['table']
            and key >= start
            and (end is None or key < end)
        ]
        page = rows[:PAGE_ROWS]
        return self._respond({'rows': page, 'has_more': len(page) < len(rows)})

    async def _feed(self, fields: dict[str, str]) -> transport.Response:
        after = int(fields['after'])
        if after < self._oldest:
            return transport.make_json_response(410, {})
        try:
            async with asyncio.timeout(int(fields['wait_ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._since(fields['table'], after)
                    )
        except TimeoutError:
            return self._respond({'rows': []})
        return self._respond({'rows': self._since(fields['table'], after)})

    def _since(self, table: str, after: int) -> list[dict]:
        return [
            row
            for revision, other, row in self._changes
            if revision > after and other == table
        ]

    async def _transact(self, body: dict) -> transport.Response | None:
        if self.mode is StoreMode.LATE:
            await asyncio.sleep(self.late_s)
        async with self._changed:
            for item in body['precondition']:
                found = self._rows.get((item['table'], item['key']))
                if (found[1] if found else 0) != item['schema_version']:
                    return self._respond({'rows': []}, 412)
            self._revision += 1
            for item in body['puts']:
                value = base64.b64decode(item['value'])
                self._apply(item['table'], item['key'], value, False)
            for item in body['remove']:
                self._apply(item['table'], item['key'], None, False)
            self._changed.notify_all()
        if self.mode in (StoreMode.LOSE_ANSWERS, StoreMode.LATE):
            return None
        return self._respond({})

    def _apply(
        self, table: str, key: str, value: bytes | None, is_new: bool = True
    ) -> None:
        if is_new:
            self._revision += 1
        row = {'key': key, 'schema_version': self._revision}
        if value is None:
            self._rows.pop((table, key), None)
            row['deleted'] = True
        else:
            row['value'] = base64.b64encode(value).decode('ascii')
            self._rows[(table, key)] = (row['value'], self._revision)
        self._changes.append((self._revision, table, row))

    def _respond(self, body: dict, status: int = 200) -> transport.Response:
        body['schema_version'] = self._revision
        return transport.make_json_response(status, body)
