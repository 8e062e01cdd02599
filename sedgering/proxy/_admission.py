"""Lets request threads wait for admission."""

import threading

from sedgering import base
from sedgering import clock
from sedgering import exceptions
from sedgering import traffic

__all__ = ['AdmissionGates']


class AdmissionGates:
    """One admission table for each target set, and threads that wait.

    Parameters
    ----------
    queue_limit : int
        Most requests that wait for one target set.
    wait_ms : int
        Longest wait.
    """

    def __init__(self, queue_limit: int, wait_ms: int):
        self.queue_limit = queue_limit
        self.wait_ms = wait_ms
        self._lock = threading.Lock()
        self._tables: dict[str, traffic.AdmissionTable] = {}
        self._events: dict[traffic.Waiter, threading.Event] = {}

    def enter(
        self,
        target_set: str,
        limit: int,
        party: base.PartyId,
        deadline_ms: int,
        now_ms: int,
    ) -> None:
        """Return when the request may go on.

        Raises
        ------
        RequestError
            Shed; the request was not run.
        """
        with self._lock:
            table = self._find(target_set)
            table.set_limit(limit)
            waiter, changed = table.enter(party, deadline_ms, now_ms)
            self._wake(changed)
            if waiter.state is traffic.WaiterState.WAITING:
                event = threading.Event()
                self._events[waiter] = event
        if waiter.state is traffic.WaiterState.WAITING:
            self._wait(table, waiter, event)
        if waiter.state is not traffic.WaiterState.ADMITTED:
            raise exceptions.RequestError(
                exceptions.Code.REQUEST_SHED, target_set
            )

    def leave(
        self,
        target_set: str,
        limit: int,
        party: base.PartyId,
        now_ms: int,
    ) -> None:
        """Note that a request ended, and let others go on."""
        with self._lock:
            table = self._tables[target_set]
            table.set_limit(limit)
            self._wake(table.leave(party, now_ms))

    def list_target_sets(self) -> list[str]:
        """Return the target sets that requests went to so far."""
        with self._lock:
            return list(self._tables)

    def _wait(self, table, waiter, event: threading.Event) -> None:
        event.wait(self.wait_ms / 1000)
        with self._lock:
            self._events.pop(waiter, None)
            # A waiter whose event did not come in time is late by now.
            if waiter.state is traffic.WaiterState.WAITING:
                now_ms = clock.monotonic_ms()
                self._wake(table.expire(max(now_ms, waiter.give_up_ms)))

    def _wake(self, changed: list[traffic.Waiter]) -> None:
        for waiter in changed:
            event = self._events.pop(waiter, None)
            if event is not None:
                event.set()

    def _find(self, target_set: str) -> traffic.AdmissionTable:
        table = self._tables.get(target_set)
        if table is None:
            table = traffic.AdmissionTable(self.queue_limit, self.wait_ms)
            self._tables[target_set] = table
        return table
