"""Randomized soak: real daemons as processes, faults from outside them.

``python -m soak --seed N`` runs daemons, targets, callers and the stand-in
store on loopback, injects a plan of faults that the seed determines, and
checks the promises of docs/soak.md from what callers and targets saw.
"""
