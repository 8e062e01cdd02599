"""Authentication of callers by the keys of workspaces."""

from sedgering.access._counts import OTHERS
from sedgering.access._counts import WorkspaceCounts
from sedgering.access._identity import ANONYMOUS
from sedgering.access._identity import authenticate
from sedgering.access._identity import Freshness
from sedgering.access._identity import Identity
from sedgering.access._identity import RevocationPolicy
from sedgering.access._keys import compute_key_digest
from sedgering.access._keys import find_key
from sedgering.access._keys import KEY_FIELD
from sedgering.access._keys import shorten_digest
from sedgering.access._keys import strip_identity_fields

__all__ = [
    'ANONYMOUS',
    'Freshness',
    'Identity',
    'KEY_FIELD',
    'OTHERS',
    'RevocationPolicy',
    'WorkspaceCounts',
    'authenticate',
    'compute_key_digest',
    'find_key',
    'shorten_digest',
    'strip_identity_fields',
]
