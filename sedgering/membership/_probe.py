"""Probes of random peers, which also compare what both know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sedgering import base
from sedgering import messages
from sedgering import peer

if TYPE_CHECKING:
    from sedgering import control

__all__ = ['ProbeSystem', 'choose_peers', 'make_compare', 'make_pull']

#: Shortest time between two pulls of rows.
PULL_PAUSE_MS = 1000
PROBE_ATTEMPTS = 2
#: Random rows looked at to find a live host of another data centre.
REMOTE_TRIES = 16
_NONCE_BITS = 30


class Probe(msgspec.Struct):
    """One unanswered probe."""

    row: int
    host: base.HostId
    sent_at_ms: int
    attempt: int


def choose_peers(tables: control.ControlTables, count: int) -> list[int]:
    """Choose rows of random hosts other than this one.

    Most are of this data centre, so that traffic between data centres
    stays small; a share set by `remote_percent` is of others.
    """
    chosen = set()
    for _ in range(count):
        row = _choose_peer(tables)
        if row is not None:
            chosen.add(row)
    return sorted(chosen)


def _choose_peer(tables: control.ControlTables) -> int | None:
    share = tables.settings.membership.remote_percent
    if not len(tables.hosts):
        return None
    is_alone = len(tables.hosts.ranked) <= 1
    if is_alone or tables.rng.randrange(100) < share:
        row = _choose_remote(tables)
        if row is not None:
            return row
    if is_alone:
        return None
    own_row = tables.own_row
    row = own_row
    while row == own_row:
        row = tables.rng.choice(tables.hosts.ranked)[1]
    return row


def _choose_remote(tables: control.ControlTables) -> int | None:
    """Choose by trying random rows; a list would cost at each change."""
    hosts = tables.hosts
    for _ in range(REMOTE_TRIES):
        row = tables.rng.randrange(hosts.capacity)
        is_remote = hosts.data_centres[row] != hosts.data_centre
        if is_remote and hosts.is_alive(row):
            return row
    return None


class ProbeSystem(base.System):
    """Sends probes, answers probes, and suspects hosts that stay silent."""

    def __init__(self):
        self._probes: dict[int, Probe] = {}
        self._next_probe_ms = 0
        self._next_pull_ms = 0

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Take in answers, then send what is due."""
        for received in tables.inbox.datagrams:
            if received.datagram.compare is not None:
                self._take_in(tables, received, now_ms)
        self._check_silence(tables, now_ms)
        if now_ms >= self._next_probe_ms:
            interval_ms = tables.settings.membership.compare_interval_ms
            jitter_ms = tables.rng.randrange(interval_ms // 5 + 1)
            self._next_probe_ms = now_ms + interval_ms - jitter_ms
            row = _choose_peer(tables)
            if row is not None:
                self._send(tables, row, 1, now_ms)

    def _take_in(
        self,
        tables: control.ControlTables,
        received: messages.ReceivedDatagram,
        now_ms: int,
    ) -> None:
        compare = received.datagram.compare
        if compare.reply:
            self._probes.pop(compare.nonce, None)
        else:
            self._answer(tables, received)
        if compare.members_digest != tables.hosts.digest:
            self._pull(tables, received.address, now_ms)

    def _answer(
        self,
        tables: control.ControlTables,
        received: messages.ReceivedDatagram,
    ) -> None:
        answer = tables.datagram_to(received.address)
        answer.compare = make_compare(
            tables, received.datagram.compare.nonce, True
        )
        row = tables.hosts.find(received.datagram.sender)
        if row is not None and not tables.hosts.is_alive(row):
            # Lets the sender answer for itself.
            answer.rows = [tables.hosts.make_message(row)]

    def _pull(
        self,
        tables: control.ControlTables,
        address: messages.PeerAddress,
        now_ms: int,
    ) -> None:
        """Pull rows, but give news time to arrive by itself first."""
        is_settled = not len(tables.rumours)
        is_new = len(tables.hosts) <= 1
        if now_ms < self._next_pull_ms or not (is_settled or is_new):
            return
        self._next_pull_ms = now_ms + PULL_PAUSE_MS
        request = make_pull(tables, address)
        tables.outbox.peers.append(request)

    def _check_silence(
        self, tables: control.ControlTables, now_ms: int
    ) -> None:
        limit_ms = tables.settings.membership.probe_timeout_ms
        for nonce, probe in tuple(self._probes.items()):
            if now_ms - probe.sent_at_ms < limit_ms:
                continue
            del self._probes[nonce]
            if tables.hosts.find(probe.host) != probe.row:
                continue
            if probe.attempt < PROBE_ATTEMPTS:
                self._send(tables, probe.row, probe.attempt + 1, now_ms)
            elif tables.hosts.is_alive(probe.row):
                tables.hosts.set_state(
                    probe.row, peer.HostState.SUSPECT, now_ms
                )
                tables.rumours.add(probe.row, len(tables.hosts))

    def _send(
        self,
        tables: control.ControlTables,
        row: int,
        attempt: int,
        now_ms: int,
    ) -> None:
        nonce = tables.rng.getrandbits(_NONCE_BITS)
        host = tables.hosts.hosts[row]
        self._probes[nonce] = Probe(row, host, now_ms, attempt)
        datagram = tables.datagram_to(tables.hosts.address_of(row))
        datagram.compare = make_compare(tables, nonce, False)


def make_pull(
    tables: control.ControlTables, address: messages.PeerAddress
) -> messages.PullRows:
    """Make the request for the rows that differ; for all when new here."""
    if len(tables.hosts) <= 1:
        return messages.PullRows(address, ())
    return messages.PullRows(address, tuple(tables.hosts.bucket_digests))


def make_compare(
    tables: control.ControlTables, nonce: int, is_reply: bool
) -> peer.Compare:
    """Make the part of a datagram that states what this host knows."""
    return peer.Compare(
        nonce=nonce,
        version=tables.holder.version,
        members_digest=tables.hosts.digest,
        reply=is_reply,
    )
