"""Finds in logs what happened to a request, or on a host."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from sedgering import exceptions

__all__ = ['explain_host', 'explain_request', 'read_records']

#: Fields that every line has; the others are shown.
_COMMON = frozenset(
    ('time', 'level', 'logger', 'message', 'host', 'data_centre')
)
_CODES = {int(code): code for code in exceptions.Code}
#: Messages about single requests.
_ABOUT_REQUESTS = ('request ', 'attempt ')


def read_records(lines: Iterable[str]) -> Iterator[dict]:
    """Decode log lines; what stands before the brace is left out.

    Parameters
    ----------
    lines : iterable of str
        Of one or several daemons; lines that are no JSON are passed over.
    """
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            yield msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # Cut by whatever collected the logs.
            continue


def explain_request(records: Iterable[dict], request_id: str) -> Iterator[str]:
    """Tell the decisions on a request and on the calls made for it.

    Parameters
    ----------
    records : iterable of dict
        Decoded log lines.
    request_id : str
        As the caller sent it.
    """
    found = [record for record in records if _names(record, request_id)]
    if not found:
        yield (
            f'{request_id}: no line; a plain success is logged once in a '
            'hundred, a line over the limit is counted as dropped'
        )
        return
    for record in sorted(found, key=lambda item: item['time']):
        yield _format(record)
        code = _CODES.get(record.get('code'))
        if code is not None:
            yield f'    SDG-{int(code)}: {code.text}'


def explain_host(records: Iterable[dict], host: str) -> Iterator[str]:
    """Tell what a host believed: its own lines, and others' about it."""
    found = [
        record
        for record in records
        if host in (record.get('host'), record.get('peer'))
        and not record['message'].startswith(_ABOUT_REQUESTS)
    ]
    for record in sorted(found, key=lambda item: item['time']):
        yield _format(record)


def _names(record: dict, request_id: str) -> bool:
    """Say whether a line is about a request, alone or among others."""
    is_alone = record.get('request_id') == request_id
    return is_alone or request_id in record.get('request_ids', ())


def _format(record: dict) -> str:
    fields = [
        f'{name}={value}'
        for name, value in record.items()
        if name not in _COMMON and value not in ('', [])
    ]
    head = f'{record["time"]} {record.get("host", "")} {record["message"]}'
    return f'{head}: {" ".join(fields)}' if fields else head
