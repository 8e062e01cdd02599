#!/bin/sh
# Builds what the scripts of the second review start besides the daemons.
# The stand-ins use the standard library only; they are compiled as a check.
cd "$(dirname "$0")/.." || exit 2
exec python3 -P - <<'END'
import pathlib
for path in sorted(pathlib.Path('review').glob('[456]/play.py')):
    compile(path.read_bytes(), str(path), 'exec')
compile(pathlib.Path('review/rig.py').read_bytes(), 'review/rig.py', 'exec')
END
