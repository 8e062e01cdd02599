"""Callers that know what they sent, and judge what came back."""

import hashlib
import itertools
import random
import threading

import msgspec
import urllib3

__all__ = ['Caller', 'CallRecord', 'Verdict', 'judge_calls']

TIMEOUT_S = 15.0
OUTCOME_HEADER = 'X-Sedgering-Outcome'


class CallRecord(msgspec.Struct):
    """One call and what its caller was told.

    Parameters
    ----------
    request_id : str
        Names the call in the ledgers of the targets.
    is_answered : bool
        Whether the whole answer to this very call arrived.
    is_cut : bool
        Whether an answer began and was not whole, or was another's.
    told_not_run, told_unknown : bool
        What the proxy said of a call that it did not answer.
    is_repeatable : bool
        Whether the call may run more than once.
    """

    request_id: str
    is_repeatable: bool
    is_answered: bool = False
    is_cut: bool = False
    told_not_run: bool = False
    told_unknown: bool = False


class Verdict(msgspec.Struct, frozen=True):
    """Sum over all calls.

    Parameters
    ----------
    sent, answered : int
        Calls sent, and calls with their whole answer.
    lost : int
        Calls without any answer, or answered but in no ledger.
    doubled : int
        Calls that may not be repeated and ran more than once.
    cut : int
        Answers that were not whole or belonged to another call.
    told_wrongly : int
        Calls told "not run" that stand in a ledger.
    told_not_run, told_unknown : int
        Calls refused with a code.
    """

    sent: int
    answered: int
    lost: int
    doubled: int
    cut: int
    told_wrongly: int
    told_not_run: int
    told_unknown: int


class Caller:
    """Sends calls in a thread of its own until it is stopped.

    Parameters
    ----------
    ports : sequence of int
        Data ports of proxies on loopback.
    host : str
        Host name of the routes.
    calls : sequence of (method, path, body size, repeatable)
        Sent in turn.
    seed : int
        Makes request ids and bodies.
    pause_s : float
        Time between two calls.
    """

    def __init__(self, ports, host, calls, seed, pause_s):
        self.records: list[CallRecord] = []
        self._ports = ports
        self._host = host
        self._calls = calls
        self._rng = random.Random(seed)
        self._seed = seed
        self._pause_s = pause_s
        self._is_stopped = threading.Event()
        self._pool = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Send in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Finish the call under way and end."""
        self._is_stopped.set()
        self._thread.join(2 * TIMEOUT_S)

    def _run(self) -> None:
        for number in itertools.count():
            if self._is_stopped.wait(self._pause_s):
                return
            call = self._calls[number % len(self._calls)]
            self._send(f'{self._seed}-{number}', *call)

    def _send(self, request_id, method, path, size, is_repeatable) -> None:
        record = CallRecord(request_id, is_repeatable)
        self.records.append(record)
        body = self._rng.randbytes(size) if size else None
        port = self._rng.choice(self._ports)
        try:
            response = self._pool.urlopen(
                method,
                f'http://127.0.0.1:{port}{path}',
                body=body,
                headers={'Host': self._host, 'X-Request-Id': request_id},
            )
        except (
            urllib3.exceptions.IncompleteRead,
            urllib3.exceptions.ProtocolError,
        ):
            record.is_cut = True
            return
        except urllib3.exceptions.HTTPError:
            return
        _judge_answer(record, response, body or b'')


def _judge_answer(record: CallRecord, response, body: bytes) -> None:
    told = response.headers.get(OUTCOME_HEADER)
    if told is not None:
        record.told_not_run = told == 'not-run'
        record.told_unknown = not record.told_not_run
        return
    answer = msgspec.json.decode(response.data)
    is_own = answer['request'] == record.request_id
    is_whole = answer['body_sha256'] == hashlib.sha256(body).hexdigest()
    record.is_answered = is_own and is_whole
    record.is_cut = not record.is_answered


def judge_calls(records: list[CallRecord], ledger: dict[str, int]) -> Verdict:
    """Compare what callers were told with what the targets ran.

    Parameters
    ----------
    records : list of CallRecord
        Of all callers.
    ledger : dict of str to int
        How often each call ran, over all targets.
    """
    runs = {
        item.request_id: ledger.get(item.request_id, 0) for item in records
    }
    told = [item for item in records if item.told_not_run]
    return Verdict(
        sent=len(records),
        answered=sum(item.is_answered for item in records),
        lost=sum(_is_lost(item, runs[item.request_id]) for item in records),
        doubled=sum(
            not item.is_repeatable and runs[item.request_id] > 1
            for item in records
        ),
        cut=sum(item.is_cut for item in records),
        told_wrongly=sum(runs[item.request_id] > 0 for item in told),
        told_not_run=len(told),
        told_unknown=sum(item.told_unknown for item in records),
    )


def _is_lost(record: CallRecord, runs: int) -> bool:
    if record.is_answered:
        return runs == 0
    return not (record.is_cut or record.told_not_run or record.told_unknown)
