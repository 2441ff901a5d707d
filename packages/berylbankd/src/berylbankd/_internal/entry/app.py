"""The ASGI application for callers: look-ups, and requests to be forwarded to backend servers."""

import time
from typing import Any
from urllib.parse import parse_qs

import anyio

from berylbankd._internal.claims.claim_store import ClaimStore
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.entry.dispatch import (
    CallerDisconnectedError,
    Dispatcher,
    IncompleteResponseError,
    RequestBodyError,
)
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.entry.filters import RequestFilters
from berylbankd._internal.entry.idempotency import IdempotencyClaims, Replay, replay_response
from berylbankd._internal.entry.lookup import LOOKUP_PATH, LookupResponder
from berylbankd._internal.entry.request_history import RequestHistory, RequestOutcome
from berylbankd._internal.metrics import Metrics
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind
from berylbankd._internal.serving import serve_lifespan

NO_TRAFFIC_CLASS = "none"
MAX_REFUSAL_AT_EXIT_S = 0.25


class EntryApp:
    """Answers look-ups; checks, dispatches and records every other request."""

    def __init__(self, coordinator: Coordinator, metrics: Metrics, claim_store: ClaimStore) -> None:
        self.coordinator = coordinator
        self.metrics = metrics
        self.request_filters = RequestFilters(coordinator)
        self.dispatcher = Dispatcher(coordinator, self.request_filters)
        self.lookup_responder = LookupResponder(coordinator)
        self.idempotency_claims = IdempotencyClaims(claim_store)
        self.request_history = RequestHistory()
        self.running_requests = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one connection event."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        if scope["path"] == LOOKUP_PATH:
            await self._serve_lookup(scope, send)
            return
        self.running_requests += 1
        try:
            await self._serve_request(
                Exchange(scope, receive, send, self.coordinator.clock.now_ms())
            )
        finally:
            self.running_requests -= 1

    async def _serve_request(self, exchange: Exchange) -> None:
        started_s = time.perf_counter()
        refusal: Refusal | None = None
        try:
            refusal = await self.request_filters.check(exchange)
            if refusal is None:
                await self.dispatcher.buffer_body(exchange)
                refusal = await self._dispatch_with_claim(exchange)
                self._refund_token(exchange, refusal)
            if refusal is not None:
                await self._send_refusal(exchange, refusal)
        except anyio.get_cancelled_exc_class():
            await self._refuse_at_exit(exchange)
            raise
        except CallerDisconnectedError:
            return
        except RequestBodyError as error:
            refusal = error.refusal
            await self._send_refusal(exchange, refusal)
        except IncompleteResponseError:
            self.metrics.count_refusal(exchange.organisation, "broken_answer")
            raise
        self._record_outcome(exchange, refusal, (time.perf_counter() - started_s) * 1000)

    async def _refuse_at_exit(self, exchange: Exchange) -> None:
        """Refuse a request that is cancelled because the process ends, unless it has a response."""
        if exchange.status:
            return
        refusal = Refusal(RefusalKind.VM_STOPPING)
        if exchange.tried_backends:
            refusal = Refusal(RefusalKind.DEADLINE, Ran.UNKNOWN)
        with anyio.move_on_after(MAX_REFUSAL_AT_EXIT_S, shield=True):
            await self._send_refusal(exchange, refusal)

    async def _dispatch_with_claim(self, exchange: Exchange) -> Refusal | None:
        """Dispatch the request; claim its idempotency key first, if it has one."""
        claim_result = await self.idempotency_claims.claim_key(exchange)
        if isinstance(claim_result, Refusal):
            return claim_result
        if isinstance(claim_result, Replay):
            await replay_response(exchange, claim_result)
            return None
        if claim_result is None:
            return await self.dispatcher.dispatch(exchange)
        refusal: Refusal | None = Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN)
        try:
            refusal = await self.dispatcher.dispatch(exchange)
        finally:
            self.idempotency_claims.record_outcome(claim_result, exchange, refusal)
        return refusal

    def _refund_token(self, exchange: Exchange, refusal: Refusal | None) -> None:
        if refusal is not None and refusal.ran is Ran.NO and exchange.bucket is not None:
            exchange.bucket.return_token(self.coordinator.clock.now_ms())

    async def _send_refusal(self, exchange: Exchange, refusal: Refusal) -> None:
        body = refusal.make_body(exchange.request_id)
        exchange.status = refusal.template.status
        headers = refusal.make_headers(len(body))
        if not exchange.body_complete or self.coordinator.node.leaving:
            headers.append((b"connection", b"close"))
        await exchange.send(
            {"type": "http.response.start", "status": exchange.status, "headers": headers}
        )
        await exchange.send({"type": "http.response.body", "body": body})

    def _record_outcome(
        self, exchange: Exchange, refusal: Refusal | None, duration_ms: float
    ) -> None:
        traffic_class = exchange.service.traffic_class if exchange.service else NO_TRAFFIC_CLASS
        self.metrics.record_request(
            exchange.organisation, traffic_class, exchange.status, duration_ms
        )
        if refusal is not None:
            self.metrics.count_refusal(exchange.organisation, refusal.kind.value)
        self.request_history.record(
            RequestOutcome(
                exchange.request_id,
                exchange.organisation,
                exchange.service.name if exchange.service else "",
                exchange.tried_backends,
                exchange.status,
                refusal.kind.value if refusal is not None else "",
                refusal.ran.value if refusal is not None else "yes",
                int(duration_ms),
                self.coordinator.lease_state.latest_head_number,
            )
        )

    async def _serve_lookup(self, scope: Any, send: Any) -> None:
        self.metrics.lookups.add(1)
        requested_regions = parse_qs(scope["query_string"].decode("latin-1")).get("region")
        client_address = scope["client"][0] if scope["client"] else ""
        region = (
            requested_regions[0]
            if requested_regions
            else self.lookup_responder.find_region(client_address)
        )
        body = self.lookup_responder.render_response(region)
        max_age_s = self.coordinator.settings.timing.lookup_max_age_ms // 1000
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"cache-control", f"max-age={max_age_s}".encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})
