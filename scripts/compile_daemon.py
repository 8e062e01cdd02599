"""Compiles the modules of sedgering into a folder of the daemon's path.

    python3 scripts/compile_daemon.py FOLDER

A host has no disk, so that nothing compiled there would last until the next
start.  Modules are compiled when the daemon is built, without docstrings,
which no daemon reads; a start takes half of the processor time.  Files are
replaced one by one, and only those that differ: daemons may be starting from
the folder.
"""

import importlib._bootstrap_external
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = 'sedgering'
#: Without docstrings; the package has no assertions.
OPTIMIZE = 2


def encode_module(path: pathlib.Path) -> bytes:
    """Return the compiled form of a module, which is loaded without source.

    Parameters
    ----------
    path : Path
        Of its source, below the root: tracebacks name it.
    """
    source = (ROOT / path).read_bytes()
    code = compile(
        source, str(path), 'exec', dont_inherit=True, optimize=OPTIMIZE
    )
    # Of no source's age: there is none beside it to compare with.
    return bytes(importlib._bootstrap_external._code_to_timestamp_pyc(code))


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Write a file at once, if it differs."""
    if path.exists() and path.read_bytes() == data:
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    part = path.with_suffix(f'.{os.getpid()}')
    part.write_bytes(data)
    part.replace(path)


def compile_package(folder: pathlib.Path) -> None:
    """Compile all modules, and remove those whose source is gone."""
    compiled = set()
    for source in sorted((ROOT / PACKAGE).rglob('*.py')):
        relative = source.relative_to(ROOT)
        path = folder / relative.with_suffix('.pyc')
        replace_file(path, encode_module(relative))
        compiled.add(path)
    for path in (folder / PACKAGE).rglob('*.pyc'):
        if path not in compiled:
            path.unlink()


if __name__ == '__main__':
    compile_package(pathlib.Path(sys.argv[1]))
