"""Open-loop load: calls are due at fixed times, however long they take."""

import queue
import random
import threading
import time

import msgspec
import urllib3

__all__ = ['Call', 'CallPlan', 'OpenLoop']

TIMEOUT_S = 3.0
HOST = 'bench.example'


class CallPlan(msgspec.Struct, frozen=True):
    """One call that is due.

    Parameters
    ----------
    due_s : float
        Seconds after the start.
    party : str
        Whose it is; first part of the path.
    phase : int
        Phase of the run.
    """

    due_s: float
    party: str
    phase: int


class Call(msgspec.Struct, frozen=True):
    """One call that was made.

    Parameters
    ----------
    plan : CallPlan
        What was due.
    is_good : bool
        Whether the whole answer came.
    told : str
        What the proxy told when it gave none.
    elapsed_ms : float
        Time since it was due.
    ended_s : float
        Seconds after the start.
    """

    plan: CallPlan
    is_good: bool
    told: str
    elapsed_ms: float
    ended_s: float


class OpenLoop:
    """Sends planned calls through a few ports.

    Parameters
    ----------
    ports : list of int
        Proxies, chosen at random.
    threads : int
        Calls at a time.
    seed : int
        Of the choice.
    """

    def __init__(self, ports: list[int], threads: int, seed: int):
        self.ports = ports
        self.threads = threads
        self.calls: list[Call] = []
        self._rng = random.Random(seed)
        self._pool = urllib3.PoolManager(
            num_pools=16, maxsize=threads, timeout=TIMEOUT_S, retries=False
        )

    def run(self, plans: list[CallPlan]) -> list[Call]:
        """Send all calls; return them when the last one ended."""
        due: queue.SimpleQueue = queue.SimpleQueue()
        for plan in plans:
            due.put(plan)
        started_s = time.monotonic()
        workers = [
            threading.Thread(target=self._work, args=(due, started_s))
            for _ in range(self.threads)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        return self.calls

    def _work(self, due: queue.SimpleQueue, started_s: float) -> None:
        while True:
            try:
                plan = due.get_nowait()
            except queue.Empty:
                return
            wait_s = started_s + plan.due_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            is_good, told = self._send(plan)
            ended_s = time.monotonic() - started_s
            elapsed_ms = (ended_s - plan.due_s) * 1000
            self.calls.append(Call(plan, is_good, told, elapsed_ms, ended_s))

    def _send(self, plan: CallPlan) -> tuple[bool, str]:
        port = self._rng.choice(self.ports)
        try:
            response = self._pool.urlopen(
                'GET',
                f'http://127.0.0.1:{port}/{plan.party}',
                headers={'Host': HOST},
            )
        except urllib3.exceptions.HTTPError as error:
            return False, type(error).__name__
        told = response.headers.get('X-Sedgering-Outcome', '')
        return response.status == 200 and not told, told
