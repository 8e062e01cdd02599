"""Authentication of callers by the keys of workspaces."""

from sedgering.access._counts import OTHERS
from sedgering.access._counts import WorkspaceCounts
from sedgering.access._identity import Currency
from sedgering.access._identity import identify
from sedgering.access._identity import Identity
from sedgering.access._identity import NOBODY
from sedgering.access._identity import Revocation
from sedgering.access._keys import compute_key_digest
from sedgering.access._keys import find_key
from sedgering.access._keys import KEY_FIELD
from sedgering.access._keys import shorten_digest
from sedgering.access._keys import take_claims

__all__ = [
    'Currency',
    'Identity',
    'KEY_FIELD',
    'NOBODY',
    'OTHERS',
    'Revocation',
    'WorkspaceCounts',
    'compute_key_digest',
    'find_key',
    'identify',
    'shorten_digest',
    'take_claims',
]
