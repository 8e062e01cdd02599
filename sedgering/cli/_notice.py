"""After a roll: wake the relays, whose contacts are in the table."""

from sedgering import exceptions
from sedgering import peer
from sedgering import release
from sedgering import storage

__all__ = ['notify_relays']


def notify_relays(table: storage.TableStore, mesh: str, operator: str) -> int:
    """Tell the contacts of all data centres that the head has changed.

    Returns
    -------
    int
        Number of notices sent; 0 when the contacts cannot be read, which
        costs one poll interval of the relays and nothing else.
    """
    try:
        rows = table.scan(release.CONTACT_PREFIX)
    except exceptions.PlatformError:
        return 0
    records = [
        release.decode_record(row, release.ContactRecord) for row in rows
    ]
    addresses = [
        (contact.address, contact.peer_port)
        for record in records
        for contact in record.contacts
    ]
    peer.send_head_notice(addresses, mesh, operator)
    return len(addresses)
