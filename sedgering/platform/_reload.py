"""Follows the settings file: on SIGHUP, and when it changes without one."""

import asyncio
from collections.abc import Callable
import logging

import msgspec

from sedgering import exceptions
from sedgering.platform import _settings

__all__ = ['SettingsFollower']

LOG = logging.getLogger(__name__)

#: Between two looks at the file; a change without a signal takes effect
#: well within the two seconds of a change of configuration.
LOOK_INTERVAL_S = 0.5


class SettingsFollower:
    """Holds the settings in force, and applies changes.

    Parameters
    ----------
    host_settings : HostSettings
        As read at the start.
    apply : callable
        Called with new settings that differ.
    read : callable
        Reads the file.
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
        self._refused = ''

    async def run(self) -> None:
        """Look at the file again and again."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            self.reload(False)

    def reload(self, is_signalled: bool = True) -> None:
        """Read the file, and apply it where it differs."""
        try:
            found = self.read()
        except exceptions.SettingsError as error:
            # Half-written, say; the settings in force stay.
            if str(error) != self._refused:
                self._refused = str(error)
                LOG.warning('settings refused', extra={'detail': str(error)})
            return
        self._refused = ''
        changed = []
        if found is not self.host_settings:
            changed = [
                field
                for field in msgspec.structs.asdict(found)
                if getattr(found, field) != getattr(self.host_settings, field)
            ]
        if changed:
            self.host_settings = found
            self.apply(found)
        if changed or is_signalled:
            names = ', '.join(changed) or 'nothing changed'
            LOG.info('settings reloaded', extra={'detail': names})
