"""Decides which calls are served under overload; does no I/O."""

from sedgering.overload._admission import AdmissionController
from sedgering.overload._admission import AdmissionDecision
from sedgering.overload._admission import AdmissionRequest
from sedgering.overload._fair_share import find_fair_level
from sedgering.overload._fair_share import WorkspaceWork
from sedgering.overload._rate_bucket import RateBucket
from sedgering.overload._rate_limit import decode_rate_limit
from sedgering.overload._rate_limit import StatedLimit
from sedgering.overload._retry_after import is_early_retry
from sedgering.overload._retry_after import REJECTED_AFTER_SHARES
from sedgering.overload._retry_after import RETRY_AFTER_SHARES
from sedgering.overload._shares import ShareStanding
from sedgering.overload._shares import WorkspaceShares

__all__ = [
    'AdmissionController',
    'AdmissionDecision',
    'AdmissionRequest',
    'REJECTED_AFTER_SHARES',
    'RETRY_AFTER_SHARES',
    'RateBucket',
    'ShareStanding',
    'StatedLimit',
    'WorkspaceShares',
    'WorkspaceWork',
    'decode_rate_limit',
    'find_fair_level',
    'is_early_retry',
]
