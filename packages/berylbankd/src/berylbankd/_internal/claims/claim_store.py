"""Claims idempotency keys before requests are dispatched, and records their outcomes."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from berylbank._internal.exceptions import (
    BerylbankError,
    ConflictError,
    InvalidDocumentError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from berylbank._internal.store.protocols import TableService, Write
from berylbankd._internal.claims.claim import (
    Claim,
    ClaimDecision,
    ClaimState,
    StoredResponse,
    decide_claim,
    dump_claim,
    load_claim,
)
from berylbankd._internal.claims.write_batcher import WriteBatcher

CLAIM_ATTEMPTS = 4
CLAIM_RETRY_DELAY_S = 0.05
RECORD_RETRY_DELAY_S = 0.2
MAX_RECORD_RETRY_DELAY_S = 5.0


class AcquiredClaim(NamedTuple):
    """A claim that this VM wrote: the key of its row, the row's version and its content."""

    key: str
    version: int
    claim: Claim


class ExistingClaim(NamedTuple):
    """The claim that the idempotency key has already, and what to do with the new request."""

    decision: ClaimDecision
    claim: Claim


class ClaimUnavailable(NamedTuple):
    """No attempt to write the claim gave a result; the request must not be dispatched."""

    reason: str


ClaimResult = AcquiredClaim | ExistingClaim | ClaimUnavailable


class ClaimStore:
    """Writes and reads the claims of requests on this VM.

    ``pending_records`` counts the outcomes that are not written yet. ``sleep`` waits between
    attempts.
    """

    def __init__(
        self,
        table: TableService,
        batcher: WriteBatcher,
        randomness: random.Random,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.table = table
        self.batcher = batcher
        self.randomness = randomness
        self.sleep = sleep
        self.pending_records = 0

    async def acquire(self, key: str, own: Claim) -> ClaimResult:
        """Write the claim ``own`` to row ``key``, or return the claim that is there already.

        Return :class:`ClaimUnavailable` after ``CLAIM_ATTEMPTS`` attempts without a result.
        """
        expected_version = 0
        reason = "the store did not answer"
        for attempt in range(CLAIM_ATTEMPTS):
            if attempt:
                await self.sleep(
                    CLAIM_RETRY_DELAY_S * 2**attempt * (0.5 + self.randomness.random())
                )
            try:
                await self.batcher.commit(Write(key, dump_claim(own), expected_version))
                return AcquiredClaim(key, expected_version + 1, own)
            except (ConflictError, OutcomeUnknownError):
                found = await self._read_claim(key, own)
            except PlatformUnavailableError as error:
                reason = error.message
                continue
            if isinstance(found, AcquiredClaim | ExistingClaim):
                return found
            expected_version = found if found is not None else expected_version
        return ClaimUnavailable(reason)

    async def record_outcome(
        self, acquired: AcquiredClaim, state: ClaimState, response: StoredResponse | None
    ) -> None:
        """Write how the request ended; retry until the write succeeds or the row has changed.

        A conflict means that the row no longer holds this claim, so there is nothing to record.
        """
        claim = acquired.claim._replace(state=state.value, answer=response)
        write = Write(acquired.key, dump_claim(claim), acquired.version)
        delay_s = RECORD_RETRY_DELAY_S
        self.pending_records += 1
        try:
            while True:
                try:
                    await self.batcher.commit(write)
                    return
                except ConflictError:
                    return
                except BerylbankError:
                    await self.sleep(delay_s * (0.5 + self.randomness.random()))
                    delay_s = min(MAX_RECORD_RETRY_DELAY_S, delay_s * 2)
        finally:
            self.pending_records -= 1

    async def _read_claim(self, key: str, own: Claim) -> AcquiredClaim | ExistingClaim | int | None:
        """Read the row after a write that may have failed.

        Return the claim in it, or the row's version if the next write may replace that version,
        or None if the table did not answer. A row that can't be parsed counts as an unknown
        outcome.
        """
        try:
            row = await self.table.read(key)
            if row.version == 0:
                return 0
            claim = load_claim(row.value)
        except PlatformUnavailableError:
            return None
        except InvalidDocumentError:
            return ExistingClaim(ClaimDecision.OUTCOME_UNKNOWN, own)
        decision = decide_claim(claim, own)
        if decision is not ClaimDecision.RUN:
            return ExistingClaim(decision, claim)
        if claim.owner == own.owner and claim.state == ClaimState.CLAIMED:
            return AcquiredClaim(key, row.version, own)
        return row.version
