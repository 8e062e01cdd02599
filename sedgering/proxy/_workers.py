"""Threads that carry commands out, one for the platform, one for peers."""

import abc
from collections.abc import Callable
import logging
import queue
import threading

import msgspec

from sedgering import exceptions
from sedgering import messages
from sedgering import observability
from sedgering import peer
from sedgering import release
from sedgering import storage

__all__ = ['PeerWorker', 'PlatformWorker']

LOG = logging.getLogger(__name__)

QUEUE_LIMIT = 32
FETCH_TIMEOUT_MS = 3000
#: Headers of a short TCP exchange: both handshakes and acknowledgements.
TCP_OVERHEAD_BYTES = 400

Post = Callable[[msgspec.Struct], None]


class Worker(abc.ABC):
    """Takes commands from a bounded queue, one at a time.

    Parameters
    ----------
    post : callable
        Hands an event to the control thread.
    metrics : Metrics
        Counts control bytes.
    """

    name = 'worker'

    def __init__(self, post: Post, metrics: observability.Metrics):
        self.post = post
        self.metrics = metrics
        self._commands: queue.Queue = queue.Queue(QUEUE_LIMIT)

    def start(self) -> None:
        """Run in the background."""
        threading.Thread(target=self._run, name=self.name, daemon=True).start()

    def submit(self, command: msgspec.Struct) -> None:
        """Queue a command; one that finds no room fails at once."""
        try:
            self._commands.put_nowait(command)
        except queue.Full:
            self.post(
                self.make_failure(command, exceptions.Code.PLATFORM_BUSY)
            )

    @abc.abstractmethod
    def carry_out(self, command: msgspec.Struct) -> msgspec.Struct | None:
        """Carry a command out and return the event that tells of it."""

    @abc.abstractmethod
    def make_failure(
        self, command: msgspec.Struct, code: exceptions.Code
    ) -> msgspec.Struct:
        """Make the event that tells of a failure."""

    def _run(self) -> None:
        while True:
            command = self._commands.get()
            try:
                event = self.carry_out(command)
            except exceptions.SedgeringError as error:
                LOG.info(
                    'command failed',
                    extra={'code': int(error.code), 'detail': error.detail},
                )
                event = self.make_failure(command, error.code)
            except Exception:
                # A defect must not end the thread: every later command
                # would wait for ever.
                LOG.exception('command failed')
                event = self.make_failure(
                    command, exceptions.Code.PLATFORM_REFUSED
                )
            if event is not None:
                self.post(event)


class PlatformWorker(Worker):
    """Reads the head, fetches objects and writes rows.

    Parameters
    ----------
    post, metrics
        See :class:`Worker`.
    table : TableStore
        The table service.
    objects : ObjectStore
        The object store.
    """

    name = 'platform-worker'

    def __init__(
        self,
        post: Post,
        metrics: observability.Metrics,
        table: storage.TableStore,
        objects: storage.ObjectStore,
    ):
        super().__init__(post, metrics)
        self.table = table
        self.objects = objects

    def carry_out(self, command: msgspec.Struct) -> msgspec.Struct | None:
        """Carry out one command at the platform."""
        if isinstance(command, messages.ReadHead):
            return self._read_head(command)
        if isinstance(command, messages.FetchObject):
            return self._fetch_object(command)
        return self._write_row(command)

    def make_failure(
        self, command: msgspec.Struct, code: exceptions.Code
    ) -> msgspec.Struct:
        """Make the event that tells of a failure."""
        if isinstance(command, messages.ReadHead):
            return messages.PlatformFailed(int(code), command.with_contacts)
        if isinstance(command, messages.FetchObject):
            return messages.FetchFailed(int(code))
        return messages.RowWriteFailed(command.key)

    def _read_head(self, command: messages.ReadHead) -> messages.HeadRead:
        (row,) = self.table.read([release.HEAD_KEY])
        head = release.decode_record(row, release.HeadRecord)
        self._count('in', len(row.value))
        contacts = None
        if command.with_contacts:
            rows = self.table.scan(release.CONTACT_PREFIX)
            self._count('in', sum(len(row.value) for row in rows))
            contacts = tuple(
                release.decode_record(row, release.ContactRecord)
                for row in rows
            )
        return messages.HeadRead(head or release.HeadRecord(), contacts)

    def _fetch_object(
        self, command: messages.FetchObject
    ) -> messages.ObjectFetched:
        content = release.read_content(
            self.table,
            self.objects,
            command.version,
            command.digest,
            command.held_version,
        )
        self._count('in', content.size)
        return messages.ObjectFetched(content)

    def _write_row(self, command: messages.WriteRow) -> None:
        self._count('out', len(command.value))
        outcome = self.table.transact(
            storage.Transaction(
                operation_id=release.make_operation_id(),
                puts=(storage.Put(command.key, command.value),),
            )
        )
        if outcome.kind is not storage.OutcomeKind.DONE:
            raise outcome.make_error()

    def _count(self, direction: str, size: int) -> None:
        self.metrics.control_bytes.labels('platform', direction).inc(
            size + TCP_OVERHEAD_BYTES
        )


class PeerWorker(Worker):
    """Fetches content and member rows from peers.

    Parameters
    ----------
    post, metrics
        See :class:`Worker`.
    caller : Caller
        This proxy.
    """

    name = 'peer-worker'

    def __init__(
        self,
        post: Post,
        metrics: observability.Metrics,
        caller: peer.Caller,
    ):
        super().__init__(post, metrics)
        self.caller = caller

    def carry_out(self, command: msgspec.Struct) -> msgspec.Struct:
        """Carry out one command at a peer."""
        if isinstance(command, messages.FetchContent):
            return self._fetch_content(command)
        return self._pull_rows(command)

    def make_failure(
        self, command: msgspec.Struct, code: exceptions.Code
    ) -> msgspec.Struct:
        """Make the event that tells of a failure."""
        if isinstance(command, messages.FetchContent):
            return messages.FetchFailed(int(code))
        return messages.RowsPulled(())

    def _fetch_content(
        self, command: messages.FetchContent
    ) -> messages.ContentFetched:
        content = peer.fetch_content(
            command.address,
            self.caller,
            command.held_version,
            FETCH_TIMEOUT_MS,
        )
        self._count(len(content.body))
        return messages.ContentFetched(content, command.address)

    def _pull_rows(self, command: messages.PullRows) -> messages.RowsPulled:
        digests = peer.bucket_digests(
            command.address, self.caller, FETCH_TIMEOUT_MS
        )
        buckets = messages.list_differing(command.bucket_digests, digests)
        self._count(len(digests) * 8)
        if not buckets:
            return messages.RowsPulled(())
        rows = peer.pull_rows(
            command.address, self.caller, buckets, FETCH_TIMEOUT_MS
        )
        self._count(sum(_estimate_bytes(row) for row in rows))
        return messages.RowsPulled(tuple(rows))

    def _count(self, size: int) -> None:
        self.metrics.control_bytes.labels('peer-tcp', 'in').inc(
            size + TCP_OVERHEAD_BYTES
        )


def _estimate_bytes(row: peer.HostRow) -> int:
    """Estimate the encoded size of a row, without encoding it again."""
    size = 40 + len(row.host) + len(row.data_centre) + len(row.address)
    for target in row.targets or ():
        size += 12 + len(target.name) + len(target.target_set)
    return size
