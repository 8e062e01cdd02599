"""Simulated network between proxies, driven in discrete time steps.

It replaces the adapters below the systems: the systems under test and the
codec are the real ones; only sockets, threads and the clock are simulated.
The test chooses every fault.
"""

import random

import msgspec

from sedgering import base
from sedgering import control
from sedgering import exceptions
from sedgering import messages
from sedgering import peer
from sedgering import release
from sedgering import settings
from sedgering import storage

__all__ = ['Exchange', 'Node']

TICK_MS = 100
PORT = 7000


class Node:
    """One simulated proxy: its tables and systems without adapters.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Settings; the address is unique in the exchange.
    incarnation : int
        Incarnation of the process.
    rng : random.Random
        Source of the random choices of the proxy.
    """

    def __init__(self, proxy_settings, incarnation, rng):
        self.tables = control.make_control_tables(
            proxy_settings, incarnation, rng
        )
        self.systems = control.make_systems()
        self.is_paused = False
        self.versions: list[int] = []

    @property
    def address(self) -> messages.PeerAddress:
        """IP address and peer port."""
        node_settings = self.tables.settings
        return str(node_settings.address), node_settings.peer_port

    @property
    def name(self) -> str:
        """Host name."""
        return self.tables.settings.host

    @property
    def version(self) -> int:
        """Configuration version in force."""
        return self.tables.holder.version

    @property
    def is_serving(self) -> bool:
        """Whether the proxy would accept requests."""
        return self.tables.self_row.state is peer.HostState.SERVING

    def tick(self, now_ms: int) -> None:
        """Run the systems once and record a change of version."""
        control.run_tick(self.systems, self.tables, now_ms)
        if not self.versions or self.versions[-1] != self.version:
            self.versions.append(self.version)


class Exchange:
    """Nodes, the platform, and the messages in flight between them.

    Parameters
    ----------
    store : TableStore and ObjectStore
        Store of the platform.
    seed : int
        Seed of all random choices.
    options : dict
        Settings of all nodes in addition to names and addresses.

    Attributes
    ----------
    loss, duplication : float
        Fraction of datagrams that are lost or delivered twice.
    delay_ticks : int
        Longest delay of a datagram in ticks; above 1, datagrams can be
        reordered.
    cut : set of frozenset of str
        Partitioned pairs of data centres, and isolated single hosts.
    dropped_parts : set of str
        Fields that are removed from every datagram.
    cut_platform : set of str
        Data centres and hosts that cannot reach the platform.
    """

    def __init__(self, store, seed: int, options: dict | None = None):
        self.store: storage.TableStore = store
        self.rng = random.Random(seed)
        self.options = options or {}
        self.now_ms = 1_000_000
        self.nodes: dict[messages.PeerAddress, Node] = {}
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_ticks = 1
        self.cut: set[frozenset[str]] = set()
        self.dropped_parts: set[str] = set()
        self.cut_platform: set[str] = set()
        self.damage_contents = 0
        self._incarnations = 0
        self._in_flight: list = []

    def add(self, data_centre: str, number: int) -> Node:
        """Start a node, or restart it without any retained state."""
        address = f'127.1.0.{number}'
        self._incarnations += 1
        proxy_settings = msgspec.convert(
            {
                'mesh': 'mesh',
                'host': f'{data_centre}-{number}',
                'data_centre': data_centre,
                'address': address,
                'data_port': PORT + 1,
                'peer_port': PORT,
                'admin_port': PORT + 2,
                'platform': {'address': '127.0.0.1', 'port': 1},
                **self.options,
            },
            settings.ProxySettings,
            dec_hook=lambda kind, value: kind(value),
        )
        node = Node(
            proxy_settings,
            base.Incarnation(self._incarnations),
            random.Random(self.rng.random()),
        )
        self.nodes[node.address] = node
        return node

    def kill(self, node: Node) -> None:
        """Crash a node; pending responses to its own calls are lost."""
        del self.nodes[node.address]
        self._in_flight = [
            item
            for item in self._in_flight
            if item[1] != node.address
            or isinstance(item[2], messages.ReceivedDatagram)
        ]

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        for _ in range(int(seconds * 1000 / TICK_MS)):
            self.step()

    def run_until(self, condition, seconds: float) -> float:
        """Advance the time until a condition holds; return the seconds.

        Raises
        ------
        TimeoutError
            When the condition does not hold in time.
        """
        started_ms = self.now_ms
        while not condition():
            elapsed_s = (self.now_ms - started_ms) / 1000
            if elapsed_s > seconds:
                raise TimeoutError(f'condition not met within {seconds} s')
            self.step()
        return (self.now_ms - started_ms) / 1000

    def step(self) -> None:
        """Deliver due events, tick every node, and execute its commands."""
        self.now_ms += TICK_MS
        due = [item for item in self._in_flight if item[0] <= self.now_ms]
        self._in_flight = [
            item for item in self._in_flight if item[0] > self.now_ms
        ]
        for _due_ms, address, event in due:
            node = self.nodes.get(address)
            if node is not None:
                node.tables.inbox.add(event)
        for node in tuple(self.nodes.values()):
            if not node.is_paused:
                node.tick(self.now_ms)
                self._process_outbox(node)

    def replay(self, sender: Node, receiver: Node, datagram) -> None:
        """Deliver a previously recorded datagram again."""
        receiver.tables.inbox.add(
            messages.ReceivedDatagram(datagram, sender.address)
        )

    def _process_outbox(self, node: Node) -> None:
        outbox = node.tables.outbox
        for address, datagram in outbox.datagrams.items():
            self._send(node, address, datagram)
        events = [
            self._execute_platform_command(node, item)
            for item in outbox.platform
        ]
        events += [
            self._execute_peer_command(node, item) for item in outbox.peers
        ]
        for event in events:
            if event is not None:
                self._schedule_event(node.address, event, 1)
        outbox.clear()

    def _send(self, node: Node, address, datagram) -> None:
        if not self._can_reach(node, address):
            return
        for part in self.dropped_parts:
            setattr(datagram, part, None)
        data = peer.encode_datagram(datagram)
        assert len(data) <= peer.MAX_DATAGRAM_BYTES, len(data)
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            received = messages.ReceivedDatagram(
                peer.decode_datagram(data, 'mesh'), node.address
            )
            ticks = self.rng.randint(1, self.delay_ticks)
            self._schedule_event(address, received, ticks)

    def _schedule_event(self, address, event, ticks: int) -> None:
        due_ms = self.now_ms + ticks * TICK_MS
        self._in_flight.append((due_ms, address, event))

    def _can_reach(self, node: Node, address) -> bool:
        other = self.nodes.get(address)
        if other is None:
            return False
        ends = (node.tables.settings, other.tables.settings)
        if frozenset(end.data_centre for end in ends) in self.cut:
            return False
        return all(frozenset((end.host,)) not in self.cut for end in ends)

    def _execute_platform_command(self, node: Node, command):
        node_settings = node.tables.settings
        try:
            if self.cut_platform & {
                node_settings.host,
                node_settings.data_centre,
            }:
                raise exceptions.PlatformError(exceptions.Code.PLATFORM_DOWN)
            if isinstance(command, messages.ReadHead):
                return self._read_head(command)
            if isinstance(command, messages.FetchObject):
                content = release.read_content(
                    self.store,
                    self.store,
                    command.version,
                    command.digest,
                    command.held_version,
                )
                return messages.ObjectFetched(content)
            return self._write_row(command)
        except exceptions.PlatformError as error:
            if isinstance(command, messages.ReadHead):
                return messages.PlatformFailed(
                    int(error.code), command.with_contacts
                )
            if isinstance(command, messages.FetchObject):
                return messages.FetchFailed(int(error.code))
            return messages.RowWriteFailed(command.key)

    def _read_head(self, command):
        (row,) = self.store.read([release.HEAD_KEY])
        head = release.decode_record(row, release.HeadRecord)
        contacts = None
        if command.with_contacts:
            contacts = tuple(
                release.decode_record(item, release.ContactRecord)
                for item in self.store.scan(release.CONTACT_PREFIX)
            )
        return messages.HeadRead(head or release.HeadRecord(), contacts)

    def _write_row(self, command):
        put = storage.Put(command.key, command.value)
        outcome = self.store.transact(
            storage.Transaction(release.make_operation_id(), puts=(put,))
        )
        if outcome.kind is storage.OutcomeKind.DONE:
            return None
        return messages.RowWriteFailed(command.key)

    def _execute_peer_command(self, node: Node, command):
        other = self.nodes.get(command.address)
        is_silent = other is None or other.is_paused
        is_pull = isinstance(command, messages.PullRows)
        if is_silent or not self._can_reach(node, command.address):
            if is_pull:
                return messages.RowsPulled(())
            return messages.FetchFailed(exceptions.Code.PEER_UNREACHABLE)
        if is_pull:
            return _pull_rows(other, command)
        history = other.tables.updates.history
        if history is None:
            return messages.FetchFailed(exceptions.Code.PEER_NOTHING_HELD)
        content = history.content_since(command.held_version)
        if self.damage_contents:
            self.damage_contents -= 1
            content.body = content.body[:-1]
        return messages.ContentFetched(content, command.address)


def _pull_rows(other: Node, command) -> messages.RowsPulled:
    digests = tuple(other.tables.hosts.bucket_digests)
    buckets = frozenset(
        messages.list_differing(command.bucket_digests, digests)
    )
    return messages.RowsPulled(tuple(other.tables.hosts.list_bucket(buckets)))
