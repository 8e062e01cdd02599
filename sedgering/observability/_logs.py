"""Logging of JSON lines."""

import datetime
import logging
import os
import sys
from typing import TextIO

import msgspec

from sedgering.observability import _line_writer

__all__ = ['JsonFormatter', 'configure_logging', 'count_dropped_lines']

#: Fields of `extra` that are written to the log line.
FIELDS = (
    'admitted_percent',
    'age_ms',
    'answers',
    'asked',
    'attempts',
    'caller_connections',
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
    'peer_connections',
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


class LineHandler(logging.Handler):
    """Writes records as lines, and drops them while nobody reads.

    Parameters
    ----------
    writer : LineWriter
        Where the lines go.
    """

    def __init__(self, writer: _line_writer.LineWriter):
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; tell of dropped ones once there is room again."""
        try:
            self.writer.write(f'{self.format(record)}\n'.encode())
            dropped = self.writer.take_dropped()
            if dropped:
                line = self.format(
                    _make_record(
                        'log lines dropped, as nobody read them',
                        dropped_lines=dropped,
                    )
                )
                self.writer.write(f'{line}\n'.encode())
        except Exception:
            self.handleError(record)

    def handleError(self, record: logging.LogRecord) -> None:
        """Write a line in place of a record that cannot be formatted.

        The inherited method writes to standard error, which may block.
        """
        line = self.format(_make_record('log record cannot be formatted'))
        self.writer.write(f'{line}\n'.encode())

    def flush(self) -> None:
        """Write what can be written at once."""
        self.writer.flush()


def _make_record(message: str, **fields: int) -> logging.LogRecord:
    """Make a record of this module."""
    return logging.makeLogRecord(
        {
            'name': __name__,
            'levelno': logging.WARNING,
            'levelname': 'WARNING',
            'msg': message,
            **fields,
        }
    )


def _make_handler(stream: TextIO | None) -> logging.Handler:
    """Make the handler of a stream, which is None if it was never open."""
    if stream is None:
        return logging.NullHandler()
    try:
        descriptor = stream.fileno()
        os.fstat(descriptor)
    except OSError:
        # Not a file, such as a stream in memory.
        return logging.StreamHandler(stream)
    return LineHandler(_line_writer.make_line_writer(descriptor))


def count_dropped_lines() -> int:
    """Count the log lines dropped since the start."""
    return sum(
        handler.writer.dropped
        for handler in logging.getLogger().handlers
        if isinstance(handler, LineHandler)
    )


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
    handler = _make_handler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(constants))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # urllib3 logs a line for each connection.
    logging.getLogger('urllib3').setLevel(logging.WARNING)
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    logging.getLogger('cherrypy').setLevel(logging.WARNING)
