"""Decisions on requests: route, target, limits, attempts, what to tell."""

from sedgering.traffic._admission import AdmissionTable
from sedgering.traffic._admission import Waiter
from sedgering.traffic._admission import WaiterState
from sedgering.traffic._attempts import AttemptOutcome
from sedgering.traffic._attempts import count_allowed
from sedgering.traffic._attempts import may_hedge
from sedgering.traffic._attempts import may_try_again
from sedgering.traffic._attempts import NOT_RUN_HEADER
from sedgering.traffic._attempts import pause_before
from sedgering.traffic._attempts import PROVEN_NOT_RUN
from sedgering.traffic._budget import make_retry_budget
from sedgering.traffic._budget import RetryBudget
from sedgering.traffic._choice import choose_endpoint
from sedgering.traffic._choice import choose_target_set
from sedgering.traffic._claims import change_claim
from sedgering.traffic._claims import Claim
from sedgering.traffic._claims import ClaimRecord
from sedgering.traffic._claims import ClaimResult
from sedgering.traffic._claims import ClaimState
from sedgering.traffic._claims import commit_claims
from sedgering.traffic._claims import make_claim
from sedgering.traffic._collect import collect_claims
from sedgering.traffic._collect import CollectReport
from sedgering.traffic._load import EndpointKey
from sedgering.traffic._load import LoadTable
from sedgering.traffic._outliers import find_slow

__all__ = [
    'AdmissionTable',
    'AttemptOutcome',
    'Claim',
    'ClaimRecord',
    'ClaimResult',
    'ClaimState',
    'CollectReport',
    'EndpointKey',
    'LoadTable',
    'NOT_RUN_HEADER',
    'PROVEN_NOT_RUN',
    'RetryBudget',
    'Waiter',
    'WaiterState',
    'change_claim',
    'choose_endpoint',
    'choose_target_set',
    'collect_claims',
    'commit_claims',
    'count_allowed',
    'find_slow',
    'make_claim',
    'make_retry_budget',
    'may_hedge',
    'may_try_again',
    'pause_before',
]
