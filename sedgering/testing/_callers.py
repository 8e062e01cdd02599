"""Load-generating callers that check every response they receive."""

import hashlib
import itertools
import random
import threading

import msgspec
import urllib3

__all__ = ['CallKind', 'CallRecord', 'Caller', 'Verdict', 'judge_calls']

TIMEOUT_S = 15.0
#: Attempts of a call with an idempotency key, and the delay between them.
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.3
NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
OUTCOME_HEADER = 'X-Sedgering-Outcome'


class CallRecord(msgspec.Struct):
    """The result of one call over all its attempts.

    Parameters
    ----------
    request_id : str
        Identifies the call in the execution logs of the targets.
    is_repeatable : bool
        Whether the call may be executed more than once.
    is_answered : bool
        Whether the complete response to this call arrived, or a response
        saying that the call had been executed before.
    is_corrupt : bool
        Whether a response was truncated or belonged to another call.
    has_connection_error : bool
        Whether a connection failed before any response.
    told_not_run : bool
        Whether every attempt was answered "not run" or never sent.
    told_unknown : bool
        Whether the last response was "outcome unknown".
    """

    request_id: str
    is_repeatable: bool
    is_answered: bool = False
    is_corrupt: bool = False
    has_connection_error: bool = False
    told_not_run: bool = True
    told_unknown: bool = False


class Verdict(msgspec.Struct, frozen=True):
    """Counts over all calls.

    Parameters
    ----------
    sent, answered : int
        Calls sent, and calls with their complete response.
    lost : int
        Calls without any response, or answered but in no execution log.
    doubled : int
        Non-repeatable calls that were executed more than once.
    cut : int
        Responses that were truncated or belonged to another call.
    told_wrongly : int
        Calls answered "not run" although a target executed them.
    told_not_run, told_unknown : int
        Calls whose final outcome was "not run" or "outcome unknown".
    broken : int
        Calls with an attempt that failed with its connection, whether or
        not a later attempt was answered.  Killing a daemon does this to
        the requests it has in flight.
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
    """One kind of request to send.

    Parameters
    ----------
    method, path : str
        Request line.
    size_bytes : int
        Size of the body; 0 for none.
    is_repeatable : bool
        Whether its route is repeatable.
    has_key : bool
        Whether the request carries an Idempotency-Key and is retried
        through a randomly chosen proxy while its outcome is unknown.
    """

    method: str
    path: str
    size_bytes: int = 0
    is_repeatable: bool = True
    has_key: bool = False


class Caller:
    """Sends calls from its own thread until it is stopped.

    Parameters
    ----------
    ports : sequence of int
        Data ports of proxies on loopback.
    host : str
        Host name of the routes.
    kinds : sequence of CallKind
        Sent in round-robin order.
    seed : int
        Seed of the request ids, the bodies and the choice of proxy.
    pause_s : float
        Delay before each call, in seconds.
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
        """Start sending in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the call in flight and wait for the thread."""
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
        for _ in range(MAX_ATTEMPTS if kind.has_key else 1):
            self._send_attempt(record, kind, body)
            if record.is_answered or record.is_corrupt:
                return
            self._is_stopped.wait(RETRY_DELAY_S)

    def _send_attempt(
        self, record: CallRecord, kind: CallKind, body: bytes
    ) -> None:
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
        except NOT_SENT_ERRORS:
            return
        except urllib3.exceptions.IncompleteRead:
            record.is_corrupt = True
        except urllib3.exceptions.HTTPError as error:
            record.has_connection_error = True
            record.is_corrupt = 'IncompleteRead' in repr(error)
        else:
            _record_response(record, response, body)
            return
        record.told_not_run = False


def _record_response(record: CallRecord, response, body: bytes) -> None:
    outcome = response.headers.get(OUTCOME_HEADER)
    record.told_unknown = outcome == 'unknown'
    if outcome == 'not-run':
        return
    record.told_not_run = False
    if outcome == 'run-before':
        record.is_answered = True
    elif outcome is None:
        answer = msgspec.json.decode(response.data)
        is_own = answer['request'] == record.request_id
        digest = hashlib.sha256(body).hexdigest()
        record.is_answered = is_own and answer['body_sha256'] == digest
        record.is_corrupt = not record.is_answered


def judge_calls(records: list[CallRecord], ledger: dict[str, int]) -> Verdict:
    """Compare the responses to callers with what the targets executed.

    Parameters
    ----------
    records : list of CallRecord
        Calls of all callers.
    ledger : dict of str to int
        Number of executions of each request id, over all targets.
    """
    runs = {
        item.request_id: ledger.get(item.request_id, 0) for item in records
    }
    not_run = [item for item in records if item.told_not_run]
    return Verdict(
        sent=len(records),
        answered=sum(item.is_answered for item in records),
        lost=sum(_is_lost(item, runs[item.request_id]) for item in records),
        doubled=sum(
            not item.is_repeatable and runs[item.request_id] > 1
            for item in records
        ),
        cut=sum(item.is_corrupt for item in records),
        told_wrongly=sum(runs[item.request_id] > 0 for item in not_run),
        told_not_run=len(not_run),
        told_unknown=sum(item.told_unknown for item in records),
        broken=sum(item.has_connection_error for item in records),
    )


def _is_lost(record: CallRecord, runs: int) -> bool:
    if record.is_answered:
        return runs == 0
    if record.is_corrupt or record.has_connection_error:
        return False
    return not (record.told_not_run or record.told_unknown)
