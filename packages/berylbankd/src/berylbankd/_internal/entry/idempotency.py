"""Requests with an idempotency key: claims the key before dispatch and replays stored responses."""

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
    make_row_key,
    make_stored_response,
)
from berylbankd._internal.claims.claim_store import AcquiredClaim, ClaimStore, ClaimUnavailable
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

KEY_HEADER = b"idempotency-key"
REPLAYED_HEADER = (b"idempotency-replayed", b"true")
CLAIM_OWNER_BYTES = 16
UNSTORED_HEADERS = frozenset({b"connection", b"x-request-id"})

REFUSALS_BY_DECISION = {
    ClaimDecision.OTHER_REQUEST: Refusal(RefusalKind.IDEMPOTENCY_KEY_REUSED),
    ClaimDecision.IN_PROGRESS: Refusal(RefusalKind.EARLIER_IN_PROGRESS, Ran.UNKNOWN),
    ClaimDecision.OUTCOME_UNKNOWN: Refusal(RefusalKind.EARLIER_UNKNOWN, Ran.UNKNOWN),
}


class Replay(NamedTuple):
    """The stored response of the first request, to be sent again."""

    response: StoredResponse


class IdempotencyClaims:
    """Claims the keys of requests that must run at most once.

    ``group`` runs the tasks that record outcomes.
    """

    def __init__(self, keeper: ClaimStore) -> None:
        self.keeper = keeper
        self.group: TaskGroup | None = None

    async def begin(self, exchange: Exchange) -> AcquiredClaim | Replay | Refusal | None:
        """Claim the request's key; return None if the request needs no claim."""
        key = next((v for n, v in exchange.headers if n == KEY_HEADER), None)
        if key is None or exchange.idempotent or exchange.grant is None:
            return None
        if not 0 < len(key) <= MAX_KEY_BYTES:
            return Refusal(RefusalKind.MALFORMED)
        if not exchange.body_complete:
            return Refusal(RefusalKind.BODY_TOO_LARGE)
        return await self._claim(exchange, make_row_key(exchange.grant.organisation, key))

    async def _claim(self, exchange: Exchange, key: str) -> AcquiredClaim | Replay | Refusal:
        request = fingerprint_request(exchange.method, exchange.target, exchange.body)
        new_claim = Claim(ClaimState.CLAIMED.value, request, secrets.token_hex(CLAIM_OWNER_BYTES))
        result = await self.keeper.acquire(key, new_claim)
        if isinstance(result, ClaimUnavailable):
            return Refusal(RefusalKind.CLAIMS_UNAVAILABLE)
        if isinstance(result, AcquiredClaim):
            exchange.record_response = True
            return result
        response = result.claim.answer
        if (
            result.decision is ClaimDecision.REPLAY
            and response is not None
            and response.body is not None
        ):
            return Replay(response)
        return REFUSALS_BY_DECISION.get(
            result.decision, Refusal(RefusalKind.EARLIER_DONE, Ran.UNKNOWN)
        )

    def finish(self, held: AcquiredClaim, exchange: Exchange, refusal: Refusal | None) -> None:
        """Start a task that records the outcome, so that the caller doesn't wait for it."""
        state, response = _claim_outcome(exchange, refusal)
        assert self.group is not None
        self.group.start_soon(self.keeper.record_outcome, held, state, response)


def _claim_outcome(
    exchange: Exchange, refusal: Refusal | None
) -> tuple[ClaimState, StoredResponse | None]:
    if refusal is not None:
        return (ClaimState.RELEASED if refusal.ran is Ran.NO else ClaimState.UNKNOWN), None
    if not exchange.response_complete:
        return ClaimState.UNKNOWN, None
    headers = [(n, v) for n, v in exchange.response_headers if n not in UNSTORED_HEADERS]
    return ClaimState.DONE, make_stored_response(
        exchange.status, headers, bytes(exchange.response_body)
    )


async def replay_response(exchange: Exchange, replay: Replay) -> None:
    """Send the stored response of the first request."""
    response = replay.response
    exchange.status = response.status
    headers = [(h.name.encode("latin-1"), h.value.encode("latin-1")) for h in response.headers]
    headers += [REPLAYED_HEADER, (b"x-request-id", exchange.request_id.encode())]
    body = base64.b64decode(response.body or "")
    await exchange.send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await exchange.send({"type": "http.response.body", "body": body})
