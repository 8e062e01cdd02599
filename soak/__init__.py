"""Randomized fault injection against real daemon processes.

``python -m soak --seed N`` runs daemons, targets, callers and a stand-in
store on loopback and injects a plan of faults that the seed determines.  It
then checks the guarantees of docs/soak.md against what callers and targets
recorded.
"""
