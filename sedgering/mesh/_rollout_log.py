"""Orders of the operator and rollouts, merged from several sources."""

from collections.abc import Iterable
import logging

import msgspec

from sedgering import base
from sedgering import rollout

__all__ = ['RolloutEntry', 'RolloutLog', 'RolloutUpdate']

LOG = logging.getLogger(__name__)

#: Version in an order that the operator has withdrawn.
WITHDRAWN = base.SoftwareVersion('')
ORDER_KEY = 'order/'
ROLLOUT_KEY = 'rollout/'


class RolloutEntry(msgspec.Struct, frozen=True, array_like=True):
    """The row of a rollout at one revision of the store.

    Parameters
    ----------
    revision : int
        Revision of the store at which the row was written.
    rollout : Rollout
        Content of the row.
    """

    revision: int
    rollout: rollout.Rollout


class RolloutUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Orders and rollouts that one daemon sends to another.

    Parameters
    ----------
    orders : tuple of Order
        Orders; one that was withdrawn has an empty version.
    entries : tuple of RolloutEntry
        Rollouts, at most one for each target set.
    """

    orders: tuple[rollout.Order, ...] = ()
    entries: tuple[RolloutEntry, ...] = ()


class RolloutLog:
    """Newest order and rollout of each target set.

    Attributes
    ----------
    is_known : bool
        Whether a source has reported all orders and rollouts, or that there
        are none.
    """

    def __init__(self):
        self.is_known = False
        self._orders: dict[base.TargetSetName, rollout.Order] = {}
        self._entries: dict[base.TargetSetName, RolloutEntry] = {}

    def merge(self, update: RolloutUpdate) -> bool:
        """Merge an update; return whether anything in it was new."""
        is_changed = False
        for order in update.orders:
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
        for entry in update.entries:
            is_changed |= self._merge_entry(entry)
        return is_changed

    def _merge_entry(self, entry: RolloutEntry) -> bool:
        target_set = base.TargetSetName(entry.rollout.target_set)
        known = self._entries.get(target_set)
        if known is not None and entry.revision <= known.revision:
            return False
        self._entries[target_set] = entry
        row = entry.rollout
        if row.order_revision == rollout.NO_ORDER:
            LOG.info(
                'version in use recorded',
                extra={'target_set': target_set, 'detail': row.new},
            )
            return True
        LOG.info(
            'rollout %s',
            row.stage.value,
            extra={
                'target_set': target_set,
                'detail': f'{row.old} to {row.new}',
                'version': row.order_revision,
            },
        )
        return True

    def find_order(
        self, target_set: base.TargetSetName
    ) -> rollout.Order | None:
        """Return the order of a set, unless it was withdrawn."""
        order = self._orders.get(target_set)
        return order if order is not None and order.version else None

    def find_new_order(
        self, target_set: base.TargetSetName
    ) -> rollout.Order | None:
        """Return the order of a set that no row is based on yet."""
        order = self.find_order(target_set)
        entry = self._entries.get(target_set)
        if order is None or entry is None:
            return order
        is_newer = order.revision > entry.rollout.order_revision
        return order if is_newer else None

    def is_order_known(self, target_set: base.TargetSetName) -> bool:
        """Whether the order that the row of a set is based on has arrived.

        A row may arrive before its order.  Without this check, a daemon that
        had the row of a second rollout 0.6 s before its order took the order
        as withdrawn, and rolled a good version back.
        """
        order = self._orders.get(target_set)
        entry = self._entries.get(target_set)
        if order is None or entry is None:
            return entry is None
        return order.revision >= entry.rollout.order_revision

    def find_entry(
        self, target_set: base.TargetSetName
    ) -> RolloutEntry | None:
        """Return the newest row of a set."""
        return self._entries.get(target_set)

    def list_open(self) -> list[base.TargetSetName]:
        """Return the sets whose rollout has not ended yet."""
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
        """Return the sets with a version on trial and the order revisions."""
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
        """Decide which versions of a set may get calls.

        Parameters
        ----------
        target_set : str
            Target set.
        versions : iterable of str
            Versions of its targets.
        """
        entry = self._entries.get(target_set)
        return rollout.make_permits(
            entry.rollout if entry else None,
            self.find_order(target_set),
            rollout.find_majority(versions),
        )

    def list_known(self) -> dict[str, int] | None:
        """Return the known revisions by key; None before the first update."""
        if not self.is_known:
            return None
        known = {
            ORDER_KEY + name: order.revision
            for name, order in self._orders.items()
        }
        for name, entry in self._entries.items():
            known[ROLLOUT_KEY + name] = entry.revision
        return known

    def make_update(
        self, known: dict[str, int] | None
    ) -> RolloutUpdate | None:
        """Return an update for a daemon that knows some revisions."""
        if not self.is_known:
            return None
        if known is None:
            return RolloutUpdate(
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
        return RolloutUpdate(orders, entries) if orders or entries else None

    def list_orders(self) -> tuple[rollout.Order, ...]:
        """Return all orders, including withdrawn ones."""
        return tuple(self._orders.values())
