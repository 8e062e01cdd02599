"""Comparison of findings with the clauses that a table names."""

import collections

from sedgering.testing import judges


def check_clauses(trial, findings):
    """Return the findings in a trial, which must be those of a table."""
    found = judges.judge_trial(trial)
    counts = collections.Counter(item.clause.name for item in found)
    expected = {}
    if findings != 'nothing':
        count, clause = findings.split(' x ')
        expected = {clause: int(count)}
    assert counts == expected, [str(item) for item in found]
    return found
