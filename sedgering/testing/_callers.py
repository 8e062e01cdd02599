"""Callers that know what they sent, and judge what came back."""

import hashlib
import itertools
import random
import threading

import msgspec
import urllib3

__all__ = ['CallKind', 'CallRecord', 'Caller', 'Verdict', 'judge_calls']

TIMEOUT_S = 15.0
#: Tries of a call with a key, and the time between two of them.
TRIES = 4
REPEAT_PAUSE_S = 0.3
NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
OUTCOME_HEADER = 'X-Sedgering-Outcome'


class CallRecord(msgspec.Struct):
    """One call, its tries, and what its caller was told.

    Parameters
    ----------
    request_id : str
        Names the call in the ledgers of the targets.
    is_repeatable : bool
        Whether the call may run more than once.
    is_answered : bool
        Whether the whole answer to this very call arrived, or the word
        that it ran before.
    is_cut : bool
        Whether an answer began and was not whole, or was another's.
    is_broken : bool
        Whether a connection ended without any answer.
    told_not_run : bool
        Whether every try was told "not run", or not even sent.
    told_unknown : bool
        Whether the last word was "outcome unknown".
    """

    request_id: str
    is_repeatable: bool
    is_answered: bool = False
    is_cut: bool = False
    is_broken: bool = False
    told_not_run: bool = True
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
        Calls whose last word was one of these.
    broken : int
        Calls of which a try ended with its connection, answered later or
        not: a daemon that is killed does that to what it has under way.
    """

    sent: int
    answered: int
    lost: int
    doubled: int
    cut: int
    told_wrongly: int
    told_not_run: int
    told_unknown: int
    broken: int


class CallKind(msgspec.Struct, frozen=True):
    """What to send.

    Parameters
    ----------
    method, path : str
        Request line.
    size_bytes : int
        Size of the body; 0 for none.
    is_repeatable : bool
        Whether its route is repeatable.
    has_key : bool
        Whether it carries an Idempotency-Key and is tried again, through
        another proxy, while its outcome is not known.
    """

    method: str
    path: str
    size_bytes: int = 0
    is_repeatable: bool = True
    has_key: bool = False


class Caller:
    """Sends calls in a thread of its own until it is stopped.

    Parameters
    ----------
    ports : sequence of int
        Data ports of proxies on loopback.
    host : str
        Host name of the routes.
    kinds : sequence of CallKind
        Sent in turn.
    seed : int
        Makes request ids and bodies.
    pause_s : float
        Time between two calls.
    """

    def __init__(self, ports, host, kinds, seed, pause_s):
        self.records: list[CallRecord] = []
        self._ports = ports
        self._host = host
        self._kinds = kinds
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
            kind = self._kinds[number % len(self._kinds)]
            record = CallRecord(f'{self._seed}-{number}', kind.is_repeatable)
            self.records.append(record)
            self._send(record, kind)

    def _send(self, record: CallRecord, kind: CallKind) -> None:
        body = self._rng.randbytes(kind.size_bytes)
        for _ in range(TRIES if kind.has_key else 1):
            self._try(record, kind, body)
            if record.is_answered or record.is_cut:
                return
            self._is_stopped.wait(REPEAT_PAUSE_S)

    def _try(self, record: CallRecord, kind: CallKind, body: bytes) -> None:
        headers = {'Host': self._host, 'X-Request-Id': record.request_id}
        if kind.has_key:
            headers['Idempotency-Key'] = record.request_id
        port = self._rng.choice(self._ports)
        try:
            response = self._pool.urlopen(
                kind.method,
                f'http://127.0.0.1:{port}{kind.path}',
                body=body or None,
                headers=headers,
            )
        except NEVER_SENT:
            return
        except urllib3.exceptions.IncompleteRead:
            record.is_cut = True
        except urllib3.exceptions.HTTPError as error:
            record.is_broken = True
            record.is_cut = 'IncompleteRead' in repr(error)
        else:
            _judge_answer(record, response, body)
            return
        record.told_not_run = False


def _judge_answer(record: CallRecord, response, body: bytes) -> None:
    told = response.headers.get(OUTCOME_HEADER)
    record.told_unknown = told == 'unknown'
    if told == 'not-run':
        return
    record.told_not_run = False
    if told == 'run-before':
        record.is_answered = True
    elif told is None:
        answer = msgspec.json.decode(response.data)
        is_own = answer['request'] == record.request_id
        digest = hashlib.sha256(body).hexdigest()
        record.is_answered = is_own and answer['body_sha256'] == digest
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
        broken=sum(item.is_broken for item in records),
    )


def _is_lost(record: CallRecord, runs: int) -> bool:
    if record.is_answered:
        return runs == 0
    if record.is_cut or record.is_broken:
        return False
    return not (record.told_not_run or record.told_unknown)
