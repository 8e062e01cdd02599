"""Sign-off and roll: how a bundle becomes the version to be in force."""

from sedgering.release._client import make_operation_id
from sedgering.release._client import ReleaseClient
from sedgering.release._content import read_content
from sedgering.release._content import VersionContent
from sedgering.release._records import Contact
from sedgering.release._records import contact_key
from sedgering.release._records import CONTACT_PREFIX
from sedgering.release._records import ContactRecord
from sedgering.release._records import decode_record
from sedgering.release._records import encode_record
from sedgering.release._records import HEAD_KEY
from sedgering.release._records import HeadRecord
from sedgering.release._records import progress_key
from sedgering.release._records import PROGRESS_PREFIX
from sedgering.release._records import ProgressRecord
from sedgering.release._records import RefusalRecord
from sedgering.release._records import RollRecord
from sedgering.release._records import SignOffRecord
from sedgering.release._watch import check_complete
from sedgering.release._watch import FleetProgress
from sedgering.release._watch import read_progress

__all__ = [
    'CONTACT_PREFIX',
    'Contact',
    'ContactRecord',
    'FleetProgress',
    'HEAD_KEY',
    'HeadRecord',
    'PROGRESS_PREFIX',
    'ProgressRecord',
    'RefusalRecord',
    'ReleaseClient',
    'RollRecord',
    'SignOffRecord',
    'VersionContent',
    'check_complete',
    'contact_key',
    'decode_record',
    'encode_record',
    'make_operation_id',
    'progress_key',
    'read_content',
    'read_progress',
]
