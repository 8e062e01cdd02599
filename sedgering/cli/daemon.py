"""The daemon as the platform starts it: ports first, then the rest.

    python3 -S -m sedgering.cli.daemon [--config=FILE] [ADDRESS:PORT ...]

After a loss of power every host starts this program at once, beside the
target and everything else of the host.  So it loads little: `sedgering-mesh`
is the same daemon with a full command line, whose library alone takes 60 ms
of processor time.
"""

import gc
import sys

from sedgering import ports

__all__ = ['main']

CONFIG_OPTION = '--config='
#: As in `_common`, which is loaded once the ports are open.
EXIT_USAGE = 2
USAGE = 'usage: sedgering.cli.daemon [--config=FILE] [ADDRESS:PORT ...]'


def main(arguments: list[str]) -> None:
    """Run the daemon until SIGTERM or SIGINT, then leave gracefully.

    Parameters
    ----------
    arguments : list of str
        Ports that are opened at once, and where the YAML settings of the
        request path are; without a file all have their defaults.
    """
    addresses = [item for item in arguments if not item.startswith('-')]
    options = [item for item in arguments if item.startswith('-')]
    if any(not item.startswith(CONFIG_OPTION) for item in options):
        print(USAGE, file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    try:
        opened = ports.OpenPorts(addresses)
    except (OSError, ValueError) as error:
        print(f'{error}; {USAGE}', file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from error
    # Nothing here speaks TLS; without it a daemon takes 4 MB less.
    sys.modules.setdefault('ssl', None)
    # What is loaded stays: to look for garbage in it takes a quarter of a
    # start, and some of each later search.
    gc.disable()
    from sedgering.cli import _common
    from sedgering.cli import _host

    gc.freeze()
    gc.enable()
    path = options[-1].removeprefix(CONFIG_OPTION) if options else ''
    _common.run_program(lambda: _host.run_host(path, opened=opened))


if __name__ == '__main__':
    main(sys.argv[1:])
