"""Sign-off and roll as conditional transactions on the head row.

A transaction carries an operation id and writes the proof
``operation/<id>`` together with its effect.  When the answer is lost, the
proof is read back, and if it is missing the *same* transaction is sent
again: it is conditional on the head's revision, so that however many
copies arrive, and however late, at most one takes effect.  "Not done" is
said only once the head has moved on without the proof, since no copy
still on its way can succeed from then on.
"""

from collections.abc import Callable
import uuid

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering.release import _records
from sedgering import storage

__all__ = ['ReleaseClient', 'make_operation_id']

#: Times that a write with an unknown outcome is looked into.
SETTLE_ATTEMPTS = 5
PUT_ATTEMPTS = 3
HISTORY_BATCH = 200

_LOST_CODES = {
    _records.OperationKind.SIGN_OFF: exceptions.Code.RELEASE_LOST_SIGN_OFF,
    _records.OperationKind.ROLL: exceptions.Code.RELEASE_LOST_ROLL,
}


def make_operation_id() -> base.OperationId:
    """Make an operation id that nobody else uses."""
    return base.OperationId(uuid.uuid4().hex)


class _HeadState(msgspec.Struct, frozen=True):
    """The head row as read, and the proof of one operation."""

    head: _records.HeadRecord
    revision: int
    proof: _records.OperationRecord | None


class _Attempt(msgspec.Struct, frozen=True):
    """A write whose outcome is to be settled."""

    kind: _records.OperationKind
    version: base.Version
    head_revision: int
    transaction: storage.Transaction


class ReleaseClient:
    """What operators do to versions.

    Parameters
    ----------
    table : TableStore
        Head, sign-offs, rolls and proofs.
    objects : ObjectStore
        Content under its digest.
    wall_ms : callable
        Wall-clock time in milliseconds, for the records only.
    pause : callable
        Called with the attempt's number before an unknown outcome is
        looked into again.
    """

    def __init__(
        self,
        table: storage.TableStore,
        objects: storage.ObjectStore,
        wall_ms: Callable[[], int],
        pause: Callable[[int], None],
    ):
        self.table = table
        self.objects = objects
        self.wall_ms = wall_ms
        self.pause = pause

    def sign_off(
        self,
        content: bundles.Bundle,
        operator: str,
        operation_id: base.OperationId,
    ) -> _records.SignOffRecord:
        """Store a bundle and give it the next version.

        Parameters
        ----------
        content : Bundle
            Validated bundle.
        operator : str
            Who answers for it.
        operation_id : OperationId
            The same id again resumes the same operation.

        Returns
        -------
        SignOffRecord
            Of this operation, also when an earlier try had succeeded.

        Raises
        ------
        ReleaseError
            Lost to another sign-off, unchanged content, or unknown.
        PlatformError
            Nothing was written.
        """
        encoded = bundles.encode_bundle(bundles.check_bundle(content))
        digest = bundles.compute_digest(encoded)
        state = self._read_state(operation_id)
        if state.proof:
            return self._resume_sign_off(state.proof, digest)
        if state.head.digest == digest:
            raise exceptions.ReleaseError(
                exceptions.Code.RELEASE_UNCHANGED,
                f'version {state.head.version}',
            )
        self._put_content(digest, encoded)
        delta_digest = self._put_delta(state.head, content, digest)
        record = _records.SignOffRecord(
            version=base.Version(state.head.latest_signed + 1),
            digest=digest,
            base_version=state.head.version,
            operator=operator,
            signed_at_ms=self.wall_ms(),
            operation_id=operation_id,
            delta_digest=delta_digest,
        )
        head = msgspec.structs.replace(
            state.head, latest_signed=record.version, changed_by=operator
        )
        key = _records.sign_off_key(record.version)
        attempt = _make_attempt(
            _records.OperationKind.SIGN_OFF, state, head, key, record
        )
        self._settle(attempt)
        return record

    def roll(
        self,
        version: base.Version,
        operator: str,
        operation_id: base.OperationId,
    ) -> _records.RollRecord:
        """Make a signed-off version the one to be in force everywhere.

        Parameters
        ----------
        version : Version
            Greater than the version rolled last.
        operator : str
            Who answers for it.
        operation_id : OperationId
            The same id again resumes the same operation.

        Returns
        -------
        RollRecord
            Of this operation, also when an earlier try had succeeded.

        Raises
        ------
        ReleaseError
            Lost to another roll, not signed off, not newer, or unknown.
        PlatformError
            Nothing was written.
        """
        state = self._read_state(operation_id)
        if state.proof:
            return self._resume_roll(state.proof, version)
        self._check_newer(state.head, version)
        sign_off = self.read_sign_off(version)
        record = _records.RollRecord(
            version=version,
            from_version=state.head.version,
            operator=operator,
            rolled_at_ms=self.wall_ms(),
            operation_id=operation_id,
        )
        head = msgspec.structs.replace(
            state.head,
            version=version,
            digest=sign_off.digest,
            changed_by=operator,
        )
        key = _records.roll_key(version)
        attempt = _make_attempt(
            _records.OperationKind.ROLL, state, head, key, record
        )
        self._settle(attempt)
        return record

    def read_head(self) -> _records.HeadRecord:
        """Read what is rolled and signed off last."""
        (row,) = self.table.read([_records.HEAD_KEY])
        record = _records.decode_record(row, _records.HeadRecord)
        return record or _records.HeadRecord()

    def read_sign_off(self, version: base.Version) -> _records.SignOffRecord:
        """Read the sign-off of a version.

        Raises
        ------
        ReleaseError
            When there is none.
        """
        (row,) = self.table.read([_records.sign_off_key(version)])
        record = _records.decode_record(row, _records.SignOffRecord)
        if record is None:
            raise exceptions.ReleaseError(
                exceptions.Code.RELEASE_NOT_SIGNED, f'version {version}'
            )
        return record

    def read_roll(self, version: base.Version) -> _records.RollRecord | None:
        """Read the roll of a version; None when it was never rolled."""
        (row,) = self.table.read([_records.roll_key(version)])
        return _records.decode_record(row, _records.RollRecord)

    def read_bundle(self, version: base.Version) -> bundles.Bundle:
        """Fetch the content of a signed-off version."""
        sign_off = self.read_sign_off(version)
        encoded = self.objects.get_object(base.Digest(sign_off.digest))
        return bundles.decode_bundle(encoded, base.Digest(sign_off.digest))

    def list_sign_offs(self) -> tuple[_records.SignOffRecord, ...]:
        """Read all sign-offs, oldest first."""
        return self._list('sign-off/', _records.SignOffRecord)

    def list_rolls(self) -> tuple[_records.RollRecord, ...]:
        """Read all rolls, oldest first."""
        return self._list('roll/', _records.RollRecord)

    def _list(
        self, prefix: str, record_type: type[_records.RecordT]
    ) -> tuple[_records.RecordT, ...]:
        records = []
        after = ''
        while True:
            rows = self.table.scan(prefix, after, HISTORY_BATCH)
            for row in rows:
                records.append(_records.decode_record(row, record_type))
            if len(rows) < HISTORY_BATCH:
                return tuple(records)
            after = rows[-1].key

    def _check_newer(
        self, head: _records.HeadRecord, version: base.Version
    ) -> None:
        if version > head.version:
            return
        detail = f'version {version}; {head.changed_by} rolled {head.version}'
        raise exceptions.ReleaseError(
            exceptions.Code.RELEASE_NOT_NEWER, detail
        )

    def _put_content(self, digest: base.Digest, encoded: bytes) -> None:
        outcome = None
        for attempt in range(PUT_ATTEMPTS):
            if attempt:
                self.pause(attempt)
            # Idempotent, so an unknown outcome is simply tried again.
            outcome = self.objects.put_object(digest, encoded)
            if outcome.kind is storage.OutcomeKind.DONE:
                return
        # Content without a sign-off changes nothing for anybody.
        raise exceptions.PlatformError(
            exceptions.Code.PLATFORM_DOWN, f'content: {outcome.detail}'
        )

    def _put_delta(
        self,
        head: _records.HeadRecord,
        content: bundles.Bundle,
        digest: base.Digest,
    ) -> bytes:
        """Store the difference from the version rolled; return its name."""
        if not head.version:
            return b''
        base_digest = base.Digest(head.digest)
        encoded = self.objects.get_object(base_digest)
        old = bundles.decode_bundle(encoded, base_digest)
        delta = bundles.encode_delta(
            bundles.make_delta(old, base_digest, content, digest)
        )
        name = bundles.compute_digest(delta)
        self._put_content(name, delta)
        return name

    def _read_state(self, operation_id: base.OperationId) -> _HeadState:
        head_row, proof_row = self.table.read(
            [_records.HEAD_KEY, _records.operation_key(operation_id)]
        )
        head = _records.decode_record(head_row, _records.HeadRecord)
        return _HeadState(
            head=head or _records.HeadRecord(),
            revision=head_row.revision,
            proof=_records.decode_record(proof_row, _records.OperationRecord),
        )

    def _settle(self, attempt: _Attempt) -> None:
        """Return when the attempt is done; raise what else is known."""
        is_unknown = False
        for number in range(SETTLE_ATTEMPTS):
            if number:
                self.pause(number)
            outcome = self.table.transact(attempt.transaction)
            if outcome.kind is storage.OutcomeKind.DONE:
                return
            if outcome.kind is storage.OutcomeKind.UNKNOWN:
                is_unknown = True
            elif not outcome.is_conflict and not is_unknown:
                raise outcome.make_error()
            if self._is_proved(attempt):
                return
        if is_unknown:
            self._raise_unknown(attempt)
        raise outcome.make_error()

    def _is_proved(self, attempt: _Attempt) -> bool:
        """Look for the proof; raise when it can no longer appear."""
        try:
            state = self._read_state(attempt.transaction.operation_id)
        except exceptions.PlatformError:
            return False
        if state.proof:
            return True
        if state.revision != attempt.head_revision:
            head = state.head
            detail = (
                f'{head.changed_by} won; rolled {head.version}, '
                f'signed off {head.latest_signed}'
            )
            raise exceptions.ReleaseError(_LOST_CODES[attempt.kind], detail)
        return False

    def _raise_unknown(self, attempt: _Attempt) -> None:
        detail = (
            f'{attempt.kind.value} of version {attempt.version}, '
            f'--operation-id {attempt.transaction.operation_id}'
        )
        raise exceptions.ReleaseError(exceptions.Code.RELEASE_UNKNOWN, detail)

    def _resume_sign_off(
        self, proof: _records.OperationRecord, digest: base.Digest
    ) -> _records.SignOffRecord:
        _check_kind(proof, _records.OperationKind.SIGN_OFF)
        record = self.read_sign_off(proof.version)
        if record.digest != digest:
            raise exceptions.ReleaseError(
                exceptions.Code.RELEASE_OPERATION, 'other content'
            )
        return record

    def _resume_roll(
        self, proof: _records.OperationRecord, version: base.Version
    ) -> _records.RollRecord:
        _check_kind(proof, _records.OperationKind.ROLL)
        record = self.read_roll(proof.version)
        if proof.version != version or record is None:
            raise exceptions.ReleaseError(
                exceptions.Code.RELEASE_OPERATION,
                f'it rolled version {proof.version}',
            )
        return record


def _check_kind(
    proof: _records.OperationRecord, kind: _records.OperationKind
) -> None:
    if proof.kind is not kind:
        raise exceptions.ReleaseError(
            exceptions.Code.RELEASE_OPERATION, f'a {proof.kind.value}'
        )


def _make_attempt(
    kind: _records.OperationKind,
    state: _HeadState,
    head: _records.HeadRecord,
    key: str,
    record: _records.SignOffRecord | _records.RollRecord,
) -> _Attempt:
    proof = _records.OperationRecord(kind=kind, version=record.version)
    proof_key = _records.operation_key(record.operation_id)
    transaction = storage.Transaction(
        operation_id=record.operation_id,
        # Any effect moves the head, so that no second copy, however late,
        # meets this condition again.
        conditions=(storage.Condition(_records.HEAD_KEY, state.revision),),
        puts=(
            storage.Put(_records.HEAD_KEY, _records.encode_record(head)),
            storage.Put(key, _records.encode_record(record)),
            storage.Put(proof_key, _records.encode_record(proof)),
        ),
    )
    return _Attempt(
        kind=kind,
        version=record.version,
        head_revision=state.revision,
        transaction=transaction,
    )
