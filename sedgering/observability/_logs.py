"""Logging of JSON lines."""

import datetime
import logging
from typing import TextIO

import msgspec

__all__ = ['JsonFormatter', 'configure_logging']

#: Fields of `extra` that are written to the log line.
FIELDS = (
    'admitted_percent',
    'age_ms',
    'answers',
    'asked',
    'attempts',
    'callers',
    'code',
    'cpu_ms',
    'crashes',
    'demand_percent',
    'detail',
    'dropped_lines',
    'elapsed_ms',
    'fingerprint',
    'fingerprints',
    'key_head',
    'lag_ms',
    'limit_per_s',
    'load',
    'operation_id',
    'outcome',
    'peer',
    'peers',
    'reason',
    'request_id',
    'request_ids',
    'requests',
    'route',
    'sequence',
    'status',
    'target',
    'target_set',
    'version',
    'wait_ms',
    'workspace',
)


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line.

    Parameters
    ----------
    constants : dict of str to str
        Fields that are added to every line, such as host and data_centre.
    """

    def __init__(self, constants: dict[str, str]):
        super().__init__()
        self.constants = constants

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as a JSON line."""
        created_at = datetime.datetime.fromtimestamp(
            record.created, datetime.timezone.utc
        )
        line = {
            'time': created_at.isoformat(timespec='milliseconds'),
            'level': record.levelname,
            'logger': record.name,
            'message': record.getMessage(),
            **self.constants,
        }
        for name in FIELDS:
            if hasattr(record, name):
                line[name] = getattr(record, name)
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logging(
    level: str, stream: TextIO | None = None, **constants: str
) -> None:
    """Configure the root logger to write JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    stream : file
        Output stream; standard error if None.
    **constants : str
        Fields that are added to every line.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(constants))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # urllib3 logs a line for each connection.
    logging.getLogger('urllib3').setLevel(logging.WARNING)
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    logging.getLogger('cherrypy').setLevel(logging.WARNING)
