"""Decodes rollout orders, and stores rollouts and their status."""

from collections.abc import Sequence
from typing import Annotated

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import mesh
from sedgering.platform import _store
from sedgering.platform import _tables
from sedgering.platform import _wire
from sedgering import rollout
from sedgering import storage

__all__ = ['PlatformRollouts', 'decode_order', 'make_status']

#: Prefix of the keys of orders, which are in the table of the operator's
#: document, and of the keys of status rows.
ORDER_PREFIX = 'rollout/'
STATUS_TABLE = 'status'
#: Table of this project, with one row for each target set: the version in use,
#: or the rollout that was ordered last.
ROLLOUTS_TABLE = 'sedgering_rollouts'

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

#: State that the operator reads for each stage.
_STATUS_BY_STAGE = {
    rollout.Stage.TRIAL: 'running',
    rollout.Stage.MOVING: 'running',
    rollout.Stage.SETTLING: 'running',
    rollout.Stage.SUCCEEDED: 'succeeded',
    rollout.Stage.ROLLED_BACK: 'rolled_back',
}


class _Order(msgspec.Struct):
    service: _Text
    #: Version of the software of the service.
    to: _Text
    duration: str


class _Status(msgspec.Struct, omit_defaults=True):
    service: str
    to: str
    state: str
    #: Number of the errors' table, and the routes that it is about.
    code: str = ''
    routes: tuple[str, ...] = ()


def decode_order(row: storage.Row) -> rollout.Order | None:
    """Decode an order; one that was withdrawn has an empty version.

    Returns None for a row that is not an order.

    Raises
    ------
    RolloutError
        When the order cannot be decoded; it must then be ignored.
    """
    if not row.key.startswith(ORDER_PREFIX):
        return None
    target_set = base.TargetSetName(row.key.removeprefix(ORDER_PREFIX))
    if row.is_removed:
        return rollout.Order(
            target_set, base.SoftwareVersion(''), 0, row.revision
        )
    try:
        order = msgspec.json.decode(row.value, type=_Order)
        duration_ms = _wire.parse_duration_ms(order.duration)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _make_error(str(error)) from error
    if order.service != target_set:
        raise _make_error(
            f'{row.key} is an order for service {order.service!r}'
        )
    return rollout.Order(
        target_set,
        base.SoftwareVersion(order.to),
        duration_ms,
        row.revision,
    )


class PlatformRollouts(mesh.RolloutStore):
    """Stores the state of rollouts, and their status for the operator.

    Parameters
    ----------
    client : StoreClient
        With an HTTP client that uses an event loop.
    """

    def __init__(self, client: _store.StoreClient):
        self.client = client
        self.table = _tables.PlatformTable(client, ROLLOUTS_TABLE)

    async def write(
        self, row: rollout.Rollout, revision: int
    ) -> storage.Outcome:
        """Write a row and its status; see :class:`RolloutStore`."""
        key = row.target_set
        status = make_status(row)
        status_put = storage.Put(
            f'{ORDER_PREFIX}{key}', msgspec.json.encode(status)
        )
        return await self._write_rows(
            [(row, revision)], [(STATUS_TABLE, status_put)]
        )

    async def record(
        self, rows: Sequence[tuple[rollout.Rollout, int]]
    ) -> storage.Outcome:
        """Write rows of versions in use; see :class:`RolloutStore`."""
        return await self._write_rows(rows, [])

    async def _write_rows(
        self,
        rows: Sequence[tuple[rollout.Rollout, int]],
        other_puts: list[tuple[str, storage.Put]],
    ) -> storage.Outcome:
        """Write rows, each under the condition of its revision."""
        conditions = [
            (ROLLOUTS_TABLE, storage.Condition(row.target_set, revision))
            for row, revision in rows
        ]
        puts = [
            (
                ROLLOUTS_TABLE,
                storage.Put(row.target_set, msgspec.json.encode(row)),
            )
            for row, _revision in rows
        ]
        try:
            written = await self.client.transact_across(
                conditions, puts + other_puts
            )
        except exceptions.PlatformError as error:
            return _tables.make_failed_outcome(error)
        return storage.Outcome(storage.OutcomeKind.DONE, revision=written)


def make_status(row: rollout.Rollout) -> _Status:
    """Make the status of a rollout for the operator."""
    status = _Status(row.target_set, row.new, _STATUS_BY_STAGE[row.stage])
    if row.unshown_routes:
        status.code = f'SDG-{int(exceptions.Code.ROLLOUT_NOT_SHOWN)}'
        status.routes = row.unshown_routes
    return status


def _make_error(detail: str) -> exceptions.RolloutError:
    return exceptions.RolloutError(exceptions.Code.ROLLOUT_UNREADABLE, detail)
