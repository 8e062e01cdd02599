"""Groups the claims of one proxy into few transactions."""

from collections.abc import Callable
import logging
import threading
import time

import msgspec

from sedgering import exceptions
from sedgering import storage
from sedgering import traffic

__all__ = ['RepeatGuard']

LOG = logging.getLogger(__name__)

#: Claims in one transaction.
GROUP_LIMIT = 64
#: Claims and outcomes that wait; more claims are refused at once.
WAITING_LIMIT = 1024
#: Transactions that may follow each other without a pause.
BURST = 8.0


class _Pending(msgspec.Struct, eq=False):
    """A claim that a request thread waits for, or an outcome."""

    claim: traffic.Claim
    done: threading.Event
    result: traffic.ClaimResult | None = None


class RepeatGuard:
    """Commits claims before requests are sent, and outcomes after.

    Parameters
    ----------
    table : TableStore
        The table service.
    writes_per_s : int
        Transactions that the whole fleet may use.
    count_members : callable
        Number of proxies that share them.

    Notes
    -----
    A proxy may use its share at once while it saved it up; under load it
    sends one transaction per share of a second, and claims that arrive
    meanwhile travel together.  An outcome that cannot be recorded is
    dropped after its rounds: a repeat is then told "outcome unknown".
    """

    def __init__(
        self,
        table: storage.TableStore,
        writes_per_s: int,
        count_members: Callable[[], int],
    ):
        self.table = table
        self.writes_per_s = writes_per_s
        self.count_members = count_members
        self._waiting: list[_Pending] = []
        self._changed = threading.Condition()
        self._balance = BURST
        self._balance_at_s = time.monotonic()

    def start(self) -> None:
        """Commit in the background."""
        threading.Thread(
            target=self._run, name='repeat-guard', daemon=True
        ).start()

    def claim(self, claim: traffic.Claim, timeout_ms: int) -> None:
        """Return once the claim stands.

        Raises
        ------
        RequestError
            The request must not be sent; the code says what is known.
        """
        pending = _Pending(claim, threading.Event())
        if not self._add(pending):
            raise exceptions.RequestError(exceptions.Code.REQUEST_GUARD_DOWN)
        if not pending.done.wait(timeout_ms / 1000):
            # The claim may come to stand later; the request is not sent.
            self.record(claim, traffic.ClaimState.NOT_RUN, 0)
            raise exceptions.RequestError(
                exceptions.Code.REQUEST_GUARD_DOWN, 'no answer in time'
            )
        result = pending.result
        if result.code is exceptions.Code.REQUEST_GUARD_DOWN:
            # Its answer may have been lost on a write that took effect.
            self.record(claim, traffic.ClaimState.NOT_RUN, 0)
        if result.code is not None:
            detail = f'status {result.status}' if result.status else ''
            raise exceptions.RequestError(result.code, detail)

    def record(
        self, claim: traffic.Claim, state: traffic.ClaimState, status: int
    ) -> None:
        """Record what became of a claimed request; does not wait."""
        outcome = traffic.change_claim(claim, state, status)
        self._add(_Pending(outcome, threading.Event()))

    def _add(self, pending: _Pending) -> bool:
        with self._changed:
            if len(self._waiting) >= WAITING_LIMIT:
                return False
            self._waiting.append(pending)
            self._changed.notify()
            return True

    def _run(self) -> None:
        while True:
            group = self._take_group()
            try:
                self._commit(group)
            except Exception:
                # A defect must not leave request threads waiting.
                LOG.exception('claims not committed')
            for pending in group:
                if pending.result is None:
                    pending.result = traffic.ClaimResult(
                        pending.claim, exceptions.Code.REQUEST_GUARD_DOWN
                    )
                pending.done.set()

    def _commit(self, group: list[_Pending]) -> None:
        claims = [pending.claim for pending in group]
        results = traffic.commit_claims(self.table, claims)
        for pending, result in zip(group, results):
            pending.result = result

    def _take_group(self) -> list[_Pending]:
        """Wait for claims and for the share of the writes."""
        with self._changed:
            while not self._waiting:
                self._changed.wait()
        self._wait_for_share()
        with self._changed:
            group: dict[str, _Pending] = {}
            left = []
            for pending in self._waiting:
                # One row once per transaction; the rest comes next.
                is_full = len(group) >= GROUP_LIMIT
                if is_full or pending.claim.key in group:
                    left.append(pending)
                else:
                    group[pending.claim.key] = pending
            self._waiting = left
        return list(group.values())

    def _wait_for_share(self) -> None:
        share_per_s = self.writes_per_s / max(1, self.count_members())
        now_s = time.monotonic()
        gained = (now_s - self._balance_at_s) * share_per_s
        self._balance = min(BURST, self._balance + gained)
        self._balance_at_s = now_s
        if self._balance < 1:
            time.sleep((1 - self._balance) / share_per_s)
        self._balance -= 1
