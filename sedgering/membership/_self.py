"""What this host states of itself."""

import msgspec

from sedgering import base
from sedgering import peer
from sedgering import settings

__all__ = ['SelfRow', 'TargetReport', 'announce_target', 'make_host_row']


class TargetReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a target says to its local proxy, again and again.

    Parameters
    ----------
    name : str
        Unique on the host.
    target_set : str
        Target set that it serves.
    port : int
        Port on the address of the host.
    slots : int
        Requests that it works on at a time.
    state : str
        `starting`, `serving`, `draining`; `gone` takes it off.
    """

    name: str
    target_set: str
    port: int
    slots: int = 12
    state: str = 'serving'


class SelfRow:
    """State of this host; the source of its row in all tables.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Name, data centre and addresses.
    incarnation : int
        Greater than that of any earlier process on this host.
    """

    def __init__(
        self,
        proxy_settings: settings.ProxySettings,
        incarnation: base.Incarnation,
    ):
        self.proxy_settings = proxy_settings
        self.incarnation = incarnation
        self.sequence = 1
        self.state = peer.HostState.STARTING
        self.targets: dict[str, peer.TargetRow] = {}
        self.heard_at_ms: dict[str, int] = {}

    def set_state(self, state: peer.HostState) -> None:
        """Change the state and number the change."""
        if state is not self.state:
            self.state = state
            self.sequence += 1

    def outbid(self, sequence: int) -> None:
        """Make the next statement newer than one seen elsewhere."""
        self.sequence = max(self.sequence, sequence) + 1


def announce_target(row: SelfRow, report: TargetReport, now_ms: int) -> None:
    """Take in what a local target says.

    Parameters
    ----------
    row : SelfRow
        Changed and numbered only when the report says something new.
    report : TargetReport
        Checked by the admin page.
    now_ms : int
        Monotonic time in milliseconds.
    """
    if report.state == 'gone':
        row.heard_at_ms.pop(report.name, None)
        if row.targets.pop(report.name, None):
            row.sequence += 1
        return
    row.heard_at_ms[report.name] = now_ms
    target = peer.TargetRow(
        name=report.name,
        target_set=report.target_set,
        port=report.port,
        state=peer.TargetState[report.state.upper()],
        slots=report.slots,
    )
    if row.targets.get(report.name) != target:
        row.targets[report.name] = target
        row.sequence += 1


def make_host_row(row: SelfRow, held_version: base.Version) -> peer.HostRow:
    """Make the message that states this host."""
    own = row.proxy_settings
    return peer.HostRow(
        host=own.host,
        data_centre=own.data_centre,
        address=str(own.address),
        peer_port=own.peer_port,
        data_port=own.data_port,
        incarnation=row.incarnation,
        sequence=row.sequence,
        state=row.state,
        held_version=held_version,
        targets=list(row.targets.values()),
    )
