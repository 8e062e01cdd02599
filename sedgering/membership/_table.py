"""The table of hosts and the table of their targets, in columns.

21,000 rows cost a few megabytes this way.  Written by the control thread
only; other threads read what :class:`TargetView` publishes, or take the
lock of :meth:`HostTable.list_bucket`.
"""

import array
import bisect
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
#: State of a row that no host uses.
_FREE = 0
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

    Parameters
    ----------
    data_centre : DataCentre
        Own data centre; its live hosts are also kept in ranked order.

    Attributes
    ----------
    epoch : int
        Grows when a host of the own data centre comes, goes, or changes
        its liveness.
    digest : int
        Combined digest of all rows of hosts that are not gone.
    ranked : list of (rank, row)
        Live hosts of the own data centre, sorted.
    members, coverage : int
        Count and combined rank of the own data centre's hosts that are
        not gone.
    changed_sets : set of str
        Target sets whose members changed since it was last emptied.
    unsettled : set of int
        Rows of hosts that are suspected or gone.
    seen_data_centres : set of DataCentre
        Named by any row that ever arrived, also of hosts that are gone.

    Notes
    -----
    All of these are kept up to date change by change: at 21,000 rows,
    making one of them anew costs milliseconds.
    """

    def __init__(self, data_centre: base.DataCentre):
        self.data_centre = data_centre
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
        self.ranked: list[tuple[int, int]] = []
        self.members = 0
        self.coverage = 0
        self.changed_sets: set[str] = set()
        self.unsettled: set[int] = set()
        self.seen_data_centres: set[base.DataCentre] = set()
        self.lock = threading.Lock()
        self._rows: dict[base.HostId, int] = {}
        self._rows_by_set: dict[str, list[int]] = {}
        self._free: list[int] = []

    def __len__(self) -> int:
        """Return the number of rows, hosts that are gone included."""
        return len(self._rows)

    def __iter__(self) -> Iterator[int]:
        """Go over the rows in use."""
        return iter(tuple(self._rows.values()))

    @property
    def capacity(self) -> int:
        """Number of rows, those that are free included."""
        return len(self.hosts)

    def find(self, host: base.HostId) -> int | None:
        """Return the row of a host."""
        return self._rows.get(host)

    def is_alive(self, row: int) -> bool:
        """Say whether the host of a row is neither suspected nor gone."""
        return self.states[row] in ALIVE_STATES

    def is_member(self, row: int) -> bool:
        """Say whether the row is in use by a host that is not gone."""
        return self.states[row] not in (_FREE, peer.HostState.GONE)

    def address_of(self, row: int) -> tuple[str, int]:
        """Return IP number and peer port."""
        address = ipaddress.IPv4Address(self.addresses[row])
        return str(address), self.peer_ports[row]

    def rows_of_set(self, target_set: str) -> tuple[int, ...]:
        """Return the rows of hosts with a target of a target set."""
        return tuple(self._rows_by_set.get(target_set, ()))

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
        if row is None and message.state == peer.HostState.GONE:
            return False
        if row is not None and not self._is_newer(row, message):
            return False
        with self.lock:
            if row is None:
                row = self._grow(message)
            self._take_out(row)
            self._store(row, message)
            self.changed_at_ms[row] = now_ms
            self._put_in(row)
        return True

    def set_state(self, row: int, state: peer.HostState, now_ms: int) -> None:
        """Change the state of a row at its present sequence number."""
        with self.lock:
            self._take_out(row)
            self.states[row] = state
            self.changed_at_ms[row] = now_ms
            self._put_in(row)

    def forget(self, row: int) -> None:
        """Free the row of a host that is gone."""
        with self.lock:
            self._take_out(row)
            self.targets.release(self.first_targets[row])
            self.first_targets[row] = _NO_TARGET
            del self._rows[self.hosts[row]]
            self.states[row] = _FREE
            self.held_versions[row] = 0
            self._free.append(row)

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

    def _is_newer(self, row: int, message: peer.HostRow) -> bool:
        held = (
            self.incarnations[row],
            self.sequences[row],
            self.states[row],
        )
        offered = (message.incarnation, message.sequence, message.state)
        return offered > held

    def _store(self, row: int, message: peer.HostRow) -> None:
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
        self.targets.release(self.first_targets[row])
        first = _NO_TARGET
        for target in message.targets or ():
            first = self.targets.add(target, first)
        self.first_targets[row] = first

    def _take_out(self, row: int) -> None:
        """Take a row out of everything that is kept up to date."""
        if self.states[row] == _FREE:
            return
        self.unsettled.discard(row)
        for target_set in self._target_sets_of(row):
            self.changed_sets.add(target_set)
            self._rows_by_set[target_set].remove(row)
        if not self.is_member(row):
            return
        self._toggle_digest(row)
        if self.data_centres[row] != self.data_centre:
            return
        self.epoch += 1
        self.members -= 1
        self.coverage ^= self.ranks[row]
        if self.is_alive(row):
            entry = (self.ranks[row], row)
            del self.ranked[bisect.bisect_left(self.ranked, entry)]

    def _put_in(self, row: int) -> None:
        """Put a row into everything that is kept up to date."""
        if not self.is_alive(row):
            self.unsettled.add(row)
        for target_set in self._target_sets_of(row):
            self.changed_sets.add(target_set)
            self._rows_by_set.setdefault(target_set, []).append(row)
        if not self.is_member(row):
            return
        self._toggle_digest(row)
        if self.data_centres[row] != self.data_centre:
            return
        self.epoch += 1
        self.members += 1
        self.coverage ^= self.ranks[row]
        if self.is_alive(row):
            bisect.insort(self.ranked, (self.ranks[row], row))

    def _target_sets_of(self, row: int) -> set[str]:
        chain = self.targets.walk(self.first_targets[row])
        return {self.targets.target_sets[item] for item in chain}

    def _toggle_digest(self, row: int) -> None:
        """Take the row out of the digests, or put it in.

        XOR undoes itself, and hosts that are gone do not count: a table
        that has forgotten them equals one that has not yet.
        """
        mixed = self.ranks[row]
        mixed ^= self.incarnations[row] * _MIX_INCARNATION
        mixed ^= self.sequences[row] * _MIX_SEQUENCE
        mixed ^= self.states[row] * _MIX_STATE
        mixed = (mixed * _MIX_INCARNATION) & _MASK
        self.digest ^= mixed
        self.bucket_digests[self.ranks[row] % BUCKETS] ^= mixed

    def _grow(self, message: peer.HostRow) -> int:
        if self._free:
            row = self._free.pop()
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


def make_host_table(data_centre: base.DataCentre) -> HostTable:
    """Make an empty table of hosts for a proxy of a data centre."""
    return HostTable(data_centre)
