"""Logs what is refused once, however often it is read again."""

from collections.abc import Hashable
import logging
from typing import Any

from sedgering import exceptions

__all__ = ['RefusalLog']

#: Refusals remembered; the oldest is forgotten first, and logged again when
#: it comes again.
REMEMBERED = 256


class RefusalLog:
    """Logs each refusal once.

    What another writer left in the store is there at each read, and whoever
    reports strange things does so with each heartbeat: a line for each would
    hide all others.

    Parameters
    ----------
    logger : Logger
        Of the module that refuses.
    level : int
        Of its lines.
    """

    def __init__(self, logger: logging.Logger, level: int):
        self.logger = logger
        self.level = level
        self._known: dict[Hashable, None] = {}

    def note(
        self,
        key: Hashable,
        message: str,
        error: exceptions.SedgeringError,
        **fields: Any,
    ) -> None:
        """Log a refusal, unless the same one was logged before.

        Parameters
        ----------
        key : hashable
            Equal for refusals that are the same.
        message : str
            Of the line.
        error : SedgeringError
            Why it was refused.
        **fields
            Others of the line.
        """
        if key in self._known:
            return
        self._known[key] = None
        if len(self._known) > REMEMBERED:
            del self._known[next(iter(self._known))]
        self.logger.log(
            self.level,
            message,
            extra={'code': int(error.code), 'detail': error.detail, **fields},
        )
