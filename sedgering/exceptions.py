"""Numbered result codes and the exceptions that carry them.

The thousands digit gives the subject: 1 settings and bundles, 2 release,
3 platform, 4 peers and distribution, 5 requests, 6 targets, members and
rollouts, 7 days of sites that the soak plays.  A number is never reused with
another meaning.  The codes are documented in docs/errors.md, and a test
compares the two.
"""

import enum

__all__ = [
    'BundleError',
    'Code',
    'MemberError',
    'PeerError',
    'PlatformError',
    'ReleaseError',
    'ReportError',
    'RequestError',
    'RolloutError',
    'SedgeringError',
    'SettingsError',
]


class Code(enum.IntEnum):
    """Result codes with a text that says what happened, not where."""

    def __new__(cls, number: int, text: str):
        """Create a member from its number and text."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.text = text
        return member

    SETTINGS_UNREADABLE = 1001, 'settings file cannot be read as YAML'
    SETTINGS_INVALID = 1002, 'a setting has an unknown key or a wrong type'
    SETTINGS_MISSING = 1003, 'a required setting is missing'
    SETTINGS_ADDRESS = 1004, 'an address is not an IP number'
    SETTINGS_RANGE = 1005, 'a setting is outside its range'
    SETTINGS_PORT = 1006, 'a port that is set cannot be opened'

    BUNDLE_UNREADABLE = 1101, 'bundle cannot be decoded'
    BUNDLE_DUPLICATE = 1102, 'two objects of one kind have the same name'
    BUNDLE_DANGLING = 1103, 'a reference names an object that is missing'
    BUNDLE_OVERLAP = 1104, 'two routes match the same requests'
    BUNDLE_RANGE = 1105, 'a limit in the bundle is outside its range'
    BUNDLE_DIGEST = 1106, 'content does not match its digest'
    BUNDLE_BASE = 1107, 'delta does not start from the version held'
    BUNDLE_ORDER = 1108, 'version is not greater than the version held'
    BUNDLE_MESH = 1109, 'bundle belongs to another mesh'
    BUNDLE_KEY = 1110, 'a key of a workspace is held twice'

    RELEASE_LOST_SIGN_OFF = 2001, 'another sign-off came first'
    RELEASE_LOST_ROLL = 2002, 'another roll came first'
    RELEASE_NOT_SIGNED = 2003, 'version has no sign-off'
    RELEASE_NOT_NEWER = 2004, 'version is not greater than the one rolled'
    RELEASE_UNCHANGED = 2005, 'content equals the base version'
    RELEASE_UNKNOWN = 2006, 'outcome unknown; resume with the operation id'
    RELEASE_OPERATION = 2007, 'operation id belongs to another operation'
    RELEASE_NO_VERSION = 2008, 'version does not exist'
    RELEASE_INCOMPLETE = 2009, 'roll not complete within the time given'

    PLATFORM_DOWN = 3001, 'platform cannot be reached; nothing was written'
    PLATFORM_UNKNOWN = 3002, 'platform gave no answer; outcome unknown'
    PLATFORM_CIRCUIT = 3003, 'platform is failing; not asked'
    PLATFORM_REFUSED = 3004, 'platform refused the request'
    PLATFORM_CONFLICT = 3005, 'a condition of the transaction did not hold'
    PLATFORM_NO_OBJECT = 3006, 'object is missing from the object store'
    PLATFORM_BUSY = 3007, 'platform is over its budget'
    PLATFORM_HISTORY = 3008, 'platform has dropped its history; read again'

    PEER_MESH = 4001, 'peer belongs to another mesh'
    PEER_PROTOCOL = 4002, 'peer speaks another protocol version'
    PEER_DAMAGED = 4003, 'peer message cannot be decoded'
    PEER_OVERSIZED = 4004, 'peer message is too large'
    PEER_NOTHING_HELD = 4005, 'peer holds no version yet'
    PEER_UNREACHABLE = 4006, 'peer cannot be reached'
    PEER_BUSY = 4007, 'peer is busy; ask again later'
    JOIN_NO_FLOOR = 4008, 'waiting: no safe version floor is known yet'

    REQUEST_NO_ROUTE = 5001, 'no route matches; not run'
    REQUEST_NO_TARGET = 5002, 'no target can take the request; not run'
    REQUEST_NOT_RUN = 5003, 'target refused before work; not run'
    REQUEST_UNKNOWN = 5004, 'target gave no whole answer; outcome unknown'
    REQUEST_NOT_READY = 5005, 'proxy holds no bundle yet; not run'
    REQUEST_DEADLINE = 5006, 'deadline passed before sending; not run'
    REQUEST_LATE = 5007, 'deadline passed after sending; outcome unknown'
    REQUEST_SHED = 5008, 'over its limit; not run, come back later'
    REQUEST_MALFORMED = 5009, 'request is malformed; not run'
    REQUEST_LEAVING = 5010, 'proxy is leaving; not run'
    REQUEST_GUARD_DOWN = 5011, 'repeat guard is unavailable; not run'
    REQUEST_ALREADY_RUN = 5012, 'request with this key ran already'
    REQUEST_CLAIMED = 5013, 'request with this key has no known outcome'
    REQUEST_KEY_REUSED = 5014, 'key belongs to another request; not run'
    REQUEST_QUARANTINED = 5015, 'targets ended under it before; not run'
    REQUEST_KEY_UNKNOWN = 5016, 'no workspace holds its key; not run'
    REQUEST_KEY_UNSURE = 5017, 'proxy may be behind on keys; not run'
    REQUEST_QUOTA = 5018, 'its workspace is beyond its quota; not run'
    REQUEST_RATE_LIMITED = 5019, 'targets take no more for now; not run'
    REQUEST_UNREAD = 5020, 'no room for another large answer; not run'

    REPORT_UNREADABLE = 6001, 'report cannot be decoded; nothing changed'
    REPORT_SET = 6002, 'report is of an unknown target set; nothing changed'
    REPORT_TARGET = 6003, 'report names two targets; nothing changed'
    REPORT_LIFETIME = 6004, 'report does not tell its start; nothing changed'
    REPORT_NOT_HELD = (
        6005,
        'departure recorded, but would not outlive this daemon; report again',
    )
    MEMBER_UNREADABLE = 6101, 'member row cannot be decoded; names no target'
    ROLLOUT_UNREADABLE = 6201, 'order or row of a rollout cannot be decoded'
    ROLLOUT_NOT_SHOWN = (
        6202,
        'too few calls on some routes to judge the new version there',
    )
    ANSWER_SIGNAL = (
        6301,
        'field of an answer of a target is malformed; ignored',
    )

    SITE_UNREADABLE = 7001, 'site file cannot be read; nothing was played'
    SITE_EVENT = 7002, 'part of a day that cannot be played on processes'


class SedgeringError(Exception):
    """An error with a numbered code.

    Parameters
    ----------
    code : Code
        Kind of the error.
    detail : str
        Details such as a key path, a version or names.
    """

    def __init__(self, code: Code, detail: str = ''):
        super().__init__(code, detail)
        self.code = code
        self.detail = detail

    def __str__(self) -> str:
        """Return code, text and detail in one line."""
        line = f'SDG-{int(self.code)} {self.code.text}'
        return f'{line}: {self.detail}' if self.detail else line


class SettingsError(SedgeringError):
    """Invalid settings, with which a process does not start."""


class BundleError(SedgeringError):
    """An invalid bundle or delta; no part of it is applied."""


class ReleaseError(SedgeringError):
    """A sign-off or roll that failed or whose outcome is unknown."""


class PlatformError(SedgeringError):
    """A failure of the table service or the object store."""


class PeerError(SedgeringError):
    """An invalid message from another proxy, or a failed call to one."""


class ReportError(SedgeringError):
    """An invalid report of a target; it changes nothing."""


class MemberError(SedgeringError):
    """An invalid member row, which names no target."""


class RolloutError(SedgeringError):
    """An invalid order or row of a rollout; it changes nothing."""


class RequestError(SedgeringError):
    """A request that the proxy answers itself with an error."""
