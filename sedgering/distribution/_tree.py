"""The tree: announcements go down, merged acknowledgements come up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgering import base
from sedgering.distribution import _tables
from sedgering import membership
from sedgering import messages
from sedgering import peer
from sedgering import release

if TYPE_CHECKING:
    from sedgering import control

__all__ = ['ProgressSystem', 'TreeSystem']

#: A delta up to this size, in bytes, travels in the announcement itself.
INLINE_DELTA_BYTES = 1000
#: Acknowledgement intervals of silence after which a child is dropped.
CHILD_PATIENCE = 3
#: Shortest time between two announcements of a version to one child.
ANNOUNCE_AGAIN_MS = 300
#: Time between two writes of a progress row that did not change.
PROGRESS_HEARTBEAT_MS = 10_000
REFUSALS_LIMIT = 8
_MASK = (1 << 63) - 1


class TreeSystem(base.System):
    """Finds this host's place, announces downwards, acknowledges upwards."""

    def __init__(self):
        self._epoch = -1
        self._announced_version = base.NO_VERSION
        self._sent: peer.Acknowledgement | None = None
        self._sent_at_ms = 0
        self._sent_to: int | None = None

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Advance the tree by one tick."""
        if self._epoch != tables.hosts.epoch:
            self._epoch = tables.hosts.epoch
            _take_place(tables)
        self._take_in(tables, now_ms)
        self._drop_silent(tables, now_ms)
        if self._announced_version != tables.holder.version:
            self._announced_version = tables.holder.version
            for child in tables.tree.children.values():
                _announce(tables, child, now_ms)
        self._answer_peers(tables)
        self._acknowledge(tables, now_ms)

    def _take_in(self, tables: control.ControlTables, now_ms: int) -> None:
        for received in tables.inbox.datagrams:
            acknowledgement = received.datagram.acknowledgement
            if acknowledgement is None:
                continue
            sender = base.HostId(received.datagram.sender)
            child = tables.tree.children.get(sender)
            if child is None:
                child = _tables.Child(
                    received.address,
                    membership.rank_of(sender),
                    now_ms,
                    acknowledgement,
                )
                tables.tree.children[sender] = child
            child.address = received.address
            child.acknowledgement = acknowledgement
            child.heard_at_ms = now_ms
            is_behind = acknowledgement.held_version < tables.holder.version
            age_ms = now_ms - child.announced_at_ms
            if is_behind and age_ms >= ANNOUNCE_AGAIN_MS:
                _announce(tables, child, now_ms)

    def _drop_silent(self, tables: control.ControlTables, now_ms: int) -> None:
        interval_ms = tables.settings.distribution.acknowledge_interval_ms
        limit_ms = CHILD_PATIENCE * interval_ms
        children = tables.tree.children
        for host, child in tuple(children.items()):
            if now_ms - child.heard_at_ms > limit_ms:
                del children[host]

    def _answer_peers(self, tables: control.ControlTables) -> None:
        """Announce to peers whose comparison shows that they are behind."""
        held = tables.holder.version
        for received in tables.inbox.datagrams:
            compare = received.datagram.compare
            if compare is None or compare.version >= held:
                continue
            datagram = tables.datagram_to(received.address)
            datagram.announcement = make_announcement(
                tables, base.Version(compare.version)
            )

    def _acknowledge(self, tables: control.ControlTables, now_ms: int) -> None:
        parent = tables.tree.parent
        if parent is None:
            return
        options = tables.settings.distribution
        age_ms = now_ms - self._sent_at_ms
        merged = merge_acknowledgements(tables)
        is_news = merged != self._sent or parent != self._sent_to
        pause_ms = options.acknowledge_interval_ms
        if is_news:
            pause_ms = options.merge_interval_ms
        if age_ms < pause_ms:
            return
        self._sent = merged
        self._sent_at_ms = now_ms
        self._sent_to = parent
        address = tables.hosts.address_of(parent)
        tables.datagram_to(address).acknowledgement = merged


class ProgressSystem(base.System):
    """At the top of a tree, writes the progress of its data centre."""

    def __init__(self):
        self._written: release.ProgressRecord | None = None
        self._written_at_ms = 0

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Write the progress row when it changed, at most once a while."""
        key = release.progress_key(
            base.DataCentre(tables.settings.data_centre)
        )
        if not tables.tree.is_top or any(
            failure.key == key for failure in tables.inbox.write_failures
        ):
            self._written = None
        if not tables.tree.is_top:
            return
        age_ms = now_ms - self._written_at_ms
        if age_ms < tables.settings.distribution.progress_interval_ms:
            return
        record = make_progress(tables)
        if record == self._written and age_ms < PROGRESS_HEARTBEAT_MS:
            return
        self._written = record
        self._written_at_ms = now_ms
        value = release.encode_record(record)
        tables.outbox.platform.append(messages.WriteRow(key, value))


def make_announcement(
    tables: control.ControlTables, receiver_version: base.Version
) -> peer.Announcement:
    """Make the announcement of the version held.

    Parameters
    ----------
    tables : ControlTables
        Hold a version.
    receiver_version : Version
        What the receiver holds; the delta is added only if it helps.
    """
    snapshot = tables.holder.snapshot
    announcement = peer.Announcement(
        version=snapshot.version, digest=snapshot.digest
    )
    updates = tables.updates
    is_small = updates.delta and len(updates.delta) <= INLINE_DELTA_BYTES
    if is_small and receiver_version == updates.delta_from:
        announcement.base_version = updates.delta_from
        announcement.delta = updates.delta
    return announcement


def merge_acknowledgements(
    tables: control.ControlTables,
) -> peer.Acknowledgement:
    """Merge what the children acknowledged with the state of this host.

    Notes
    -----
    `coverage` combines the ranks of all hosts covered by XOR.  A host
    that is counted twice and one that is missing cannot make up for each
    other in it, as they can in a count.
    """
    held = tables.holder.version
    own_rank = membership.rank_of(tables.settings.host_id)
    merged = peer.Acknowledgement(
        hosts=1,
        lowest_version=held,
        at_highest=1,
        coverage=own_rank & _MASK,
        refusals=[],
        held_version=held,
    )
    refusals = {
        (version, code): peer.Refusal(version, code, 1, tables.settings.host)
        for version, code in tables.updates.refused.items()
    }
    for child in tables.tree.children.values():
        part = child.acknowledgement
        merged.hosts += part.hosts
        merged.lowest_version = min(merged.lowest_version, part.lowest_version)
        merged.coverage ^= part.coverage
        if part.held_version == held:
            merged.at_highest += part.at_highest
        for refusal in part.refusals or ():
            _add_refusal(refusals, refusal)
    chosen = sorted(refusals.items(), reverse=True)[:REFUSALS_LIMIT]
    merged.refusals = [refusal for _key, refusal in chosen]
    return merged


def make_progress(tables: control.ControlTables) -> release.ProgressRecord:
    """Make the report of this data centre, as seen from its top."""
    merged = merge_acknowledgements(tables)
    data_centre = base.DataCentre(tables.settings.data_centre)
    return release.ProgressRecord(
        data_centre=data_centre,
        reporter=tables.settings.host_id,
        members=tables.hosts.members,
        covered=merged.hosts,
        is_exact=tables.hosts.coverage & _MASK == merged.coverage,
        lowest_version=base.Version(merged.lowest_version),
        highest_version=tables.holder.version,
        at_highest=merged.at_highest,
        refusals=tuple(
            release.RefusalRecord(
                base.Version(item.version),
                item.code,
                item.hosts,
                item.example_host,
            )
            for item in merged.refusals
        ),
    )


def _take_place(tables: control.ControlTables) -> None:
    """Work out parent, top and relay from who is alive now."""
    options = tables.settings.distribution
    ranked = tables.hosts.ranked
    own_rank = membership.rank_of(tables.settings.host_id)
    tree = tables.tree
    tree.parent = membership.choose_parent(own_rank, ranked, options.fan_out)
    tree.is_top = bool(ranked) and ranked[0][0] == own_rank
    relays = [rank for rank, _row in ranked[: options.relays]]
    tree.is_relay = own_rank in relays


def _announce(
    tables: control.ControlTables, child: _tables.Child, now_ms: int
) -> None:
    if tables.holder.snapshot is None:
        return
    child.announced_at_ms = now_ms
    # A child acknowledges after its parent's next step at times; it is
    # taken to hold at least what this host held before.
    receiver_version = max(
        child.acknowledgement.held_version, tables.updates.delta_from
    )
    datagram = tables.datagram_to(child.address)
    datagram.announcement = make_announcement(tables, receiver_version)


def _add_refusal(
    refusals: dict[tuple[int, int], peer.Refusal], refusal: peer.Refusal
) -> None:
    key = (refusal.version, refusal.code)
    held = refusals.get(key)
    if held is None:
        refusals[key] = peer.Refusal(
            refusal.version,
            refusal.code,
            refusal.hosts,
            refusal.example_host,
        )
    else:
        held.hosts += refusal.hosts
