"""Extraction of the log records about a request or a host."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from sedgering import exceptions

__all__ = ['explain_host', 'explain_request', 'read_records']

#: Fields that every record has; only the other fields are listed.
_COMMON_FIELDS = frozenset(
    ('time', 'level', 'logger', 'message', 'host', 'data_centre')
)
_CODES_BY_NUMBER = {int(code): code for code in exceptions.Code}
#: Prefixes of the messages about a single request.
_REQUEST_PREFIXES = ('request ', 'attempt ')


def read_records(lines: Iterable[str]) -> Iterator[dict]:
    """Decode log lines, ignoring any prefix before the JSON object.

    Parameters
    ----------
    lines : iterable of str
        Log lines of one or more daemons; lines without a JSON record are
        skipped.
    """
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            yield msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # The log collector may have truncated the line.
            continue


def explain_request(records: Iterable[dict], request_id: str) -> Iterator[str]:
    """Describe the decisions on a request and on the calls made for it.

    Parameters
    ----------
    records : iterable of dict
        Decoded log lines.
    request_id : str
        Request id, as sent by the caller.

    Yields
    ------
    str
        One line for each record, in order of time, and the meaning of its
        error code.
    """
    matching = [
        record for record in records if _is_about_request(record, request_id)
    ]
    if not matching:
        yield (
            f'{request_id}: no log line; only one in a hundred plain '
            'successes is logged, and lines over the rate limit are dropped '
            'and counted'
        )
        return
    for record in sorted(matching, key=lambda item: item['time']):
        yield _format_record(record)
        code = _CODES_BY_NUMBER.get(record.get('code'))
        if code is not None:
            yield f'    SDG-{int(code)}: {code.text}'


def explain_host(records: Iterable[dict], host: str) -> Iterator[str]:
    """Describe what a host logged, and what its peers logged about it.

    Yields
    ------
    str
        One line for each record that the host wrote or that names it as a
        peer, in order of time, without those about single requests.
    """
    matching = [
        record
        for record in records
        if host in (record.get('host'), record.get('peer'))
        and not record['message'].startswith(_REQUEST_PREFIXES)
    ]
    for record in sorted(matching, key=lambda item: item['time']):
        yield _format_record(record)


def _is_about_request(record: dict, request_id: str) -> bool:
    """Return whether a record names a request, alone or among others."""
    is_sole_request = record.get('request_id') == request_id
    return is_sole_request or request_id in record.get('request_ids', ())


def _format_record(record: dict) -> str:
    fields = [
        f'{name}={value}'
        for name, value in record.items()
        if name not in _COMMON_FIELDS and value not in ('', [])
    ]
    head = f'{record["time"]} {record.get("host", "")} {record["message"]}'
    return f'{head}: {" ".join(fields)}' if fields else head
