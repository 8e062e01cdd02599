"""Memory use of a proxy while it forwards a large upload.

The last line is one JSON object.
"""

import argparse
import http.client
import json
import pathlib
import time

from sedgering import testing

EXAMPLE_DIRECTORY = (
    pathlib.Path(__file__).parent.parent / 'examples' / 'tuulai'
)
HOST = 'tuulai.example'
CHUNK_BYTES = 1 << 20
WARM_UP_CHUNKS = 16
GROWTH_LIMIT_MB = 8
CHUNKS_PER_SAMPLE = 16


def main() -> None:
    """Send a small upload, then a large one; print the growth of memory."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--megabytes', type=int, default=1024)
    options = parser.parse_args()
    with testing.make_fleet('tuulai') as fleet:
        proxy = start(fleet)
        pid = proxy.process.pid
        measure_upload_peak_mb(proxy.data_port, WARM_UP_CHUNKS, pid)
        before_mb = read_rss_mb(pid)
        started_s = time.monotonic()
        peak_mb = measure_upload_peak_mb(
            proxy.data_port, options.megabytes, pid
        )
        elapsed_s = time.monotonic() - started_s
    print(
        json.dumps(
            {
                'bench': 'upload',
                'megabytes': options.megabytes,
                'rss_before_mb': before_mb,
                'rss_peak_mb': peak_mb,
                'growth_mb': round(peak_mb - before_mb, 1),
                'target_growth_mb': GROWTH_LIMIT_MB,
                'megabytes_per_s': round(options.megabytes / elapsed_s, 1),
            }
        )
    )


def start(fleet: testing.Fleet) -> testing.ProxyProcess:
    """Start one proxy and a target that counts bytes and stores none."""
    fleet.start_platform()
    fleet.add_proxies(['khan-uul'])
    proxy = fleet.proxies[0]
    fleet.start_targets(fleet.make_targets([proxy], ['archive']))
    fleet.wait_until(lambda: fleet.status(proxy), 'the proxy')
    fleet.wait_version(fleet.roll_file(EXAMPLE_DIRECTORY / 'bundle.yaml'))
    fleet.wait_targets({'archive': 1})
    return proxy


def measure_upload_peak_mb(port: int, chunks: int, pid: int) -> float:
    """Upload chunks; return the peak resident memory of the proxy in MB."""
    chunk = b'x' * CHUNK_BYTES
    peak_mb = 0.0
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=120)
    connection.putrequest('PUT', '/scores/recording.flac', skip_host=True)
    connection.putheader('Host', HOST)
    connection.putheader('Content-Length', str(chunks * CHUNK_BYTES))
    connection.endheaders()
    for number in range(chunks):
        connection.send(chunk)
        if number % CHUNKS_PER_SAMPLE == 0:
            peak_mb = max(peak_mb, read_rss_mb(pid))
    response = connection.getresponse()
    body = response.read()
    if response.status != 200:
        raise RuntimeError(body)
    connection.close()
    return max(peak_mb, read_rss_mb(pid))


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return round(int(line.split()[1]) / 1024, 1)
    raise RuntimeError('/proc/PID/status has no line VmRSS')


if __name__ == '__main__':
    main()
