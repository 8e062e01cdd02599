"""Member rows with their revisions, merged from several sources."""

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _messages

__all__ = ['MemberEntry', 'MemberLog', 'MemberUpdate', 'decode_row']

#: Number of removals that are kept. A daemon that lags behind by more of them
#: gets all rows.
REMOVALS_LIMIT = 256


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """Row of one host at one revision of the store.

    Parameters
    ----------
    host : str
        Key of the row.
    revision : int
        Revision of the store at which it was written or removed.
    row : MemberRow or None
        None when the row was removed or is invalid.
    """

    host: base.HostId
    revision: int
    row: _messages.MemberRow | None


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update of member rows, as of one revision of the store.

    Parameters
    ----------
    entries : tuple of MemberEntry
        The changed rows, or all rows.
    revision : int
        Revision of the store up to which all changes are contained.
    is_complete : bool
        Whether hosts that are not listed have no row.
    """

    entries: tuple[MemberEntry, ...]
    revision: int
    is_complete: bool


def decode_row(host: base.HostId, value: bytes) -> _messages.MemberRow:
    """Decode the row of a host.

    Parameters
    ----------
    host : str
        Key of the row.
    value : bytes
        Stored value; it may come from another writer.

    Raises
    ------
    MemberError
        When it cannot be decoded, or names another host.
    """
    code = exceptions.Code.MEMBER_UNREADABLE
    try:
        row = msgspec.json.decode(value, type=_messages.MemberRow)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.MemberError(code, str(error)) from error
    if row.host != host:
        raise exceptions.MemberError(
            code, f'row names another host: {row.host!r}'
        )
    return row


class MemberLog:
    """Member rows, merged by revision.

    Updates come from the store or from other daemons, in any order and more
    than once. Each covers all changes from a revision that was known here up
    to a later one, so that an update of an outdated source reverts nothing.
    """

    def __init__(self):
        self.revision = 0
        self._entries: dict[base.HostId, MemberEntry] = {}
        #: Revision since which all removals are kept in the entries.
        self._removals_since = 0

    def merge(self, update: MemberUpdate) -> bool:
        """Merge an update; return whether any row changed."""
        if update.revision <= self.revision:
            return False
        is_changed = False
        for entry in update.entries:
            known = self._entries.get(entry.host)
            if entry.revision > (known.revision if known else self.revision):
                self._entries[entry.host] = entry
                is_changed = True
        if update.is_complete:
            is_changed |= self._remove_others(update)
        self._forget_removals()
        self.revision = update.revision
        return is_changed

    def make_update(self, revision: int) -> MemberUpdate:
        """Return the update for a daemon that knows all up to a revision."""
        is_complete = revision < self._removals_since
        entries = (
            entry
            for entry in self._entries.values()
            if (
                entry.row is not None
                if is_complete
                else entry.revision > revision
            )
        )
        return MemberUpdate(tuple(entries), self.revision, is_complete)

    def find_entry(self, host: base.HostId) -> MemberEntry:
        """Return the entry of a host; at revision 0 if it has no row."""
        entry = self._entries.get(host)
        if entry is None or entry.row is None:
            return MemberEntry(host, 0, None)
        return entry

    def find_claim(self, host: base.HostId) -> MemberEntry | None:
        """Return a later entry of another host with the address of a host.

        Two daemons cannot listen at one address, and the later row counts.
        """
        own = self._entries.get(host)
        if own is None or own.row is None:
            return None
        for entry in self._entries.values():
            row = entry.row
            if (
                row is not None
                and entry.revision > own.revision
                and row.port == own.row.port
                and row.address == own.row.address
            ):
                return entry
        return None

    def list_members(self) -> dict[base.HostId, _messages.MemberRow]:
        """Return the present rows, the most recently written last."""
        entries = sorted(
            self._entries.values(), key=lambda entry: entry.revision
        )
        return {
            entry.host: entry.row for entry in entries if entry.row is not None
        }

    def _remove_others(self, update: MemberUpdate) -> bool:
        """Remove the hosts that are missing from a complete list.

        They are recorded as removed since the previous list, so that daemons
        which know that list need no complete one. Without these records, after
        the store had dropped its history, each read of a relay sent all 88
        rows to all its followers.
        """
        listed = {entry.host for entry in update.entries}
        missing = [
            host
            for host, entry in self._entries.items()
            if host not in listed and entry.row is not None
        ]
        for host in missing:
            self._entries[host] = MemberEntry(host, update.revision, None)
        if not self.revision:
            self._removals_since = update.revision
        return bool(missing)

    def _forget_removals(self) -> None:
        """Drop the oldest removals above `REMOVALS_LIMIT`."""
        removals = [
            entry for entry in self._entries.values() if entry.row is None
        ]
        if len(removals) <= REMOVALS_LIMIT:
            return
        removals.sort(key=lambda entry: entry.revision)
        for entry in removals[: -REMOVALS_LIMIT // 2]:
            del self._entries[entry.host]
            self._removals_since = entry.revision
