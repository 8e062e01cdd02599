"""The daemon as the platform starts it: opens ports before loading the rest.

    python3 -S -P sedgering/cli/daemon.pyc [--config=FILE] [ADDRESS:PORT ...]

After a power failure all hosts start this program at the same time, while
the target and all other programs of the host start too.  It therefore imports
few modules.  `sedgering-mesh` is the same daemon with a full command line
interface, whose library alone takes 60 ms of CPU time to import.
"""

import gc
import sys

from sedgering import signals

__all__ = ['main']

CONFIG_OPTION = '--config='
#: Same as in `_common`, which is imported only after the ports are open.
EXIT_USAGE = 2
USAGE = 'usage: sedgering.cli.daemon [--config=FILE] [ADDRESS:PORT ...]'


def main(arguments: list[str]) -> None:
    """Run the daemon until SIGTERM or SIGINT, then leave gracefully.

    Parameters
    ----------
    arguments : list of str
        Ports to open immediately, as ``ADDRESS:PORT``, and optionally
        ``--config=FILE`` with the YAML settings of the request path, which
        have their defaults without it.
    """
    # Before the imports below, which take most of the time of a start.
    receiver = signals.SignalReceiver()
    addresses = [item for item in arguments if not item.startswith('-')]
    options = [item for item in arguments if item.startswith('-')]
    if any(not item.startswith(CONFIG_OPTION) for item in options):
        print(USAGE, file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    from sedgering import ports

    open_ports = ports.OpenPorts(receiver=receiver)
    failure = None
    try:
        open_ports.open_all(addresses)
    except (OSError, ValueError, signals.StopRequested) as error:
        failure = error
    # Prevents the import of `ssl`: the daemon does not use TLS, and takes 4 MB
    # less memory without it.
    sys.modules.setdefault('ssl', None)
    # Imported modules are never freed.  Garbage collections during the
    # imports would take a quarter of the startup time, and later collections
    # would scan the modules again unless they are frozen.
    gc.disable()
    from sedgering.cli import _common
    from sedgering.cli import _host

    gc.freeze()
    gc.enable()
    if failure is not None:
        is_stopped = isinstance(failure, signals.StopRequested)
        text = str(failure) if is_stopped else f'{failure}; {USAGE}'
        print(text, file=sys.stderr)
        _host.end_start(open_ports, receiver)
        raise SystemExit(0 if is_stopped else EXIT_USAGE) from failure
    path = options[-1].removeprefix(CONFIG_OPTION) if options else ''
    _common.run_program(
        lambda: _host.run_host(path, receiver, open_ports=open_ports)
    )


if __name__ == '__main__':
    main(sys.argv[1:])
