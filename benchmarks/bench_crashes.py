"""What it costs to know of requests under which targets ended.

    .venv/bin/python benchmarks/bench_crashes.py

Least, median and most of five runs of a look at a request, in microseconds;
the size of a row and of a message; the room of a full table.  The last line is
one JSON object.
"""

import json
import logging
import statistics
import timeit
import tracemalloc

import msgspec

from sedgering import clock
from sedgering import mesh
from sedgering.mesh import _crash_notice
from sedgering import testing
from sedgering import transport

RUNS = 5
LOOKS = 20_000
ENTRIES = 512
SUSPECTS = 18
MAX_SUSPECTS = 32
MAX_CRASHES = 4
FIELDS = {
    'host': 'calendar.example',
    'user-agent': 'sdk-client/1.9.3',
    'accept': '*/*',
    'x-request-id': '9c41d07be2a35f68',
    'x-request-deadline': '1500',
}


def make_request(number: int) -> transport.Request:
    """Make a request such as callers send."""
    return transport.Request(
        'GET',
        f'/lepu270/{number:06x}',
        list(FIELDS.items()),
        fields=dict(FIELDS),
    )


def make_table(suspects: int) -> mesh.CrashTable:
    """Make a table that knows some requests."""
    settings = mesh.MeshSettings()
    table = mesh.CrashTable(
        settings.caller_fields, settings.quarantine_crashes, lambda: 0.0
    )
    table.add_record(make_record(table, suspects, 0))
    return table


def make_record(
    table: mesh.CrashTable, suspects: int, first: int
) -> mesh.CrashRecord:
    """Make the record of an end."""
    return mesh.CrashRecord(
        mesh.CrashId('i-7f3a91c2@1764727000000'),
        clock.wall_ms(),
        tuple(
            table.make_fingerprint(make_request(first + number))
            for number in range(suspects)
        ),
    )


def measure_look(table: mesh.CrashTable, number: int) -> list[float]:
    """Return how long one look takes: least, median and most."""
    request = make_request(number)
    runs_us = [
        timeit.timeit(lambda: table.find(request), number=LOOKS) / LOOKS * 1e6
        for _ in range(RUNS)
    ]
    found = (min(runs_us), statistics.median(runs_us), max(runs_us))
    return [round(value_us, 2) for value_us in found]


def measure_rows() -> dict[str, int]:
    """Return the sizes of what is sent where a target ends."""
    table = make_table(0)
    usual = make_record(table, SUSPECTS, 0)
    largest = make_record(table, MAX_SUSPECTS, 0)
    largest = msgspec.structs.replace(largest, trials=largest.suspects)
    sizes = {'message': len(_crash_notice.encode_notice(usual))}
    for name, crashes in (
        ('row_without_ends', ()),
        ('row_one_end', (usual,)),
        ('row_largest', (largest,) * MAX_CRASHES),
    ):
        row = testing.make_member_row('sidecar-1', crashes=crashes)
        sizes[name] = len(msgspec.json.encode(row))
    return sizes


def measure_table() -> int:
    """Return the room of a full table in bytes."""
    tracemalloc.start()
    table = make_table(0)
    for number in range(ENTRIES):
        fingerprint = table.make_fingerprint(make_request(number))
        for crash in ('a', 'b', 'c'):
            name = mesh.CrashId(crash + 'i' * 20)
            table.add_crashes(fingerprint, (mesh.CrashEvidence(name, True),))
    size_bytes, _peak_bytes = tracemalloc.get_traced_memory()
    assert len(table) == ENTRIES
    return size_bytes


def main() -> None:
    """Measure, and print the figures."""
    logging.disable(logging.CRITICAL)
    looks_us = {
        'nothing_known': measure_look(make_table(0), 0),
        'another_url': measure_look(make_table(SUSPECTS), SUSPECTS),
        'a_suspect': measure_look(make_table(SUSPECTS), 0),
    }
    figures = {
        'bench': 'crashes',
        'look_us': looks_us,
        'bytes': measure_rows(),
        'table_bytes': measure_table(),
    }
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
