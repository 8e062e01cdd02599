"""Reads the log output of a process slowly through a small pipe."""

import fcntl
import os
import pathlib
import threading
import time

__all__ = ['start_slow_reader']

PIPE_BYTES = 4096
READ_BYTES = 512
READ_PAUSE_S = 0.1


def start_slow_reader(path: pathlib.Path) -> int:
    """Append what a pipe gets to a file, slowly.

    Returns
    -------
    int
        Descriptor of the writing end, which the caller closes.
    """
    read_end, write_end = os.pipe()
    fcntl.fcntl(read_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    threading.Thread(target=_read, args=(read_end, path), daemon=True).start()
    return write_end


def _read(read_end: int, path: pathlib.Path) -> None:
    with open(read_end, 'rb', buffering=0) as pipe, path.open('ab') as output:
        while data := pipe.read(READ_BYTES):
            output.write(data)
            output.flush()
            time.sleep(READ_PAUSE_S)
