"""How far a roll has come, from the progress rows of the data centres."""

import msgspec

from sedgering import base
from sedgering.release import _records
from sedgering import storage

__all__ = ['FleetProgress', 'check_complete', 'read_progress']


class FleetProgress(msgspec.Struct, frozen=True):
    """Progress of all data centres at one moment.

    Parameters
    ----------
    version : Version
        Version rolled last.
    data_centres : tuple of ProgressRecord
        Sorted by name.
    silent : tuple of DataCentre
        Known from their contacts, without any report.
    """

    version: base.Version
    data_centres: tuple[_records.ProgressRecord, ...]
    silent: tuple[base.DataCentre, ...] = ()

    @property
    def members(self) -> int:
        """Hosts known in all data centres."""
        return sum(item.members for item in self.data_centres)

    @property
    def holding(self) -> int:
        """Hosts that certainly hold the version rolled last."""
        return sum(
            _count_holding(item, self.version) for item in self.data_centres
        )


def read_progress(table: storage.TableStore) -> FleetProgress:
    """Read the progress of all data centres.

    Raises
    ------
    PlatformError
        When the platform gives no answer in time.
    """
    (head_row,) = table.read([_records.HEAD_KEY])
    head = _records.decode_record(head_row, _records.HeadRecord)
    progress_rows = table.scan(_records.PROGRESS_PREFIX)
    contact_rows = table.scan(_records.CONTACT_PREFIX)
    reports = tuple(
        _records.decode_record(row, _records.ProgressRecord)
        for row in progress_rows
    )
    reporting = {report.data_centre for report in reports}
    known = [row.key.partition('/')[2] for row in contact_rows]
    return FleetProgress(
        version=head.version if head else base.NO_VERSION,
        data_centres=reports,
        silent=tuple(
            base.DataCentre(name) for name in known if name not in reporting
        ),
    )


def check_complete(progress: FleetProgress, version: base.Version) -> bool:
    """Say whether every host of every data centre holds `version` or more."""
    if not progress.data_centres or progress.silent:
        return False
    return all(
        report.is_exact and report.lowest_version >= version
        for report in progress.data_centres
    )


def _count_holding(
    report: _records.ProgressRecord, version: base.Version
) -> int:
    if report.lowest_version >= version:
        return min(report.covered, report.members)
    if report.highest_version >= version:
        return report.at_highest
    return 0
