"""Cost of tracking requests during which targets crashed.

    .venv/bin/python benchmarks/bench_crashes.py

Measures the lookup of a request in microseconds, as minimum, median and
maximum of five runs; the sizes of member rows and of a crash notice in bytes;
and the memory of a full table in bytes.  The last line is one JSON object.
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
LOOKUPS_PER_RUN = 20_000
TABLE_ENTRIES = 512
SUSPECTS = 18
MAX_SUSPECTS = 32
MAX_CRASHES = 4
HEADERS = {
    'host': 'calendar.example',
    'user-agent': 'sdk-client/1.9.3',
    'accept': '*/*',
    'x-request-id': '9c41d07be2a35f68',
    'x-request-deadline': '1500',
}


def make_request(number: int) -> transport.Request:
    """Make a typical request of a caller."""
    return transport.Request(
        'GET',
        f'/lepu270/{number:06x}',
        list(HEADERS.items()),
        fields=dict(HEADERS),
    )


def make_table(suspects: int) -> mesh.CrashTable:
    """Make a table that holds one crash with some suspected requests."""
    settings = mesh.MeshSettings()
    table = mesh.CrashTable(
        settings.caller_fields, settings.quarantine_crashes, lambda: 0.0
    )
    table.add_record(make_record(table, suspects, 0))
    return table


def make_record(
    table: mesh.CrashTable, suspects: int, first_number: int
) -> mesh.CrashRecord:
    """Make the record of a crash with some suspected requests."""
    return mesh.CrashRecord(
        mesh.CrashId('i-7f3a91c2@1764727000000'),
        clock.wall_ms(),
        tuple(
            table.make_fingerprint(make_request(first_number + number))
            for number in range(suspects)
        ),
    )


def measure_lookup_us(table: mesh.CrashTable, number: int) -> list[float]:
    """Return the minimum, median and maximum time of one lookup."""
    request = make_request(number)
    runs_us = [
        timeit.timeit(lambda: table.find(request), number=LOOKUPS_PER_RUN)
        / LOOKUPS_PER_RUN
        * 1e6
        for _ in range(RUNS)
    ]
    summary_us = (min(runs_us), statistics.median(runs_us), max(runs_us))
    return [round(value_us, 2) for value_us in summary_us]


def measure_sizes_bytes() -> dict[str, int]:
    """Return the sizes of the notice and rows sent after a crash."""
    table = make_table(0)
    typical = make_record(table, SUSPECTS, 0)
    largest = make_record(table, MAX_SUSPECTS, 0)
    largest = msgspec.structs.replace(largest, trials=largest.suspects)
    sizes = {'message': len(_crash_notice.encode_notice(typical))}
    for name, crashes in (
        ('row_without_ends', ()),
        ('row_one_end', (typical,)),
        ('row_largest', (largest,) * MAX_CRASHES),
    ):
        row = testing.make_member_row('sidecar-1', crashes=crashes)
        sizes[name] = len(msgspec.json.encode(row))
    return sizes


def measure_table_bytes() -> int:
    """Return the memory of a full table."""
    tracemalloc.start()
    table = make_table(0)
    for number in range(TABLE_ENTRIES):
        fingerprint = table.make_fingerprint(make_request(number))
        for crash in ('a', 'b', 'c'):
            name = mesh.CrashId(crash + 'i' * 20)
            table.add_crashes(fingerprint, (mesh.CrashEvidence(name, True),))
    size_bytes, _peak_bytes = tracemalloc.get_traced_memory()
    assert len(table) == TABLE_ENTRIES
    return size_bytes


def main() -> None:
    """Measure and print the results."""
    logging.disable(logging.CRITICAL)
    lookups_us = {
        'nothing_known': measure_lookup_us(make_table(0), 0),
        'another_url': measure_lookup_us(make_table(SUSPECTS), SUSPECTS),
        'a_suspect': measure_lookup_us(make_table(SUSPECTS), 0),
    }
    results = {
        'bench': 'crashes',
        'look_us': lookups_us,
        'bytes': measure_sizes_bytes(),
        'table_bytes': measure_table_bytes(),
    }
    print(json.dumps(results))


if __name__ == '__main__':
    main()
