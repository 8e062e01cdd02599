"""Notification of the relays after a roll."""

from sedgering import exceptions
from sedgering import peer
from sedgering import release
from sedgering import storage

__all__ = ['notify_relays']


def notify_relays(table: storage.TableStore, mesh: str, operator: str) -> int:
    """Notify the relays of all data centres that the head row has changed.

    Parameters
    ----------
    table : TableStore
        Store that contains the contact records of the relays.
    mesh : str
        Name of the mesh.
    operator : str
        Name of the operator, for logs only.

    Returns
    -------
    int
        Number of notices sent; 0 if the contacts cannot be read.  A relay
        without a notice finds the change at its next poll of the head row.
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
