"""Systems that get the next version and put it in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgering import base
from sedgering import bundle as bundles
from sedgering.distribution import _history
from sedgering.distribution import _tables
from sedgering import exceptions
from sedgering import membership
from sedgering import messages
from sedgering import peer
from sedgering import release

if TYPE_CHECKING:
    from sedgering import control

__all__ = ['FloorSystem', 'UpdateSystem']

FIRST_RETRY_MS = 50
LONGEST_RETRY_MS = 5000
#: Tries at peers before the object store is asked, when it is an option.
PEER_ATTEMPTS = 2
#: Failures in a row after which damaged content counts as refused.
DAMAGE_LIMIT = 4
#: Time for which answers are gathered before a floor counts without the
#: table: news of a version reaches every peer within it.
FLOOR_SETTLE_MS = 3000
#: Time between two questions to a data centre that has not answered.
FLOOR_ASK_MS = 500
#: Failures in a row after which a version that only peers named is
#: doubted, and for how long: a forged or damaged version must not keep
#: this host from the real ones for ever.
DOUBT_FAILURES = 6
DOUBT_MS = 5000
#: Codes that say that the transfer failed, not that the bundle is bad.
_TRANSFER_CODES = frozenset(
    (
        exceptions.Code.BUNDLE_DIGEST,
        exceptions.Code.BUNDLE_BASE,
        exceptions.Code.BUNDLE_UNREADABLE,
    )
)


class FloorSystem(base.System):
    """Learns the least version that this host may put in force.

    An earlier process of this host may have held a version that this one
    does not know of.  The head row is a strict floor: nothing greater was
    ever in force anywhere when it was read.  Without the table, several
    peers must say what they hold, and every data centre ever heard of
    must be among them: a part of the fleet that is cut off may all lag.
    """

    def __init__(self):
        self._heard: dict[str, int] = {}
        self._first_heard_ms: int | None = None
        self._next_ask_ms = 0

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Take in what the table and the peers say until it suffices."""
        updates = tables.updates
        if not updates.is_floor_known:
            self._learn(tables, now_ms)
        own = tables.self_row
        if (
            updates.is_floor_known
            and own.state is peer.HostState.STARTING
            and tables.holder.version >= max(updates.floor, 1)
        ):
            own.set_state(peer.HostState.SERVING)

    def _learn(self, tables: control.ControlTables, now_ms: int) -> None:
        updates = tables.updates
        for read in tables.inbox.head_reads:
            updates.raise_floor(read.head.version)
            updates.is_floor_known = True
        for received in tables.inbox.datagrams:
            compare = received.datagram.compare
            # Whoever holds nothing knows nothing of a floor either.
            if compare is not None and compare.version:
                self._heard[received.datagram.sender] = compare.version
                self._first_heard_ms = self._first_heard_ms or now_ms
        if self._is_enough(tables, now_ms):
            updates.raise_floor(base.Version(max(self._heard.values())))
            updates.is_floor_known = True
        elif self._first_heard_ms and now_ms >= self._next_ask_ms:
            self._next_ask_ms = now_ms + FLOOR_ASK_MS
            self._ask_missing(tables)

    def _ask_missing(self, tables: control.ControlTables) -> None:
        """Ask a random host of each data centre that has not answered.

        The usual probes rarely go to other data centres.
        """
        hosts = tables.hosts
        missing = hosts.seen_data_centres - self._answering(tables)
        for data_centre in sorted(missing):
            rows = [
                row
                for row in hosts
                if hosts.data_centres[row] == data_centre
                and hosts.is_alive(row)
            ]
            if rows:
                address = hosts.address_of(tables.rng.choice(rows))
                compare = membership.make_compare(tables, 0, False)
                tables.datagram_to(address).compare = compare

    def _is_enough(self, tables: control.ControlTables, now_ms: int) -> bool:
        if self._first_heard_ms is None:
            return False
        if now_ms - self._first_heard_ms < FLOOR_SETTLE_MS:
            return False
        if len(self._heard) < tables.settings.membership.floor_peers:
            return False
        return tables.hosts.seen_data_centres <= self._answering(tables)

    def _answering(self, tables: control.ControlTables) -> set[str]:
        hosts = tables.hosts
        rows = [hosts.find(base.HostId(host)) for host in self._heard]
        return {hosts.data_centres[row] for row in rows if row is not None}


class UpdateSystem(base.System):
    """Gets the greatest version known and puts it in force, or refuses it."""

    def __init__(self):
        self._is_fetching = False
        self._failures = 0
        self._damages = 0
        self._retry_at_ms = 0

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Take in news and content, then fetch what is missing."""
        for received in tables.inbox.datagrams:
            self._hear(tables, received, now_ms)
        for read in tables.inbox.head_reads:
            head = read.head
            if head.version:
                self._want(
                    tables, head.version, base.Digest(head.digest), None
                )
        self._take_in_content(tables, now_ms)
        if tables.inbox.fetch_failures:
            self._back_off(tables, now_ms)
        if tables.updates.doubted:
            _forget_doubts(tables.updates, now_ms)
        self._fetch(tables, now_ms)

    def _hear(
        self,
        tables: control.ControlTables,
        received: messages.ReceivedDatagram,
        now_ms: int,
    ) -> None:
        datagram = received.datagram
        address = received.address
        if datagram.compare is not None:
            version = base.Version(datagram.compare.version)
            self._want(tables, version, None, address)
        if datagram.acknowledgement is not None:
            held = base.Version(datagram.acknowledgement.held_version)
            self._want(tables, held, None, address)
        announcement = datagram.announcement
        if announcement is None:
            return
        version = base.Version(announcement.version)
        digest = base.Digest(announcement.digest)
        if announcement.delta is not None:
            content = peer.Content(
                version=version,
                digest=digest,
                base_version=announcement.base_version,
                body=announcement.delta,
            )
            if announcement.base_version == tables.holder.version:
                self._apply_content(tables, content, now_ms)
        self._want(tables, version, digest, address)

    def _want(
        self,
        tables: control.ControlTables,
        version: base.Version,
        digest: base.Digest | None,
        address: messages.PeerAddress | None,
    ) -> None:
        """Note a version that is known somewhere."""
        updates = tables.updates
        if version <= tables.holder.version or version in updates.refused:
            return
        if version in updates.doubted and address is not None:
            return
        wanted = updates.wanted
        if wanted is None or version > wanted.version:
            wanted = _tables.Wanted(version, digest, [])
            updates.wanted = wanted
            self._failures = 0
            self._retry_at_ms = 0
        if version != wanted.version:
            return
        wanted.digest = wanted.digest or digest
        if address is None:
            wanted.is_from_head = True
        elif address not in wanted.sources:
            wanted.sources.append(address)

    def _take_in_content(
        self, tables: control.ControlTables, now_ms: int
    ) -> None:
        for fetched in tables.inbox.contents:
            self._is_fetching = False
            self._apply_content(tables, fetched.content, now_ms)
            wanted = tables.updates.wanted
            if wanted and fetched.content.version < wanted.version:
                # The peer holds less than was said: ask another one.
                self._back_off(tables, now_ms)
        for fetched in tables.inbox.objects:
            self._is_fetching = False
            content = fetched.content
            self._try(
                tables,
                content.version,
                base.Digest(content.digest),
                lambda content=content: _decode_stored(tables, content),
                now_ms,
            )

    def _apply_content(
        self,
        tables: control.ControlTables,
        content: peer.Content,
        now_ms: int,
    ) -> None:
        digest = base.Digest(content.digest)
        self._try(
            tables,
            base.Version(content.version),
            digest,
            lambda: _decode_content(tables, content, digest),
            now_ms,
        )

    def _try(self, tables, version, digest, decode, now_ms) -> None:
        """Put a version in force, whole, or note why not."""
        if version <= tables.holder.version:
            return
        try:
            snapshot = tables.holder.apply(
                version, digest, decode(), tables.updates.floor
            )
        except exceptions.BundleError as error:
            self._note_failure(tables, version, error, now_ms)
            return
        self._failures = 0
        self._damages = 0
        _note_applied(tables, snapshot, now_ms)

    def _note_failure(
        self,
        tables: control.ControlTables,
        version: base.Version,
        error: exceptions.BundleError,
        now_ms: int,
    ) -> None:
        """Tell a bad transfer, tried again elsewhere, from a bad bundle."""
        if error.code is exceptions.Code.BUNDLE_ORDER:
            self._back_off(tables, now_ms)
            return
        if error.code in _TRANSFER_CODES:
            self._damages += 1
            if self._damages < DAMAGE_LIMIT:
                self._back_off(tables, now_ms)
                return
        self._damages = 0
        tables.updates.refused[version] = int(error.code)
        wanted = tables.updates.wanted
        if wanted is not None and wanted.version == version:
            tables.updates.wanted = None

    def _back_off(self, tables: control.ControlTables, now_ms: int) -> None:
        self._is_fetching = False
        self._failures += 1
        doubled_ms = FIRST_RETRY_MS << min(self._failures, 10)
        longest_ms = min(doubled_ms, LONGEST_RETRY_MS)
        self._retry_at_ms = now_ms + tables.rng.randint(1, longest_ms)
        wanted = tables.updates.wanted
        if wanted is None:
            return
        if self._failures >= DOUBT_FAILURES and not wanted.is_from_head:
            tables.updates.doubted[wanted.version] = now_ms + DOUBT_MS
            tables.updates.wanted = None
        elif wanted.sources:
            # Another source comes first next time.
            wanted.sources.append(wanted.sources.pop(0))

    def _fetch(self, tables: control.ControlTables, now_ms: int) -> None:
        wanted = tables.updates.wanted
        if wanted is None or self._is_fetching or now_ms < self._retry_at_ms:
            return
        if wanted.version <= tables.holder.version:
            tables.updates.wanted = None
            return
        self._is_fetching = True
        # A delta that was damaged once may be wrong at its source, too.
        held = tables.holder.version
        if self._damages > 1:
            held = base.NO_VERSION
        if self._should_ask_store(tables, wanted):
            tables.outbox.platform.append(
                messages.FetchObject(wanted.version, wanted.digest, held)
            )
            return
        source = wanted.sources[0]
        tables.outbox.peers.append(messages.FetchContent(source, held))

    def _should_ask_store(
        self, tables: control.ControlTables, wanted: _tables.Wanted
    ) -> bool:
        if not wanted.sources:
            return True
        if wanted.digest is None or not wanted.is_from_head:
            return False
        return self._failures >= PEER_ATTEMPTS and self._failures % 2 == 0


def _forget_doubts(updates: _tables.UpdateTable, now_ms: int) -> None:
    updates.doubted = {
        version: until_ms
        for version, until_ms in updates.doubted.items()
        if now_ms < until_ms
    }


def _decode_content(
    tables: control.ControlTables,
    content: peer.Content,
    digest: base.Digest,
) -> bundles.Bundle:
    if not content.base_version:
        return _history.decode_full(content.body, digest)
    snapshot = tables.holder.snapshot
    if snapshot is None or snapshot.version != content.base_version:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_BASE)
    delta = bundles.decode_delta(content.body)
    if delta.digest != digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_DIGEST)
    return bundles.apply_delta(snapshot.bundle, snapshot.digest, delta)


def _decode_stored(
    tables: control.ControlTables, content: release.VersionContent
) -> bundles.Bundle:
    if not content.base_version:
        digest = base.Digest(content.digest)
        return bundles.decode_bundle(content.full, digest)
    snapshot = tables.holder.snapshot
    if snapshot is None or snapshot.version != content.base_version:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_BASE)
    reached = snapshot.bundle
    reached_digest = snapshot.digest
    for encoded in content.deltas:
        delta = bundles.decode_delta(encoded)
        reached = bundles.apply_delta(reached, reached_digest, delta)
        reached_digest = base.Digest(delta.digest)
    if reached_digest != content.digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_DIGEST)
    return reached


def _note_applied(
    tables: control.ControlTables,
    snapshot: bundles.Snapshot,
    now_ms: int,
) -> None:
    updates = tables.updates
    options = tables.settings.distribution
    limit = options.delta_history if options.use_delta else 0
    previous = updates.history
    updates.history = _history.make_history(snapshot, previous, limit)
    updates.delta = None
    if updates.history.steps:
        step = updates.history.steps[-1]
        updates.delta_from = step.from_version
        updates.delta = bundles.encode_delta(step.delta)
    updates.applied_at_ms = now_ms
    if updates.wanted and updates.wanted.version <= snapshot.version:
        updates.wanted = None
    updates.refused = {
        version: code
        for version, code in updates.refused.items()
        if version > snapshot.version
    }
