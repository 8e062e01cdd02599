"""Memory of a proxy while a large upload passes through it.

The last line is one JSON object.
"""

import argparse
import http.client
import json
import pathlib
import time

from sedgering import testing

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'tuulai'
HOST = 'tuulai.example'
CHUNK_BYTES = 1 << 20
WARM_UP_CHUNKS = 16
TARGET_GROWTH_MB = 8
SAMPLE_EVERY = 16


def main() -> None:
    """Upload once small, then large; print how memory grew."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--megabytes', type=int, default=1024)
    options = parser.parse_args()
    with testing.make_fleet('tuulai') as fleet:
        proxy = start(fleet)
        pid = proxy.process.pid
        upload(proxy.data_port, WARM_UP_CHUNKS, pid)
        before_mb = read_rss_mb(pid)
        started_s = time.monotonic()
        peak_mb = upload(proxy.data_port, options.megabytes, pid)
        elapsed_s = time.monotonic() - started_s
    print(
        json.dumps(
            {
                'bench': 'upload',
                'megabytes': options.megabytes,
                'rss_before_mb': before_mb,
                'rss_peak_mb': peak_mb,
                'growth_mb': round(peak_mb - before_mb, 1),
                'target_growth_mb': TARGET_GROWTH_MB,
                'megabytes_per_s': round(options.megabytes / elapsed_s, 1),
            }
        )
    )


def start(fleet: testing.Fleet) -> testing.ProxyProcess:
    """Start one proxy and a target that counts bytes and keeps none."""
    fleet.start_platform()
    fleet.add_proxies(['khan-uul'])
    proxy = fleet.proxies[0]
    fleet.start_targets(fleet.make_targets([proxy], ['archive']))
    fleet.wait_until(lambda: fleet.status(proxy), 'the proxy')
    fleet.wait_version(fleet.roll_file(EXAMPLE / 'bundle.yaml'))
    fleet.wait_targets({'archive': 1})
    return proxy


def upload(port: int, chunks: int, pid: int) -> float:
    """Upload chunks; return the greatest memory seen meanwhile."""
    chunk = b'x' * CHUNK_BYTES
    peak_mb = 0.0
    caller = http.client.HTTPConnection('127.0.0.1', port, timeout=120)
    caller.putrequest('PUT', '/scores/recording.flac', skip_host=True)
    caller.putheader('Host', HOST)
    caller.putheader('Content-Length', str(chunks * CHUNK_BYTES))
    caller.endheaders()
    for number in range(chunks):
        caller.send(chunk)
        if number % SAMPLE_EVERY == 0:
            peak_mb = max(peak_mb, read_rss_mb(pid))
    response = caller.getresponse()
    body = response.read()
    if response.status != 200:
        raise RuntimeError(body)
    caller.close()
    return max(peak_mb, read_rss_mb(pid))


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return round(int(line.split()[1]) / 1024, 1)
    raise RuntimeError('no VmRSS')


if __name__ == '__main__':
    main()
