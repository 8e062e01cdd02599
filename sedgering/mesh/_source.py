"""Where versions and member rows come from."""

import abc
from collections.abc import Callable

from sedgering import base
from sedgering.mesh import _config
from sedgering.mesh import _messages

__all__ = ['MeshSource']

#: Called in the event loop with a version that the operator wrote.
OnConfig = Callable[[_config.AcceptedConfig], None]
#: Called in the event loop with the whole list of member rows.
OnMembers = Callable[[dict[base.HostId, _messages.MemberRow]], None]


class MeshSource(abc.ABC):
    """Tells versions and members, and keeps this host's row."""

    @abc.abstractmethod
    def start(self, on_config: OnConfig, on_members: OnMembers) -> None:
        """Start to watch; the callbacks run in the event loop."""

    @abc.abstractmethod
    def publish(self, row: _messages.MemberRow | None) -> None:
        """Make this the row of this host, until the next call.

        Parameters
        ----------
        row : MemberRow or None
            None removes the row.
        """

    @abc.abstractmethod
    def ask_config(self) -> None:
        """Read the newest version soon; a peer has a newer one."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop to watch."""
