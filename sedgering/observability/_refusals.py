"""Logging of repeated refusals without duplicate lines."""

from collections.abc import Hashable
import logging
from typing import Any

from sedgering import exceptions

__all__ = ['RefusalLog']

#: Number of refusals remembered.  The oldest is evicted first, and is logged
#: again if it recurs.
REMEMBERED_LIMIT = 256


class RefusalLog:
    """Logs each distinct refusal once.

    An invalid row in the store is read again and again, and a target that
    reports invalid values does so with each heartbeat.  One line for each
    occurrence would bury all other log lines.

    Parameters
    ----------
    logger : Logger
        Logger of the module that refuses.
    level : int
        Level of the log lines.
    """

    def __init__(self, logger: logging.Logger, level: int):
        self.logger = logger
        self.level = level
        self._logged_keys: dict[Hashable, None] = {}

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
            Identifies the refusal; equal keys are logged once.
        message : str
            Message of the log line.
        error : SedgeringError
            Reason of the refusal; its code and detail are logged.
        **fields
            Further fields of the log line.
        """
        if key in self._logged_keys:
            return
        self._logged_keys[key] = None
        if len(self._logged_keys) > REMEMBERED_LIMIT:
            del self._logged_keys[next(iter(self._logged_keys))]
        self.logger.log(
            self.level,
            message,
            extra={'code': int(error.code), 'detail': error.detail, **fields},
        )
