"""Reloads the settings file on SIGHUP, and whenever it changes."""

import asyncio
from collections.abc import Callable
import logging

import msgspec

from sedgering import exceptions
from sedgering.platform import _settings

__all__ = ['SettingsWatcher']

LOG = logging.getLogger(__name__)

#: Time between two reads of the file.  A change without a signal must take
#: effect well within the 2 s allowed for a change of configuration.
POLL_INTERVAL_S = 0.5


class SettingsWatcher:
    """Holds the current settings, and applies changes of the file.

    Parameters
    ----------
    host_settings : HostSettings
        Settings read at the start.
    apply : callable
        Called with the new settings when they differ.
    read : callable
        Reads and decodes the file.
    """

    def __init__(
        self,
        host_settings: _settings.HostSettings,
        apply: Callable[[_settings.HostSettings], None],
        read: Callable[[], _settings.HostSettings] = _settings.read_settings,
    ):
        self.host_settings = host_settings
        self.apply = apply
        self.read = read
        self._last_error = ''

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.reload(False)

    def reload(self, is_signalled: bool = True) -> None:
        """Read the file, and apply its settings when they differ.

        A file that cannot be read or decoded changes nothing.

        Parameters
        ----------
        is_signalled : bool
            Whether to log the reload even when nothing changed.
        """
        try:
            new_settings = self.read()
        except exceptions.SettingsError as error:
            # For example, the file is only partly written.  The current
            # settings remain in force.
            if str(error) != self._last_error:
                self._last_error = str(error)
                LOG.warning('settings refused', extra={'detail': str(error)})
            return
        self._last_error = ''
        changed = []
        if new_settings is not self.host_settings:
            changed = [
                field
                for field in msgspec.structs.asdict(new_settings)
                if getattr(new_settings, field)
                != getattr(self.host_settings, field)
            ]
        if changed:
            self.host_settings = new_settings
            self.apply(new_settings)
        if changed or is_signalled:
            names = ', '.join(changed) or 'nothing changed'
            LOG.info('settings reloaded', extra={'detail': names})
