"""Baseline proxy: round robin with one attempt per request."""

import itertools

from cheroot import wsgi
import urllib3

__all__ = ['make_passthrough']

THREADS = 16
TIMEOUT_S = 10.0
HOP_BY_HOP_HEADERS = frozenset(
    ('connection', 'transfer-encoding', 'keep-alive')
)


class _ForwardingApplication:
    """A WSGI application that forwards every request.

    Parameters
    ----------
    addresses : list of (str, int)
        Addresses and ports of the targets, used in round-robin order.
    """

    def __init__(self, addresses):
        self._pools = itertools.cycle(
            [
                urllib3.HTTPConnectionPool(
                    address, port, maxsize=THREADS, timeout=TIMEOUT_S
                )
                for address, port in addresses
            ]
        )

    def __call__(self, environ, start_response):
        """Forward one request and return its response."""
        length = int(environ.get('CONTENT_LENGTH') or 0)
        headers = {
            name[5:].replace('_', '-'): value
            for name, value in environ.items()
            if name.startswith('HTTP_')
        }
        try:
            response = next(self._pools).urlopen(
                environ['REQUEST_METHOD'],
                environ['REQUEST_URI'],
                body=environ['wsgi.input'].read(length) if length else None,
                headers=headers,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            start_response('502 Bad Gateway', [('Content-Length', '0')])
            return [b'']
        response_headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        start_response(
            f'{response.status} {response.reason}', response_headers
        )
        return [response.data]


def make_passthrough(
    address: str, port: int, targets: list[tuple[str, int]]
) -> wsgi.Server:
    """Make the baseline proxy; the caller starts and stops it."""
    server = wsgi.Server(
        (address, port), _ForwardingApplication(targets), numthreads=THREADS
    )
    server.request_queue_size = 256
    return server
