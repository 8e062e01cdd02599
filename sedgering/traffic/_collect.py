"""Collection of old claims, in bounded batches by conditional writes."""

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import storage
from sedgering.traffic import _claims

__all__ = ['CollectReport', 'collect_claims']

#: Rows read, and at most removed, by one transaction.
BATCH_ROWS = 100


class CollectReport(msgspec.Struct, frozen=True):
    """What one pass did.

    Parameters
    ----------
    seen : int
        Claims looked at.
    removed : int
        Claims removed.
    skipped : int
        Old claims that changed meanwhile, or whose removal is not
        certain; the next pass sees them again.
    """

    seen: int = 0
    removed: int = 0
    skipped: int = 0


def collect_claims(
    table: storage.TableStore,
    before_ms: int,
    operation_id: base.OperationId,
    limit: int,
) -> CollectReport:
    """Remove claims that were made before a moment.

    Parameters
    ----------
    table : TableStore
        The table service.
    before_ms : int
        Wall-clock time; repeats of requests older than this are no longer
        caught.
    operation_id : OperationId
        Names the transactions.
    limit : int
        Most claims looked at.

    Raises
    ------
    PlatformError
        When the platform gives no answer to a read.

    Notes
    -----
    Each removal is conditional on the revision that was read.  Two
    collectors at once, or a copy that arrives late, remove nothing but
    what was old.
    """
    report = CollectReport()
    after = ''
    while report.seen < limit:
        size = min(BATCH_ROWS, limit - report.seen)
        rows = table.scan(_claims.CLAIM_PREFIX, after, size)
        if not rows:
            break
        after = rows[-1].key
        old = [row for row in rows if _is_old(row, before_ms)]
        removed = 0
        if old and _remove(table, old, operation_id):
            removed = len(old)
        report = CollectReport(
            report.seen + len(rows),
            report.removed + removed,
            report.skipped + len(old) - removed,
        )
    return report


def _is_old(row: storage.Row, before_ms: int) -> bool:
    try:
        record = msgspec.json.decode(row.value, type=_claims.ClaimRecord)
    except msgspec.DecodeError as error:
        raise exceptions.PlatformError(
            exceptions.Code.PLATFORM_REFUSED, f'row {row.key}: {error}'
        ) from error
    return record.claimed_at_ms < before_ms


def _remove(
    table: storage.TableStore,
    rows: list[storage.Row],
    operation_id: base.OperationId,
) -> bool:
    outcome = table.transact(
        storage.Transaction(
            operation_id,
            tuple(storage.Condition(row.key, row.revision) for row in rows),
            deletes=tuple(row.key for row in rows),
        )
    )
    return outcome.kind is storage.OutcomeKind.DONE
