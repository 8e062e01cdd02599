"""How a proxy that has just started finds the others, and is found."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgering import base
from sedgering.membership import _probe
from sedgering import messages
from sedgering import release

if TYPE_CHECKING:
    from sedgering import control

__all__ = ['JoinSystem']

#: Contacts kept for each data centre.
CONTACTS_PER_DATA_CENTRE = 4
#: Time between two looks at the contact rows by a relay.
CONTACT_INTERVAL_MS = 10_000
#: The same while no other host is known.
LONELY_INTERVAL_MS = 1000
FIRST_RETRY_MS = 500
LONGEST_RETRY_MS = 8000
_NONCE = 0


class JoinSystem(base.System):
    """Asks the platform for contacts, and keeps the contact row fresh.

    Every proxy asks once when it starts.  After that only relays do, so
    that the load on the platform depends on the data centres.
    """

    def __init__(self):
        self._next_read_ms = 0
        self._retry_ms = FIRST_RETRY_MS
        self._is_reading = False

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Take in contacts, then ask again when it is time."""
        for read in tables.inbox.head_reads:
            if read.contacts is not None:
                self._take_in(tables, read.contacts, now_ms)
        if any(item.with_contacts for item in tables.inbox.platform_failures):
            self._back_off(tables, now_ms)
        if now_ms >= self._next_read_ms and not self._is_reading:
            if not self._is_needed(tables):
                return
            self._is_reading = True
            tables.outbox.platform.append(messages.ReadHead(True))

    def _is_needed(self, tables: control.ControlTables) -> bool:
        # Short of a floor, the head in the table is what is missing.
        if not tables.updates.is_floor_known or len(tables.hosts) <= 1:
            return True
        return tables.tree.is_relay

    def _take_in(
        self,
        tables: control.ControlTables,
        records: tuple[release.ContactRecord, ...],
        now_ms: int,
    ) -> None:
        self._is_reading = False
        self._retry_ms = FIRST_RETRY_MS
        self._greet(tables, records)
        interval_ms = CONTACT_INTERVAL_MS
        if len(tables.hosts) <= 1:
            interval_ms = LONELY_INTERVAL_MS
        jitter_ms = tables.rng.randrange(interval_ms // 2)
        self._next_read_ms = now_ms + interval_ms - jitter_ms
        self._refresh(tables, records)

    def _greet(
        self,
        tables: control.ControlTables,
        records: tuple[release.ContactRecord, ...],
    ) -> None:
        """Probe contacts that are unknown here, and pull from one."""
        unknown = [
            (contact.address, contact.peer_port)
            for record in records
            for contact in record.contacts
            if contact.host != tables.settings.host_id
            and not _is_known(tables, contact)
        ]
        for address in unknown:
            compare = _probe.make_compare(tables, _NONCE, False)
            tables.datagram_to(address).compare = compare
        if unknown:
            address = tables.rng.choice(unknown)
            request = _probe.make_pull(tables, address)
            tables.outbox.peers.append(request)

    def _refresh(
        self,
        tables: control.ControlTables,
        records: tuple[release.ContactRecord, ...],
    ) -> None:
        """Write the contact row anew when it misses live relays."""
        if not tables.tree.is_relay:
            return
        data_centre = base.DataCentre(tables.settings.data_centre)
        ranked = tables.hosts.ranked
        wanted = release.ContactRecord(
            data_centre=data_centre,
            contacts=tuple(
                _make_contact(tables, row)
                for _rank, row in ranked[:CONTACTS_PER_DATA_CENTRE]
            ),
        )
        held = [item for item in records if item.data_centre == data_centre]
        if held != [wanted]:
            tables.outbox.platform.append(
                messages.WriteRow(
                    release.contact_key(data_centre),
                    release.encode_record(wanted),
                )
            )

    def _back_off(self, tables: control.ControlTables, now_ms: int) -> None:
        self._is_reading = False
        self._next_read_ms = now_ms + tables.rng.randint(1, self._retry_ms)
        self._retry_ms = min(2 * self._retry_ms, LONGEST_RETRY_MS)
        if len(tables.hosts) > 1:
            return
        for seed in tables.settings.membership.seeds:
            compare = _probe.make_compare(tables, _NONCE, False)
            address = (str(seed.address), seed.port)
            tables.datagram_to(address).compare = compare


def _is_known(tables: control.ControlTables, contact: release.Contact) -> bool:
    row = tables.hosts.find(contact.host)
    return row is not None and tables.hosts.is_member(row)


def _make_contact(tables: control.ControlTables, row: int) -> release.Contact:
    address, port = tables.hosts.address_of(row)
    return release.Contact(tables.hosts.hosts[row], address, port)
