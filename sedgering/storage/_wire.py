"""Bodies of the platform's HTTP interface; docs/platform.md publishes it."""

import msgspec

from sedgering.storage import _base

__all__ = [
    'ErrorBody',
    'NOT_RUN_HEADER',
    'ReadRequest',
    'RowsBody',
    'ScanRequest',
]

#: Set on an error answer that proves that nothing was written.
NOT_RUN_HEADER = 'X-Platform-Not-Run'


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/table/read`."""

    keys: tuple[str, ...]


class ScanRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/table/scan`."""

    prefix: str
    after: str = ''
    limit: int = 1000


class RowsBody(msgspec.Struct, frozen=True):
    """Answer to a read or scan."""

    rows: tuple[_base.Row, ...]


class ErrorBody(msgspec.Struct, frozen=True):
    """Answer with a status of 400 or more."""

    error: str
