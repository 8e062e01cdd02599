"""News of versions and members that daemons pass on to each other.

Watching the store costs each daemon calls, and each version its whole
document.  In a large fleet a few daemons of each data centre watch it, and
the others poll them: a poll is held until there is news, which is a
difference between two versions.
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
from sedgering.mesh import _peer_answers
from sedgering.mesh import _rollout_log
from sedgering.mesh import _source
from sedgering.mesh import _versions
from sedgering import transport

__all__ = [
    'POLL_WAIT_S',
    'RelayDesk',
    'RelayNews',
    'RelayPoll',
    'choose_relays',
    'decode_relay_news',
    'encode_news',
    'encode_poll',
    'hash_text',
    'is_poll',
]

LOG = logging.getLogger(__name__)

#: Longest time for which a poll is held: a daemon that falls silent is
#: noticed a little later, well within the 2 s in which a version must be
#: in force.
POLL_WAIT_S = 1.0
#: Between two looks at whether the own watch of the store is still sound.
LOOK_S = 0.2
#: Daemons that one relay serves.  Each polls two relays once a second, at
#: some 0.3 ms of processor time a poll.
FOLLOWERS_PER_RELAY = 32
#: Two relays at least, so that the loss of one delays nothing.
LEAST_RELAYS = 2

PATH = '/relay'
MARK = 'sedgering-relay'

_ENCODER = msgspec.msgpack.Encoder()


class RelayPoll(msgspec.Struct, frozen=True, array_like=True):
    """What the sender of a poll knows.

    Parameters
    ----------
    host : str
        The sender.
    version : int
        Version held; 0 asks for a whole one.
    member_revision : int
        Counter of the store up to which it knows the member rows.
    rollouts : dict of str to int or None
        Revisions of the orders and rollouts that it knows; None when it has
        not been told of any, or that there are none.
    """

    host: base.HostId
    version: base.Version
    member_revision: int
    rollouts: dict[str, int] | None = None


class RelayNews(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a poll.

    Parameters
    ----------
    is_fresh : bool
        Whether the relay hears the store.
    version_revision : int
        Counter of the store up to which there is no newer version.
    version : VersionNews or None
        None when the sender holds the newest.
    members : MemberNews or None
        Without entries when only the counter has grown.
    rollouts : RolloutNews or None
        None when the sender knows all of them, or the relay does not.
    """

    is_fresh: bool
    version_revision: int
    version: _versions.VersionNews | None
    members: _members.MemberNews | None
    rollouts: _rollout_log.RolloutNews | None = None


class _LooseMembers(msgspec.Struct, array_like=True):
    """Member rows of which some may be strange; see `MemberNews`."""

    entries: tuple[msgspec.Raw, ...]
    revision: int
    is_complete: bool


class _LooseNews(msgspec.Struct, array_like=True):
    """News of which some member rows may be strange; see `RelayNews`."""

    is_fresh: bool
    version_revision: int
    version: _versions.VersionNews | None
    members: _LooseMembers | None
    rollouts: _rollout_log.RolloutNews | None = None


class _EntryHead(msgspec.Struct, array_like=True):
    """What a strange entry must tell at least; see `MemberEntry`."""

    host: base.HostId
    revision: int


_POLL_DECODER = msgspec.msgpack.Decoder(RelayPoll)
_NEWS_DECODER = msgspec.msgpack.Decoder(RelayNews)


def choose_relays(
    members: list[_messages.MemberRow],
) -> list[_messages.MemberRow]:
    """Choose the relays among the members of one data centre.

    Those with the widest links come first: a version is read from the
    store over them.

    Returns
    -------
    list of MemberRow
        In an order that all daemons with the same members agree on.
    """
    count = max(LEAST_RELAYS, math.ceil(len(members) / FOLLOWERS_PER_RELAY))
    ranked = sorted(
        members, key=lambda row: (-row.link_mbps, hash_text(row.host))
    )
    return ranked[:count]


def hash_text(text: str) -> int:
    """Return a number that is the same for a text in all processes."""
    return zlib.crc32(text.encode())


def encode_poll(poll: RelayPoll) -> bytes:
    """Encode a poll as a request to another daemon."""
    headers = [('Host', 'relay'), (MARK, '1')]
    return transport.encode_request(
        transport.Request('POST', PATH, headers, _ENCODER.encode(poll), True)
    )


def encode_news(news: RelayNews) -> transport.Response:
    """Encode the answer to a poll."""
    return transport.Response(
        _peer_answers.STATUS_OK, [], _ENCODER.encode(news)
    )


def is_poll(request: transport.Request) -> bool:
    """Say whether another daemon polls."""
    return request.find(MARK) is not None


def decode_relay_news(response: transport.Response) -> RelayNews:
    """Decode the answer to a poll.

    Raises
    ------
    PeerError
        When it is none.
    """
    return _peer_answers.decode_peer_answer(response, _decode_news)


def _decode_news(body: bytes) -> RelayNews:
    try:
        return _NEWS_DECODER.decode(body)
    except msgspec.ValidationError as error:
        news = msgspec.msgpack.decode(body, type=_LooseNews)
        if news.members is None:
            raise
        LOG.warning(
            'strange rows of a relay',
            extra={
                'code': int(exceptions.Code.MEMBER_UNREADABLE),
                'detail': str(error),
            },
        )
    entries = map(_decode_entry, news.members.entries)
    members = _members.MemberNews(
        tuple(entry for entry in entries if entry is not None),
        news.members.revision,
        news.members.is_complete,
    )
    return RelayNews(
        news.is_fresh,
        news.version_revision,
        news.version,
        members,
        news.rollouts,
    )


def _decode_entry(data: bytes) -> _members.MemberEntry | None:
    """Decode one entry; a strange row names no target."""
    try:
        return msgspec.msgpack.decode(data, type=_members.MemberEntry)
    except msgspec.ValidationError:
        pass
    try:
        head = msgspec.msgpack.decode(data, type=_EntryHead)
    except msgspec.ValidationError:
        return None
    return _members.MemberEntry(head.host, head.revision, None)


class RelayDesk:
    """Answers polls of other daemons.

    Parameters
    ----------
    source : MeshSource
        Whose versions and members are told.
    """

    def __init__(self, source: _source.MeshSource):
        self.source = source
        #: That are held now.
        self.polls = 0
        self._was_trusted = False
        self._look_timer: asyncio.TimerHandle | None = None

    async def answer(self, request: transport.Request) -> transport.Response:
        """Answer a poll once there is news, or after a while."""
        try:
            poll = _POLL_DECODER.decode(request.body)
        except (msgspec.DecodeError, RecursionError) as error:
            return transport.make_json_response(400, {'error': str(error)})
        self.source.note_poll()
        self.polls += 1
        if self._look_timer is None:
            self._was_trusted = self.source.is_trusted
            self._plan_look()
        try:
            news = await self._wait_for_news(poll)
        finally:
            self.polls -= 1
        return encode_news(news)

    async def _wait_for_news(self, poll: RelayPoll) -> RelayNews:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + POLL_WAIT_S
        was_fresh = self.source.is_trusted
        while True:
            news = self._find_news(poll)
            left_s = end_s - loop.time()
            is_lost = was_fresh and not news.is_fresh
            if _has_content(news) or is_lost or left_s <= 0:
                return news
            was_fresh = news.is_fresh
            await self.source.wait_for_change(left_s)

    def _plan_look(self) -> None:
        loop = asyncio.get_running_loop()
        self._look_timer = loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        """Wake the polls that are held where the trust has changed.

        One look for all of them: with twenty polls, one each, they were 170
        a second.
        """
        self._look_timer = None
        if self.polls:
            self._plan_look()
        is_trusted = self.source.is_trusted
        if is_trusted is not self._was_trusted:
            self._was_trusted = is_trusted
            self.source.note_change()

    def _find_news(self, poll: RelayPoll) -> RelayNews:
        source = self.source
        members = None
        if poll.member_revision < source.members.revision:
            members = source.members.find_news(poll.member_revision)
        return RelayNews(
            source.is_trusted,
            source.versions.revision,
            source.versions.find_news(poll.version),
            members,
            source.rollouts.find_news(poll.rollouts),
        )


def _has_content(news: RelayNews) -> bool:
    """Say whether news are worth an answer before time is up."""
    members = news.members
    has_members = members is not None and (
        members.entries or members.is_complete
    )
    return bool(news.version or has_members or news.rollouts)
