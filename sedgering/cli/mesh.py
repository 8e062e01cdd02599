"""sedgering-mesh: the mesh daemon of one host."""

from sedgering import signals

__all__ = ['main']


def main() -> None:
    """Run the program; the entry point of the installed script."""
    # Before the imports below, which take most of the time of a start.
    receiver = signals.SignalReceiver()
    from sedgering.cli import _common
    from sedgering.cli import _mesh_app

    _common.run_program(lambda: _mesh_app.app(obj=receiver))


if __name__ == '__main__':
    main()
