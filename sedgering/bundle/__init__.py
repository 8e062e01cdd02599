"""Versioned bundles of routes, target sets and policies."""

from sedgering.bundle._codec import compute_digest
from sedgering.bundle._codec import decode_bundle
from sedgering.bundle._codec import encode_bundle
from sedgering.bundle._codec import MAX_BUNDLE_BYTES
from sedgering.bundle._delta import apply_delta
from sedgering.bundle._delta import compose_deltas
from sedgering.bundle._delta import decode_delta
from sedgering.bundle._delta import decompress
from sedgering.bundle._delta import Delta
from sedgering.bundle._delta import encode_delta
from sedgering.bundle._delta import make_delta
from sedgering.bundle._model import Bundle
from sedgering.bundle._model import HeaderMatch
from sedgering.bundle._model import make_bundle
from sedgering.bundle._model import Policy
from sedgering.bundle._model import Route
from sedgering.bundle._model import TargetSet
from sedgering.bundle._model import WeightedTargetSet
from sedgering.bundle._model import Workspace
from sedgering.bundle._router import find_route
from sedgering.bundle._router import RequestHead
from sedgering.bundle._snapshot import BundleHolder
from sedgering.bundle._snapshot import make_snapshot
from sedgering.bundle._snapshot import Snapshot
from sedgering.bundle._source import load_bundle
from sedgering.bundle._validation import check_bundle

__all__ = [
    'Bundle',
    'BundleHolder',
    'Delta',
    'HeaderMatch',
    'MAX_BUNDLE_BYTES',
    'Policy',
    'RequestHead',
    'Route',
    'Snapshot',
    'TargetSet',
    'WeightedTargetSet',
    'Workspace',
    'apply_delta',
    'check_bundle',
    'compose_deltas',
    'compute_digest',
    'decode_bundle',
    'decode_delta',
    'decompress',
    'encode_bundle',
    'encode_delta',
    'find_route',
    'load_bundle',
    'make_bundle',
    'make_delta',
    'make_snapshot',
]
