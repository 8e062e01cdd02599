"""All tables that the control thread of one proxy writes."""

import random

from sedgering import base
from sedgering import bundle as bundles
from sedgering import distribution
from sedgering import membership
from sedgering import messages
from sedgering import settings

__all__ = ['ControlTables', 'make_control_tables']


class ControlTables:
    """Tables, inbox and outbox of one proxy.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Parameters; everything else here is state.
    incarnation : Incarnation
        Of this process.
    rng : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        proxy_settings: settings.ProxySettings,
        incarnation: base.Incarnation,
        rng: random.Random,
    ):
        self.settings = proxy_settings
        self.rng = rng
        self.self_row = membership.SelfRow(proxy_settings, incarnation)
        self.hosts = membership.make_host_table(
            base.DataCentre(proxy_settings.data_centre)
        )
        self.rumours = membership.RumourTable()
        self.view = membership.TargetView()
        self.holder = bundles.BundleHolder(proxy_settings.mesh)
        self.updates = distribution.UpdateTable()
        self.tree = distribution.TreeTable()
        self.inbox = messages.Inbox()
        self.outbox = messages.Outbox(
            proxy_settings.mesh, proxy_settings.host_id
        )

    def datagram_to(self, address: messages.PeerAddress):
        """Return this tick's datagram to a peer."""
        return self.outbox.datagram_to(address, self.self_row.incarnation)

    @property
    def own_row(self) -> int | None:
        """Row of this host; None before the first tick."""
        return self.hosts.find(self.settings.host_id)


def make_control_tables(
    proxy_settings: settings.ProxySettings,
    incarnation: base.Incarnation,
    rng: random.Random,
) -> ControlTables:
    """Make the empty tables of a proxy that has just started."""
    return ControlTables(proxy_settings, incarnation, rng)
