"""Open-loop load generator.

Each call is due at a fixed time, however long the calls before it take.
"""

import queue
import random
import threading
import time

import msgspec
import urllib3

__all__ = ['CallResult', 'LoadGenerator', 'PlannedCall']

CALL_TIMEOUT_S = 3.0
HOST = 'bench.example'


class PlannedCall(msgspec.Struct, frozen=True):
    """A call to send at a fixed time.

    Parameters
    ----------
    due_s : float
        When to send the call, in seconds after the start of the run.
    tenant : str
        Tenant that sends the call; the path of its URL.
    phase : int
        Index of the phase of the run.
    """

    due_s: float
    tenant: str
    phase: int


class CallResult(msgspec.Struct, frozen=True):
    """Result of a call that was sent.

    Parameters
    ----------
    planned : PlannedCall
        The call as planned.
    is_good : bool
        Whether the target's answer was received in full, with status 200.
    failure : str
        Outcome header that the proxy set, or the name of the exception;
        empty if neither occurred.
    elapsed_ms : float
        Time from when the call was due until it ended.
    ended_s : float
        When the call ended, in seconds after the start of the run.
    """

    planned: PlannedCall
    is_good: bool
    failure: str
    elapsed_ms: float
    ended_s: float


class LoadGenerator:
    """Sends planned calls to a few proxies.

    Parameters
    ----------
    ports : list of int
        Ports of the proxies; each call goes to one chosen at random.
    threads : int
        Greatest number of concurrent calls.
    seed : int
        Seed of the random choice of proxies.
    """

    def __init__(self, ports: list[int], threads: int, seed: int):
        self.ports = ports
        self.threads = threads
        self.results: list[CallResult] = []
        self._rng = random.Random(seed)
        self._pool = urllib3.PoolManager(
            num_pools=16,
            maxsize=threads,
            timeout=CALL_TIMEOUT_S,
            retries=False,
        )

    def run(self, planned_calls: list[PlannedCall]) -> list[CallResult]:
        """Send all calls; return the results when the last call has ended."""
        pending: queue.SimpleQueue = queue.SimpleQueue()
        for planned in planned_calls:
            pending.put(planned)
        started_s = time.monotonic()
        workers = [
            threading.Thread(
                target=self._run_worker, args=(pending, started_s)
            )
            for _ in range(self.threads)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        return self.results

    def _run_worker(
        self, pending: queue.SimpleQueue, started_s: float
    ) -> None:
        while True:
            try:
                planned = pending.get_nowait()
            except queue.Empty:
                return
            wait_s = started_s + planned.due_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            is_good, failure = self._send(planned)
            ended_s = time.monotonic() - started_s
            elapsed_ms = (ended_s - planned.due_s) * 1000
            self.results.append(
                CallResult(planned, is_good, failure, elapsed_ms, ended_s)
            )

    def _send(self, planned: PlannedCall) -> tuple[bool, str]:
        port = self._rng.choice(self.ports)
        try:
            response = self._pool.urlopen(
                'GET',
                f'http://127.0.0.1:{port}/{planned.tenant}',
                headers={'Host': HOST},
            )
        except urllib3.exceptions.HTTPError as error:
            return False, type(error).__name__
        failure = response.headers.get('X-Sedgering-Outcome', '')
        return response.status == 200 and not failure, failure
