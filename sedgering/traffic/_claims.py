"""The repeat guard: claims of idempotency keys in the table service.

A request that may not be repeated and carries an Idempotency-Key is sent
only after its claim stands in the table: inserted on the condition that
there is none.  Whoever repeats the request, through whichever proxy, then
finds the claim.  No lease and no clock is involved.
"""

from collections.abc import Sequence
import enum
import hashlib

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import storage

__all__ = [
    'Claim',
    'ClaimRecord',
    'ClaimResult',
    'ClaimState',
    'change_claim',
    'commit_claims',
    'make_claim',
]

#: Times that a group is tried before its requests are refused.
ROUNDS = 4
CLAIM_PREFIX = 'claim/'


class ClaimState(enum.Enum):
    """What is known of a claimed request."""

    #: Sent, perhaps; no outcome was recorded.
    CLAIMED = 'claimed'
    #: Run; the status of the answer is recorded.
    RUN = 'run'
    #: Proven not run; the key may be claimed again.
    NOT_RUN = 'not run'


class ClaimRecord(msgspec.Struct, frozen=True):
    """Row of a claim.

    Parameters
    ----------
    claim_id : str
        Made anew by each try; tells the own claim from others.
    fingerprint : str
        Of method, host and path: a key belongs to one request.
    state : ClaimState
        What is known.
    status : int
        Status of the answer, when it was run.
    claimed_at_ms : int
        Wall-clock time, for collection only.
    """

    claim_id: str
    fingerprint: str
    state: ClaimState
    status: int = 0
    claimed_at_ms: int = 0


class Claim(msgspec.Struct, frozen=True):
    """A claim to be committed, or its outcome to be recorded.

    Parameters
    ----------
    key : str
        Key of the row.
    record : ClaimRecord
        Value of the row.
    """

    key: str
    record: ClaimRecord

    @property
    def is_new(self) -> bool:
        """Whether it claims, rather than records an outcome."""
        return self.record.state is ClaimState.CLAIMED

    @property
    def lets_go(self) -> bool:
        """Whether it frees the key for another claim."""
        return self.record.state is ClaimState.NOT_RUN


class ClaimResult(msgspec.Struct, frozen=True):
    """Whether a claim stands; the code says why it does not."""

    claim: Claim
    code: exceptions.Code | None = None
    status: int = 0


def make_claim(
    party: base.PartyId,
    idempotency_key: str,
    request_line: str,
    claim_id: str,
    now_ms: int,
) -> Claim:
    """Make the claim of one request.

    Parameters
    ----------
    party : PartyId
        Keys of different parties are different keys.
    idempotency_key : str
        As the caller states it.
    request_line : str
        Method, host and path.
    claim_id : str
        Unique.
    now_ms : int
        Wall-clock time.
    """
    digest = hashlib.sha256(f'{party}\0{idempotency_key}'.encode())
    fingerprint = hashlib.sha256(request_line.encode()).hexdigest()[:16]
    record = ClaimRecord(
        claim_id, fingerprint, ClaimState.CLAIMED, claimed_at_ms=now_ms
    )
    return Claim(f'{CLAIM_PREFIX}{digest.hexdigest()}', record)


def change_claim(claim: Claim, state: ClaimState, status: int = 0) -> Claim:
    """Make the outcome of a claim, to be committed as well."""
    record = msgspec.structs.replace(claim.record, state=state, status=status)
    return Claim(claim.key, record)


def commit_claims(
    table: storage.TableStore, claims: Sequence[Claim]
) -> tuple[ClaimResult, ...]:
    """Commit claims and outcomes together, as far as they hold.

    Parameters
    ----------
    table : TableStore
        The table service.
    claims : sequence of Claim
        With different keys.

    Returns
    -------
    tuple of ClaimResult
        One for each claim.  Without a code the claim stands; with one,
        the request must not be sent.

    Notes
    -----
    One transaction carries the whole group.  When a condition fails, the
    rows are read; claims that others hold drop out, and the rest is tried
    again.  When the answer is lost, the own claim id in the row tells
    that the transaction took effect.

    Letting a key go ("not run") is conditional on the own claim: copies
    of that write may arrive late, when somebody else holds the key.
    """
    open_claims = {claim.key: claim for claim in claims}
    revisions = dict.fromkeys(open_claims, 0)
    results: dict[str, ClaimResult] = {}
    if any(claim.lets_go for claim in claims):
        _look(table, open_claims, revisions, results)
    for _ in range(ROUNDS):
        if not open_claims:
            break
        outcome = table.transact(_make_transaction(open_claims, revisions))
        if outcome.kind is storage.OutcomeKind.DONE:
            for key, claim in open_claims.items():
                results[key] = ClaimResult(claim)
            open_claims = {}
        elif outcome.is_conflict or (
            outcome.kind is storage.OutcomeKind.UNKNOWN
        ):
            _look(table, open_claims, revisions, results)
    for key, claim in open_claims.items():
        code = exceptions.Code.REQUEST_GUARD_DOWN
        results[key] = ClaimResult(claim, code)
    return tuple(results[claim.key] for claim in claims)


def _make_transaction(
    claims: dict[str, Claim], revisions: dict[str, int]
) -> storage.Transaction:
    conditions = tuple(
        storage.Condition(key, revisions[key])
        for key, claim in claims.items()
        if claim.is_new or claim.lets_go
    )
    puts = tuple(
        storage.Put(key, msgspec.json.encode(claim.record))
        for key, claim in claims.items()
    )
    first = next(iter(claims.values()))
    operation_id = base.OperationId(first.record.claim_id)
    return storage.Transaction(operation_id, conditions, puts)


def _look(
    table: storage.TableStore,
    claims: dict[str, Claim],
    revisions: dict[str, int],
    results: dict[str, ClaimResult],
) -> None:
    """Read the rows, and settle the claims that can be settled."""
    try:
        rows = table.read(tuple(claims))
    except exceptions.PlatformError:
        return
    for row in rows:
        claim = claims[row.key]
        held = None
        if row.revision:
            held = msgspec.json.decode(row.value, type=ClaimRecord)
        if claim.lets_go:
            result = _settle_letting_go(claim, held)
        elif claim.is_new:
            result = _settle_claim(claim, held)
        else:
            # Nobody else writes over the row of a request that ran.
            result = None
        if result is None:
            revisions[row.key] = row.revision
        else:
            results[row.key] = result
            del claims[row.key]


def _settle_claim(
    claim: Claim, held: ClaimRecord | None
) -> ClaimResult | None:
    """Say how a claim ended; None when it is to be tried (again)."""
    if held is None:
        return None
    is_same = held.fingerprint == claim.record.fingerprint
    if held.claim_id == claim.record.claim_id:
        return ClaimResult(claim)
    if held.state is ClaimState.NOT_RUN and is_same:
        return None
    return ClaimResult(claim, _code_of(held, is_same), held.status)


def _settle_letting_go(
    claim: Claim, held: ClaimRecord | None
) -> ClaimResult | None:
    """Say whether there is nothing to let go any more."""
    is_own = held is not None and held.claim_id == claim.record.claim_id
    if is_own and held.state is ClaimState.CLAIMED:
        return None
    return ClaimResult(claim)


def _code_of(held: ClaimRecord, is_same: bool) -> exceptions.Code:
    if not is_same:
        return exceptions.Code.REQUEST_KEY_REUSED
    if held.state is ClaimState.RUN:
        return exceptions.Code.REQUEST_ALREADY_RUN
    return exceptions.Code.REQUEST_CLAIMED
