"""Orders of the operator and rollouts, mergeable from several sources."""

from collections.abc import Iterable
import logging

import msgspec

from sedgering import base
from sedgering import rollout

__all__ = ['RolloutEntry', 'RolloutLog', 'RolloutNews']

LOG = logging.getLogger(__name__)

#: Version of an order that the operator has withdrawn.
WITHDRAWN = base.SoftwareVersion('')
ORDER_KEY = 'order/'
ROLLOUT_KEY = 'rollout/'


class RolloutEntry(msgspec.Struct, frozen=True, array_like=True):
    """The row of a rollout at one revision of the store.

    Parameters
    ----------
    revision : int
        Counter of the store at which it was written.
    rollout : Rollout
        The row.
    """

    revision: int
    rollout: rollout.Rollout


class RolloutNews(msgspec.Struct, frozen=True, array_like=True):
    """Orders and rollouts that one daemon knows.

    Parameters
    ----------
    orders : tuple of Order
        Those that were withdrawn without a version.
    entries : tuple of RolloutEntry
        One for each set at most.
    """

    orders: tuple[rollout.Order, ...] = ()
    entries: tuple[RolloutEntry, ...] = ()


class RolloutLog:
    """Orders and rollouts by set; of each the newest counts.

    Attributes
    ----------
    is_known : bool
        Whether a source has told all of them, or that there are none.
    """

    def __init__(self):
        self.is_known = False
        self._orders: dict[base.TargetSetName, rollout.Order] = {}
        self._entries: dict[base.TargetSetName, RolloutEntry] = {}

    def merge(self, news: RolloutNews) -> bool:
        """Take in what a source tells; say whether anything was new."""
        is_changed = False
        for order in news.orders:
            known = self._orders.get(order.target_set)
            if known is None or order.revision > known.revision:
                self._orders[order.target_set] = order
                is_changed = True
                LOG.info(
                    'rollout ordered' if order.version else 'order withdrawn',
                    extra={
                        'target_set': order.target_set,
                        'detail': f'{order.version} in {order.duration_ms} ms',
                        'version': order.revision,
                    },
                )
        for entry in news.entries:
            is_changed |= self._merge_entry(entry)
        return is_changed

    def _merge_entry(self, entry: RolloutEntry) -> bool:
        target_set = base.TargetSetName(entry.rollout.target_set)
        known = self._entries.get(target_set)
        if known is not None and entry.revision <= known.revision:
            return False
        self._entries[target_set] = entry
        LOG.info(
            'rollout %s',
            entry.rollout.stage.value,
            extra={
                'target_set': target_set,
                'detail': f'{entry.rollout.old} to {entry.rollout.new}',
                'version': entry.rollout.order_revision,
            },
        )
        return True

    def find_order(
        self, target_set: base.TargetSetName
    ) -> rollout.Order | None:
        """Return the order of a set that is in force."""
        order = self._orders.get(target_set)
        return order if order is not None and order.version else None

    def find_new_order(
        self, target_set: base.TargetSetName
    ) -> rollout.Order | None:
        """Return the order of a set in force that no row follows yet."""
        order = self.find_order(target_set)
        entry = self._entries.get(target_set)
        if order is None or entry is None:
            return order
        is_newer = order.revision > entry.rollout.order_revision
        return order if is_newer else None

    def is_order_known(self, target_set: base.TargetSetName) -> bool:
        """Whether the order that the row of a set follows has come here.

        Rows may come first.  Without this, a daemon that had the row of a
        second rollout 0.6 s before its order took it as withdrawn, and undid
        a good version.
        """
        order = self._orders.get(target_set)
        entry = self._entries.get(target_set)
        if order is None or entry is None:
            return entry is None
        return order.revision >= entry.rollout.order_revision

    def find_entry(
        self, target_set: base.TargetSetName
    ) -> RolloutEntry | None:
        """Return the row of a set."""
        return self._entries.get(target_set)

    def list_open(self) -> list[base.TargetSetName]:
        """Return the sets whose rollout has yet to come to its end."""
        return [
            name
            for name in sorted(self._orders.keys() | self._entries.keys())
            if self._is_open(name)
        ]

    def _is_open(self, target_set: base.TargetSetName) -> bool:
        if self.find_new_order(target_set) is not None:
            return True
        entry = self._entries.get(target_set)
        return entry is not None and not entry.rollout.stage.is_final

    def list_trials(self) -> list[tuple[base.TargetSetName, int]]:
        """Return the sets with a version on trial, and their orders."""
        return [
            (name, entry.rollout.order_revision)
            for name, entry in self._entries.items()
            if entry.rollout.stage is rollout.Stage.TRIAL
        ]

    def make_permits(
        self,
        target_set: base.TargetSetName,
        versions: Iterable[base.SoftwareVersion],
    ) -> rollout.Permits:
        """Say which versions of a set may get calls.

        Parameters
        ----------
        target_set : str
            The set.
        versions : iterable of str
            Of its targets.
        """
        entry = self._entries.get(target_set)
        return rollout.make_permits(
            entry.rollout if entry else None,
            self.find_order(target_set),
            rollout.find_majority(versions),
        )

    def list_known(self) -> dict[str, int] | None:
        """Return the revisions that are known; None before any source told."""
        if not self.is_known:
            return None
        known = {
            ORDER_KEY + name: order.revision
            for name, order in self._orders.items()
        }
        for name, entry in self._entries.items():
            known[ROLLOUT_KEY + name] = entry.revision
        return known

    def find_news(self, known: dict[str, int] | None) -> RolloutNews | None:
        """Return what somebody needs who knows some revisions."""
        if not self.is_known:
            return None
        if known is None:
            return RolloutNews(
                tuple(self._orders.values()), tuple(self._entries.values())
            )
        orders = tuple(
            order
            for name, order in self._orders.items()
            if order.revision > known.get(ORDER_KEY + name, 0)
        )
        entries = tuple(
            entry
            for name, entry in self._entries.items()
            if entry.revision > known.get(ROLLOUT_KEY + name, 0)
        )
        return RolloutNews(orders, entries) if orders or entries else None

    def list_orders(self) -> tuple[rollout.Order, ...]:
        """Return all orders, also those that were withdrawn."""
        return tuple(self._orders.values())
