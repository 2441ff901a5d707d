"""Requests with an idempotency key: claimed before dispatch, answered once, replayed after."""

import base64
import secrets
from typing import NamedTuple

from anyio.abc import TaskGroup

from berylbankd._internal.claims.claim import (
    MAX_KEY_BYTES,
    Claim,
    ClaimDecision,
    ClaimState,
    StoredResponse,
    fingerprint_request,
    make_stored_response,
    row_key,
)
from berylbankd._internal.claims.claim_store import AcquiredClaim, ClaimStore, ClaimUnavailable
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

KEY_HEADER = b"idempotency-key"
REPLAYED_HEADER = (b"idempotency-replayed", b"true")
OWNER_BYTES = 16
NOT_KEPT = frozenset({b"connection", b"x-request-id"})

REFUSALS = {
    ClaimDecision.OTHER_REQUEST: Refusal(RefusalKind.IDEMPOTENCY_KEY_REUSED),
    ClaimDecision.IN_PROGRESS: Refusal(RefusalKind.EARLIER_IN_PROGRESS, Ran.UNKNOWN),
    ClaimDecision.OUTCOME_UNKNOWN: Refusal(RefusalKind.EARLIER_UNKNOWN, Ran.UNKNOWN),
}


class Replay(NamedTuple):
    """The first answer, to be given again."""

    answer: StoredResponse


class Bookings:
    """Claims for requests that must run at most once; ``group`` runs the recording."""

    def __init__(self, keeper: ClaimStore) -> None:
        self.keeper = keeper
        self.group: TaskGroup | None = None

    async def begin(self, exchange: Exchange) -> AcquiredClaim | Replay | Refusal | None:
        """Claim the request's key; None for a request that needs no claim."""
        key = next((v for n, v in exchange.headers if n == KEY_HEADER), None)
        if key is None or exchange.idempotent or exchange.grant is None:
            return None
        if not 0 < len(key) <= MAX_KEY_BYTES:
            return Refusal(RefusalKind.MALFORMED)
        if not exchange.body_complete:
            return Refusal(RefusalKind.BODY_TOO_LARGE)
        return await self._claim(exchange, row_key(exchange.grant.organisation, key))

    async def _claim(self, exchange: Exchange, key: str) -> AcquiredClaim | Replay | Refusal:
        request = fingerprint_request(exchange.method, exchange.target, exchange.body)
        mine = Claim(ClaimState.CLAIMED.value, request, secrets.token_hex(OWNER_BYTES))
        result = await self.keeper.acquire(key, mine)
        if isinstance(result, ClaimUnavailable):
            return Refusal(RefusalKind.CLAIMS_UNAVAILABLE)
        if isinstance(result, AcquiredClaim):
            exchange.record = True
            return result
        answer = result.claim.answer
        if (
            result.decision is ClaimDecision.REPLAY
            and answer is not None
            and answer.body is not None
        ):
            return Replay(answer)
        return REFUSALS.get(result.decision, Refusal(RefusalKind.EARLIER_DONE, Ran.UNKNOWN))

    def finish(self, held: AcquiredClaim, exchange: Exchange, refusal: Refusal | None) -> None:
        """Record how the request ended, while the caller has its answer already."""
        state, answer = _outcome(exchange, refusal)
        assert self.group is not None
        self.group.start_soon(self.keeper.record_outcome, held, state, answer)


def _outcome(
    exchange: Exchange, refusal: Refusal | None
) -> tuple[ClaimState, StoredResponse | None]:
    if refusal is not None:
        return (ClaimState.RELEASED if refusal.ran is Ran.NO else ClaimState.UNKNOWN), None
    if not exchange.answered:
        return ClaimState.UNKNOWN, None
    headers = [(n, v) for n, v in exchange.answer_headers if n not in NOT_KEPT]
    return ClaimState.DONE, make_stored_response(
        exchange.status, headers, bytes(exchange.answer_body)
    )


async def send_replay(exchange: Exchange, replay: Replay) -> None:
    """Give the first answer again."""
    answer = replay.answer
    exchange.status = answer.status
    headers = [(h.name.encode("latin-1"), h.value.encode("latin-1")) for h in answer.headers]
    headers += [REPLAYED_HEADER, (b"x-request-id", exchange.request_id.encode())]
    body = base64.b64decode(answer.body or "")
    await exchange.send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await exchange.send({"type": "http.response.body", "body": body})
