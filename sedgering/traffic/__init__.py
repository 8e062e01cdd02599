"""Decisions on requests: route, target, attempts, and what to tell."""

from sedgering.traffic._attempts import AttemptOutcome
from sedgering.traffic._attempts import may_try_again
from sedgering.traffic._attempts import NOT_RUN_HEADER
from sedgering.traffic._choice import choose_endpoint
from sedgering.traffic._choice import choose_target_set
from sedgering.traffic._load import LoadTable
from sedgering.traffic._router import find_route
from sedgering.traffic._router import RequestHead

__all__ = [
    'AttemptOutcome',
    'LoadTable',
    'NOT_RUN_HEADER',
    'RequestHead',
    'choose_endpoint',
    'choose_target_set',
    'find_route',
    'may_try_again',
]
