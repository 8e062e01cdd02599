"""The table of hosts and the table of their targets, in columns.

21,000 rows cost a few megabytes this way.  Written by the control thread
only; other threads read what :class:`TargetView` publishes, or take the
lock of :meth:`HostTable.list_bucket`.
"""

import array
from collections.abc import Iterator
import ipaddress
import sys
import threading

from sedgering import base
from sedgering.membership import _rank
from sedgering import peer

__all__ = ['ALIVE_STATES', 'BUCKETS', 'HostTable', 'make_host_table']

#: Buckets in which two member tables are compared.
BUCKETS = 64
_NO_TARGET = -1
_MASK = (1 << 63) - 1
#: Fields of a row that make up its digest are mixed with odd constants.
_MIX_INCARNATION = 0x9E3779B97F4A7C15
_MIX_SEQUENCE = 0xC2B2AE3D27D4EB4F
_MIX_STATE = 0x165667B19E3779F9

ALIVE_STATES = frozenset(
    (
        peer.HostState.STARTING,
        peer.HostState.SERVING,
        peer.HostState.DRAINING,
    )
)


class TargetTable:
    """Targets in columns; rows of one host form a chain."""

    def __init__(self):
        self.names: list[str] = []
        self.target_sets: list[str] = []
        self.ports = array.array('H')
        self.states = array.array('B')
        self.slots = array.array('H')
        self.next_rows = array.array('i')
        self._free: list[int] = []

    def add(self, target: peer.TargetRow, next_row: int) -> int:
        """Store a target in front of a chain and return its row."""
        row = self._free.pop() if self._free else self._grow()
        self.names[row] = target.name
        self.target_sets[row] = sys.intern(target.target_set)
        self.ports[row] = target.port
        self.states[row] = target.state
        self.slots[row] = target.slots
        self.next_rows[row] = next_row
        return row

    def walk(self, row: int) -> Iterator[int]:
        """Go along a chain."""
        while row != _NO_TARGET:
            yield row
            row = self.next_rows[row]

    def release(self, first: int) -> None:
        """Free a whole chain."""
        for row in tuple(self.walk(first)):
            self.names[row] = ''
            self._free.append(row)

    def make_message(self, row: int) -> peer.TargetRow:
        """Make the message that states one target."""
        return peer.TargetRow(
            name=self.names[row],
            target_set=self.target_sets[row],
            port=self.ports[row],
            state=peer.TargetState(self.states[row]),
            slots=self.slots[row],
        )

    def _grow(self) -> int:
        self.names.append('')
        self.target_sets.append('')
        self.ports.append(0)
        self.states.append(0)
        self.slots.append(0)
        self.next_rows.append(_NO_TARGET)
        return len(self.names) - 1


class HostTable:
    """Hosts in columns.

    Attributes
    ----------
    epoch : int
        Grows when a host appears, goes or changes its liveness.
    digest : int
        Combined digest of all rows of hosts that are not gone.
    changed_sets : set of str
        Target sets whose members changed since it was last emptied.
    unsettled : set of int
        Rows of hosts that are suspected or gone.
    seen_data_centres : set of DataCentre
        Named by any row that ever arrived, also of hosts that are gone.
    """

    def __init__(self):
        self.hosts: list[base.HostId] = []
        self.data_centres: list[base.DataCentre] = []
        self.addresses = array.array('I')
        self.peer_ports = array.array('H')
        self.data_ports = array.array('H')
        self.incarnations = array.array('Q')
        self.sequences = array.array('I')
        self.states = array.array('B')
        self.held_versions = array.array('Q')
        self.ranks = array.array('Q')
        self.changed_at_ms = array.array('q')
        self.first_targets = array.array('i')
        self.targets = TargetTable()
        self.epoch = 0
        self.digest = 0
        self.bucket_digests = array.array('q', [0] * BUCKETS)
        self.changed_sets: set[str] = set()
        self.unsettled: set[int] = set()
        self.seen_data_centres: set[base.DataCentre] = set()
        self.lock = threading.Lock()
        self._rows: dict[base.HostId, int] = {}
        self._free: list[int] = []
        self._ranked: dict[base.DataCentre, tuple[int, list]] = {}
        self._remote: tuple[int, list] = (-1, [])
        self._coverage: tuple[int, tuple[int, int]] = (-1, (0, 0))

    def __len__(self) -> int:
        """Return the number of rows, hosts that are gone included."""
        return len(self._rows)

    def __iter__(self) -> Iterator[int]:
        """Go over the rows in use."""
        return iter(tuple(self._rows.values()))

    def find(self, host: base.HostId) -> int | None:
        """Return the row of a host."""
        return self._rows.get(host)

    def is_alive(self, row: int) -> bool:
        """Say whether the host of a row is neither suspected nor gone."""
        return self.states[row] in ALIVE_STATES

    def is_member(self, row: int) -> bool:
        """Say whether the host of a row is not gone."""
        return self.states[row] != peer.HostState.GONE

    def address_of(self, row: int) -> tuple[str, int]:
        """Return IP number and peer port."""
        address = ipaddress.IPv4Address(self.addresses[row])
        return str(address), self.peer_ports[row]

    def merge(self, message: peer.HostRow, now_ms: int) -> bool:
        """Take in a row when it is newer than the one held.

        Parameters
        ----------
        message : HostRow
            Checked by the codec.
        now_ms : int
            Monotonic time in milliseconds.

        Returns
        -------
        bool
            Whether anything changed, so that the news is worth spreading.

        Notes
        -----
        Rows of one host are ordered by (incarnation, sequence, state).
        The held version never decreases, whatever the order of arrival:
        a new incarnation inherits what its host held before.
        """
        self.seen_data_centres.add(sys.intern(message.data_centre))
        row = self._rows.get(message.host)
        if row is None:
            if message.state == peer.HostState.GONE:
                return False
            with self.lock:
                row = self._grow(message)
        elif not self._is_newer(row, message):
            return False
        with self.lock:
            self._store(row, message, now_ms)
        return True

    def set_state(self, row: int, state: peer.HostState, now_ms: int) -> None:
        """Change the state of a row at its present sequence number."""
        with self.lock:
            self._toggle_digest(row)
            self.states[row] = state
            self.changed_at_ms[row] = now_ms
            self._toggle_digest(row)
            self._note_state(row)
            self._note_targets(row)

    def forget(self, row: int) -> None:
        """Free the row of a host that is gone."""
        with self.lock:
            self._note_targets(row)
            self.targets.release(self.first_targets[row])
            self.first_targets[row] = _NO_TARGET
            del self._rows[self.hosts[row]]
            self.unsettled.discard(row)
            self._free.append(row)
            self.epoch += 1

    def make_message(self, row: int) -> peer.HostRow:
        """Make the message that states one host."""
        chain = self.targets.walk(self.first_targets[row])
        return peer.HostRow(
            host=self.hosts[row],
            data_centre=self.data_centres[row],
            address=self.address_of(row)[0],
            peer_port=self.peer_ports[row],
            data_port=self.data_ports[row],
            incarnation=self.incarnations[row],
            sequence=self.sequences[row],
            state=peer.HostState(self.states[row]),
            held_version=self.held_versions[row],
            targets=[self.targets.make_message(item) for item in chain],
        )

    def list_bucket(self, buckets: frozenset[int]) -> list[peer.HostRow]:
        """Make the messages of all rows in some buckets."""
        with self.lock:
            return [
                self.make_message(row)
                for row in self._rows.values()
                if self.ranks[row] % BUCKETS in buckets
            ]

    def ranked(self, data_centre: base.DataCentre) -> list[tuple[int, int]]:
        """Return (rank, row) of the live hosts of a data centre, sorted."""
        epoch, cached = self._ranked.get(data_centre, (-1, []))
        if epoch != self.epoch:
            cached = sorted(
                (self.ranks[row], row)
                for row in self._rows.values()
                if self.data_centres[row] == data_centre and self.is_alive(row)
            )
            self._ranked[data_centre] = (self.epoch, cached)
        return cached

    def remote(self, data_centre: base.DataCentre) -> list[int]:
        """Return the rows of the live hosts of all other data centres."""
        epoch, cached = self._remote
        if epoch != self.epoch:
            cached = [
                row
                for row in self._rows.values()
                if self.data_centres[row] != data_centre and self.is_alive(row)
            ]
            self._remote = (self.epoch, cached)
        return cached

    def coverage(self, data_centre: base.DataCentre) -> tuple[int, int]:
        """Return count and combined rank of a data centre's members."""
        epoch, cached = self._coverage
        if epoch != self.epoch:
            count = 0
            combined = 0
            for row in self._rows.values():
                if self.data_centres[row] != data_centre:
                    continue
                if self.is_member(row):
                    count += 1
                    combined ^= self.ranks[row]
            cached = (count, combined)
            self._coverage = (self.epoch, cached)
        return cached

    def _is_newer(self, row: int, message: peer.HostRow) -> bool:
        held = (
            self.incarnations[row],
            self.sequences[row],
            self.states[row],
        )
        offered = (message.incarnation, message.sequence, message.state)
        return offered > held

    def _store(self, row: int, message: peer.HostRow, now_ms: int) -> None:
        self._toggle_digest(row)
        self.data_centres[row] = sys.intern(message.data_centre)
        self.addresses[row] = int(ipaddress.IPv4Address(message.address))
        self.peer_ports[row] = message.peer_port
        self.data_ports[row] = message.data_port
        self.incarnations[row] = message.incarnation
        self.sequences[row] = message.sequence
        self.states[row] = message.state
        self.held_versions[row] = max(
            self.held_versions[row], message.held_version
        )
        self.changed_at_ms[row] = now_ms
        self._toggle_digest(row)
        self._note_state(row)
        self._replace_targets(row, message.targets or ())

    def _replace_targets(self, row: int, targets: list) -> None:
        self._note_targets(row)
        self.targets.release(self.first_targets[row])
        first = _NO_TARGET
        for target in targets:
            first = self.targets.add(target, first)
        self.first_targets[row] = first
        self._note_targets(row)

    def _note_state(self, row: int) -> None:
        self.epoch += 1
        if self.is_alive(row):
            self.unsettled.discard(row)
        else:
            self.unsettled.add(row)

    def _note_targets(self, row: int) -> None:
        for item in self.targets.walk(self.first_targets[row]):
            self.changed_sets.add(self.targets.target_sets[item])

    def _toggle_digest(self, row: int) -> None:
        """Take the row out of the digests, or put it in.

        XOR undoes itself, and hosts that are gone do not count: a table
        that has forgotten them equals one that has not yet.
        """
        state = self.states[row]
        if state in (0, peer.HostState.GONE):
            return
        mixed = self.ranks[row]
        mixed ^= self.incarnations[row] * _MIX_INCARNATION
        mixed ^= self.sequences[row] * _MIX_SEQUENCE
        mixed = ((mixed ^ (state * _MIX_STATE)) * _MIX_INCARNATION) & _MASK
        self.digest ^= mixed
        self.bucket_digests[self.ranks[row] % BUCKETS] ^= mixed

    def _grow(self, message: peer.HostRow) -> int:
        if self._free:
            row = self._free.pop()
            self.states[row] = 0
            self.held_versions[row] = 0
        else:
            row = len(self.hosts)
            self.hosts.append(base.HostId(''))
            self.data_centres.append(base.DataCentre(''))
            for column in self._columns():
                column.append(0)
            self.first_targets.append(_NO_TARGET)
        self.hosts[row] = base.HostId(message.host)
        self.ranks[row] = _rank.rank_of(self.hosts[row])
        self._rows[self.hosts[row]] = row
        return row

    def _columns(self) -> tuple[array.array, ...]:
        return (
            self.addresses,
            self.peer_ports,
            self.data_ports,
            self.incarnations,
            self.sequences,
            self.states,
            self.held_versions,
            self.ranks,
            self.changed_at_ms,
        )


def make_host_table() -> HostTable:
    """Make an empty table of hosts."""
    return HostTable()
