#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec timeout -k 2 118 python3 review/3/case.py
