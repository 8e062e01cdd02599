"""Baseline for comparison: each proxy polls the whole bundle itself."""

import threading

from sedgering import base
from sedgering import bundle as bundles
from sedgering import clock
from sedgering import exceptions
from sedgering import release
from sedgering import storage

__all__ = ['NaivePoller', 'make_sample_bundle']

#: Size of the headers of a request and its response on a persistent
#: connection.
HEADER_OVERHEAD_BYTES = 300


class NaivePoller:
    """Polls the head record and the whole bundle at a fixed interval.

    Parameters
    ----------
    store : GuardedStore
        Store that holds the head record and the bundle.
    interval_s : float
        Delay between two polls, in seconds.
    offset_s : float
        Delay before the first poll, in seconds.
    """

    def __init__(self, store, interval_s: float, offset_s: float):
        self.store: storage.GuardedStore = store
        self.interval_s = interval_s
        self.offset_s = offset_s
        self.received_bytes = 0
        self.polls = 0
        self.failures = 0
        self.applied_at_ms: dict[base.Version, int] = {}
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start polling in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current poll and wait for the thread."""
        self._is_stopped.set()
        self._thread.join(30)

    def _run(self) -> None:
        self._is_stopped.wait(self.offset_s)
        while not self._is_stopped.is_set():
            try:
                self._poll()
            except exceptions.SedgeringError:
                self.failures += 1
            self._is_stopped.wait(self.interval_s)

    def _poll(self) -> None:
        self.polls += 1
        (row,) = self.store.read([release.HEAD_KEY])
        self.received_bytes += len(row.value) + HEADER_OVERHEAD_BYTES
        head = release.decode_record(row, release.HeadRecord)
        if head is None or not head.version:
            return
        digest = base.Digest(head.digest)
        body = self.store.get_object(digest)
        self.received_bytes += len(body) + HEADER_OVERHEAD_BYTES
        bundles.check_bundle(bundles.decode_bundle(body, digest))
        now_ms = clock.monotonic_ms()
        self.applied_at_ms.setdefault(head.version, now_ms)


def make_sample_bundle(
    mesh: str, services: int, changed: int = 0
) -> bundles.Bundle:
    """Make a bundle of a given size, for measurements.

    Parameters
    ----------
    mesh : str
        Mesh of the bundle.
    services : int
        Number of target sets; each has two routes.
    changed : int
        Number of the change.  It selects the one route whose weight is not
        1, so that bundles of successive numbers differ.
    """
    policies = (
        bundles.Policy('read', attempts=3),
        bundles.Policy('write'),
    )
    target_sets = []
    routes = []
    for number in range(services):
        name = f'service-{number:04d}'
        target_sets.append(bundles.TargetSet(name, 'party'))
        share = (bundles.WeightedTargetSet(name),)
        host = f'{name}.example'
        weight = 1 + changed if number == changed % services else 1
        routes.append(
            bundles.Route(
                f'{name}-read',
                'party',
                host,
                '/',
                (bundles.WeightedTargetSet(name, weight),),
                'read',
                methods=('GET', 'HEAD'),
                repeatable=True,
            )
        )
        routes.append(
            bundles.Route(f'{name}-write', 'party', host, '/', share, 'write')
        )
    return bundles.make_bundle(mesh, policies, target_sets, routes)
