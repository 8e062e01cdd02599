"""Relays: daemons that pass updates from the store on to others.

Each daemon that watches the store calls it repeatedly, and reads the whole
document for each version. In a large fleet, only a few daemons of each data
centre watch the store, and the others poll these relays. A relay holds a poll
until there is an update, such as the difference between two versions.
"""

import asyncio
import logging
import math
import zlib

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _members
from sedgering.mesh import _messages
from sedgering.mesh import _peer_responses
from sedgering.mesh import _rollout_log
from sedgering.mesh import _source
from sedgering.mesh import _versions
from sedgering import transport

__all__ = [
    'POLL_WAIT_S',
    'PollHandler',
    'RelayPoll',
    'RelayUpdate',
    'choose_relays',
    'decode_relay_update',
    'encode_poll',
    'encode_relay_update',
    'has_content',
    'hash_text',
    'is_poll',
]

LOG = logging.getLogger(__name__)

#: Longest time for which a poll is held: a little longer than the usual time
#: between two proofs, so that each answer tells the latest one.
POLL_WAIT_S = 1.15
#: A poll is answered when the proof is newer by this much than at its arrival.
PROOF_STEP_S = 0.4
#: Largest age of a proof that is told.
LONGEST_AGE_S = 3600.0
#: Interval between checks of whether this daemon is still in contact with the
#: store.
CHECK_INTERVAL_S = 0.2
#: Daemons that one relay serves. Each polls two relays once a second; a poll
#: takes about 0.3 ms of processor time.
FOLLOWERS_PER_RELAY = 32
#: At least two relays, so that the failure of one delays no update.
MIN_RELAYS = 2

PATH = '/relay'
MARK = 'sedgering-relay'

_ENCODER = msgspec.msgpack.Encoder()


class RelayPoll(msgspec.Struct, frozen=True, array_like=True):
    """State of the sender of a poll.

    Parameters
    ----------
    host : str
        Host of the sender.
    version : int
        Version that the sender holds; 0 requests a full one.
    member_revision : int
        Revision of the store up to which it knows the member rows.
    rollouts : dict of str to int or None
        Revisions of the orders and rollouts that it knows; None when it does
        not know yet whether there are any.
    """

    host: base.HostId
    version: base.Version
    member_revision: int
    rollouts: dict[str, int] | None = None


class RelayUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a poll.

    Parameters
    ----------
    is_fresh : bool
        Whether followers may rely on the relay: it is in contact with the
        store, or lost contact less than `LOST_GRACE_S` ago.
    version_revision : int
        Revision of the store up to which there is no newer version.
    version : VersionUpdate or None
        None when the sender of the poll holds the newest version.
    members : MemberUpdate or None
        None when the sender of the poll knows the newest revision; without
        entries when only the revision has grown.
    rollouts : RolloutUpdate or None
        None when the sender of the poll knows all of them, or the relay does
        not.
    proof_age_ms : int or None
        How long ago the store was last known to have nothing newer; None from
        a daemon of an earlier release.
    """

    is_fresh: bool
    version_revision: int
    version: _versions.VersionUpdate | None
    members: _members.MemberUpdate | None
    rollouts: _rollout_log.RolloutUpdate | None = None
    proof_age_ms: int | None = None


class _RawMembers(msgspec.Struct, array_like=True):
    """Member rows that may be invalid; see `MemberUpdate`."""

    entries: tuple[msgspec.Raw, ...]
    revision: int
    is_complete: bool


class _RawUpdate(msgspec.Struct, array_like=True):
    """An update whose member rows may be invalid; see `RelayUpdate`."""

    is_fresh: bool
    version_revision: int
    version: _versions.VersionUpdate | None
    members: _RawMembers | None
    rollouts: _rollout_log.RolloutUpdate | None = None
    proof_age_ms: int | None = None


class _EntryKey(msgspec.Struct, array_like=True):
    """Host and revision of an entry with an invalid row; see `MemberEntry`."""

    host: base.HostId
    revision: int


_POLL_DECODER = msgspec.msgpack.Decoder(RelayPoll)
_UPDATE_DECODER = msgspec.msgpack.Decoder(RelayUpdate)


def choose_relays(
    members: list[_messages.MemberRow],
) -> list[_messages.MemberRow]:
    """Choose the relays among a group of members.

    Hosts with the fastest links come first: a relay reads each version from
    the store over its link.

    Returns
    -------
    list of MemberRow
        Relays, in the same order in all daemons that know these members.
    """
    count = max(MIN_RELAYS, math.ceil(len(members) / FOLLOWERS_PER_RELAY))
    candidates = sorted(
        members, key=lambda row: (-row.link_mbps, hash_text(row.host))
    )
    return candidates[:count]


def hash_text(text: str) -> int:
    """Return a hash of a text that is the same in all processes."""
    return zlib.crc32(text.encode())


def encode_poll(poll: RelayPoll) -> bytes:
    """Encode a poll as a request to another daemon."""
    headers = [('Host', 'relay'), (MARK, '1')]
    return transport.encode_request(
        transport.Request('POST', PATH, headers, _ENCODER.encode(poll), True)
    )


def encode_relay_update(update: RelayUpdate) -> transport.Response:
    """Encode the answer to a poll."""
    return transport.Response(
        _peer_responses.STATUS_OK, [], _ENCODER.encode(update)
    )


def is_poll(request: transport.Request) -> bool:
    """Return whether a request is a poll of another daemon."""
    return request.find(MARK) is not None


def decode_relay_update(response: transport.Response) -> RelayUpdate:
    """Decode the answer to a poll.

    Raises
    ------
    PeerError
        When the response is a refusal or cannot be decoded.
    """
    return _peer_responses.decode_peer_answer(response, _decode_update)


def _decode_update(body: bytes) -> RelayUpdate:
    try:
        return _UPDATE_DECODER.decode(body)
    except msgspec.ValidationError as error:
        update = msgspec.msgpack.decode(body, type=_RawUpdate)
        if update.members is None:
            raise
        LOG.warning(
            'invalid member rows from a relay',
            extra={
                'code': int(exceptions.Code.MEMBER_UNREADABLE),
                'detail': str(error),
            },
        )
    entries = map(_decode_entry, update.members.entries)
    members = _members.MemberUpdate(
        tuple(entry for entry in entries if entry is not None),
        update.members.revision,
        update.members.is_complete,
    )
    return RelayUpdate(
        update.is_fresh,
        update.version_revision,
        update.version,
        members,
        update.rollouts,
        update.proof_age_ms,
    )


def _decode_entry(data: bytes) -> _members.MemberEntry | None:
    """Decode one entry; an invalid row becomes None."""
    try:
        return msgspec.msgpack.decode(data, type=_members.MemberEntry)
    except msgspec.ValidationError:
        pass
    try:
        key = msgspec.msgpack.decode(data, type=_EntryKey)
    except msgspec.ValidationError:
        return None
    return _members.MemberEntry(key.host, key.revision, None)


class PollHandler:
    """Answers polls of other daemons.

    Parameters
    ----------
    source : MeshSource
        Provides the versions, members and rollouts to pass on.
    """

    def __init__(self, source: _source.MeshSource):
        self.source = source
        #: Number of polls that are currently held.
        self.polls = 0
        self._was_trusted = False
        self._check_timer: asyncio.TimerHandle | None = None

    async def answer(self, request: transport.Request) -> transport.Response:
        """Answer a poll once there is an update, or after `POLL_WAIT_S`."""
        try:
            poll = _POLL_DECODER.decode(request.body)
        except (msgspec.DecodeError, RecursionError) as error:
            return transport.make_json_response(400, {'error': str(error)})
        self.source.note_poll()
        self.polls += 1
        if self._check_timer is None:
            self._was_trusted = self.source.is_trusted
            self._schedule_check()
        try:
            update = await self._wait_for_update(poll)
        finally:
            self.polls -= 1
        return encode_relay_update(update)

    async def _wait_for_update(self, poll: RelayPoll) -> RelayUpdate:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + POLL_WAIT_S
        was_fresh = self.source.is_trusted
        proof_s = self.source.proof_s
        while True:
            update = self._make_update(poll)
            remaining_s = end_s - loop.time()
            has_lost_store = was_fresh and not update.is_fresh
            has_proof = self.source.proof_s >= proof_s + PROOF_STEP_S
            is_due = has_lost_store or has_proof or remaining_s <= 0
            if is_due or has_content(update):
                return update
            was_fresh = update.is_fresh
            await self.source.wait_for_change(remaining_s)

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(
            CHECK_INTERVAL_S, self._check_trust
        )

    def _check_trust(self) -> None:
        """Wake held polls when contact with the store has changed.

        One timer serves all polls: with a timer for each, 20 polls caused 170
        checks a second.
        """
        self._check_timer = None
        if self.polls:
            self._schedule_check()
        is_trusted = self.source.is_trusted
        if is_trusted is not self._was_trusted:
            self._was_trusted = is_trusted
            self.source.note_change()

    def _make_update(self, poll: RelayPoll) -> RelayUpdate:
        source = self.source
        members = None
        if poll.member_revision < source.members.revision:
            members = source.members.make_update(poll.member_revision)
        return RelayUpdate(
            source.is_trusted,
            source.versions.revision,
            source.versions.make_update(poll.version),
            members,
            source.rollouts.make_update(poll.rollouts),
            self._find_proof_age_ms(),
        )

    def _find_proof_age_ms(self) -> int:
        age_s = asyncio.get_running_loop().time() - self.source.proof_s
        return math.ceil(min(age_s, LONGEST_AGE_S) * 1000)


def has_content(update: RelayUpdate) -> bool:
    """Return whether an update is worth an answer before the timeout."""
    members = update.members
    has_members = members is not None and (
        members.entries or members.is_complete
    )
    return bool(update.version or has_members or update.rollouts)
