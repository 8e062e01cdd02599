"""The member rows with their revisions, mergeable from several sources."""

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _messages

__all__ = ['MemberEntry', 'MemberLog', 'MemberNews', 'decode_row']

#: Removals remembered.  Whoever lags behind more of them gets all rows.
REMOVALS_LIMIT = 256


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """The row of one host at one revision of the store.

    Parameters
    ----------
    host : str
        Key of the row.
    revision : int
        Counter of the store at which it was written or removed.
    row : MemberRow or None
        None when it was removed.
    """

    host: base.HostId
    revision: int
    row: _messages.MemberRow | None


class MemberNews(msgspec.Struct, frozen=True, array_like=True):
    """Rows as of one revision of the store.

    Parameters
    ----------
    entries : tuple of MemberEntry
        Those that changed, or all.
    revision : int
        Counter of the store up to which they are known.
    is_complete : bool
        Whether hosts that are not among them have no row.
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
        As the store has it; another writer may have written it.

    Raises
    ------
    MemberError
        When it names no target that could be used.
    """
    code = exceptions.Code.MEMBER_UNREADABLE
    try:
        row = msgspec.json.decode(value, type=_messages.MemberRow)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.MemberError(code, str(error)) from error
    if row.host != host:
        raise exceptions.MemberError(code, f'names the host {row.host!r}')
    return row


class MemberLog:
    """Member rows, merged by revision.

    News come from the store or from another daemon, in any order and more
    than once.  Each covers all changes from a revision that was known here
    to a later one, so that news of a source that lags behind undo nothing.
    """

    def __init__(self):
        self.revision = 0
        self._entries: dict[base.HostId, MemberEntry] = {}
        #: Revision since which every removal is among the entries.
        self._removals_since = 0

    def merge(self, news: MemberNews) -> bool:
        """Take in rows; say whether any was new."""
        if news.revision <= self.revision:
            return False
        is_changed = False
        for entry in news.entries:
            old = self._entries.get(entry.host)
            if entry.revision > (old.revision if old else self.revision):
                self._entries[entry.host] = entry
                is_changed = True
        if news.is_complete:
            is_changed |= self._remove_others(news)
        self._forget_removals()
        self.revision = news.revision
        return is_changed

    def find_news(self, revision: int) -> MemberNews:
        """Return what somebody needs who knows all up to a revision."""
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
        return MemberNews(tuple(entries), self.revision, is_complete)

    def find_entry(self, host: base.HostId) -> MemberEntry:
        """Return the entry of a host; at revision 0 when it has no row."""
        entry = self._entries.get(host)
        if entry is None or entry.row is None:
            return MemberEntry(host, 0, None)
        return entry

    def list_members(self) -> dict[base.HostId, _messages.MemberRow]:
        """Return the rows that are there, those written last at the end."""
        entries = sorted(
            self._entries.values(), key=lambda entry: entry.revision
        )
        return {
            entry.host: entry.row for entry in entries if entry.row is not None
        }

    def _remove_others(self, news: MemberNews) -> bool:
        """Remove the hosts that a complete list leaves out.

        They were removed since the last list, so that others who know that
        one need no complete list: with the history of the store gone, each
        reading of a relay sent all 88 rows to all who follow it.
        """
        named = {entry.host for entry in news.entries}
        gone = [
            host
            for host, entry in self._entries.items()
            if host not in named and entry.row is not None
        ]
        for host in gone:
            self._entries[host] = MemberEntry(host, news.revision, None)
        if not self.revision:
            self._removals_since = news.revision
        return bool(gone)

    def _forget_removals(self) -> None:
        """Keep the newest removals only."""
        removals = [
            entry for entry in self._entries.values() if entry.row is None
        ]
        if len(removals) <= REMOVALS_LIMIT:
            return
        removals.sort(key=lambda entry: entry.revision)
        for entry in removals[: -REMOVALS_LIMIT // 2]:
            del self._entries[entry.host]
            self._removals_since = entry.revision
