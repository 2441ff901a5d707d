"""Claims idempotency keys before dispatch, and records outcomes afterwards."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from berylbank._internal.exceptions import (
    BerylbankError,
    ConflictError,
    InvalidDocumentError,
    OutcomeUnknownError,
    TableUnavailableError,
)
from berylbank._internal.store.protocols import TableService, Write
from berylbankd._internal.claims.batch import WriteBatcher
from berylbankd._internal.claims.claim import (
    Claim,
    ClaimState,
    StoredAnswer,
    Verdict,
    dump_claim,
    judge,
    load_claim,
)

CLAIM_ATTEMPTS = 4
CLAIM_PAUSE_S = 0.05
RECORD_PAUSE_S = 0.2
RECORD_PAUSE_MOST_S = 5.0


class Held(NamedTuple):
    """A claim that this VM holds: the row's name, its version and content."""

    key: str
    version: int
    claim: Claim


class Judged(NamedTuple):
    """The key has a row already; ``claim`` is its content."""

    verdict: Verdict
    claim: Claim


class Unclaimed(NamedTuple):
    """The store did not answer; nothing was dispatched."""

    reason: str


ClaimResult = Held | Judged | Unclaimed


class ClaimKeeper:
    """Holds claims for the requests of one VM."""

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
        self.recording = 0

    async def claim(self, key: str, mine: Claim) -> ClaimResult:
        """Claim a key for one request, or tell what its row says."""
        version = 0
        reason = "the store did not answer"
        for attempt in range(CLAIM_ATTEMPTS):
            if attempt:
                await self.sleep(CLAIM_PAUSE_S * 2**attempt * (0.5 + self.randomness.random()))
            try:
                await self.batcher.commit(Write(key, dump_claim(mine), version))
                return Held(key, version + 1, mine)
            except (ConflictError, OutcomeUnknownError):
                found = await self._read(key, mine)
            except TableUnavailableError as error:
                reason = error.message
                continue
            if isinstance(found, Held | Judged):
                return found
            version = found if found is not None else version
        return Unclaimed(reason)

    async def record(self, held: Held, state: ClaimState, answer: StoredAnswer | None) -> None:
        """Write how the request ended; try until the store has it."""
        claim = held.claim._replace(state=state.value, answer=answer)
        write = Write(held.key, dump_claim(claim), held.version)
        pause_s = RECORD_PAUSE_S
        self.recording += 1
        try:
            while True:
                try:
                    await self.batcher.commit(write)
                    return
                except ConflictError:
                    return
                except BerylbankError:
                    await self.sleep(pause_s * (0.5 + self.randomness.random()))
                    pause_s = min(RECORD_PAUSE_MOST_S, pause_s * 2)
        finally:
            self.recording -= 1

    async def _read(self, key: str, mine: Claim) -> Held | Judged | int | None:
        """Return what the row says, or the version from which to claim anew; None if unread."""
        try:
            row = await self.table.read(key)
            if row.version == 0:
                return 0
            claim = load_claim(row.value)
        except TableUnavailableError:
            return None
        except InvalidDocumentError:
            return Judged(Verdict.OUTCOME_UNKNOWN, mine)
        verdict = judge(claim, mine)
        if verdict is not Verdict.RUN:
            return Judged(verdict, claim)
        if claim.owner == mine.owner and claim.state == ClaimState.CLAIMED:
            return Held(key, row.version, mine)
        return row.version
