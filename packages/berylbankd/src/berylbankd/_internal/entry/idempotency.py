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
CLAIM_OWNER_ID_BYTES = 16
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
    """Claims the idempotency keys of requests that must run at most once.

    ``task_group`` runs the tasks that record outcomes; the application sets it at startup.
    """

    def __init__(self, claim_store: ClaimStore) -> None:
        self.claim_store = claim_store
        self.task_group: TaskGroup | None = None

    async def claim_key(self, exchange: Exchange) -> AcquiredClaim | Replay | Refusal | None:
        """Claim the request's idempotency key; return None if the request needs no claim.

        If the key was claimed before, return the first request's stored response or a refusal.
        """
        key = next((value for name, value in exchange.headers if name == KEY_HEADER), None)
        if key is None or exchange.idempotent or exchange.key_grant is None:
            return None
        if not 0 < len(key) <= MAX_KEY_BYTES:
            return Refusal(RefusalKind.MALFORMED)
        if not exchange.body_complete:
            return Refusal(RefusalKind.BODY_TOO_LARGE)
        return await self._acquire_claim(
            exchange, make_row_key(exchange.key_grant.organisation, key)
        )

    async def _acquire_claim(
        self, exchange: Exchange, key: str
    ) -> AcquiredClaim | Replay | Refusal:
        fingerprint = fingerprint_request(exchange.method, exchange.target, exchange.body)
        new_claim = Claim(
            ClaimState.CLAIMED.value, fingerprint, secrets.token_hex(CLAIM_OWNER_ID_BYTES)
        )
        result = await self.claim_store.acquire(key, new_claim)
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

    def record_outcome(
        self, claim: AcquiredClaim, exchange: Exchange, refusal: Refusal | None
    ) -> None:
        """Start a task that records the outcome, so that the caller doesn't wait for it."""
        state, response = _determine_outcome(exchange, refusal)
        assert self.task_group is not None
        self.task_group.start_soon(self.claim_store.record_outcome, claim, state, response)


def _determine_outcome(
    exchange: Exchange, refusal: Refusal | None
) -> tuple[ClaimState, StoredResponse | None]:
    if refusal is not None:
        return (ClaimState.RELEASED if refusal.ran is Ran.NO else ClaimState.UNKNOWN), None
    if not exchange.response_complete:
        return ClaimState.UNKNOWN, None
    headers = [
        (name, value) for name, value in exchange.response_headers if name not in UNSTORED_HEADERS
    ]
    return ClaimState.DONE, make_stored_response(
        exchange.status, headers, bytes(exchange.response_body)
    )


async def replay_response(exchange: Exchange, replay: Replay) -> None:
    """Send the stored response of the first request."""
    response = replay.response
    exchange.status = response.status
    headers = [
        (header.name.encode("latin-1"), header.value.encode("latin-1"))
        for header in response.headers
    ]
    headers += [REPLAYED_HEADER, (b"x-request-id", exchange.request_id.encode())]
    body = base64.b64decode(response.body or "")
    await exchange.send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await exchange.send({"type": "http.response.body", "body": body})
