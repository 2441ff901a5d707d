"""The ASGI application for callers: look-up and the way of a request."""

import time
from typing import Any
from urllib.parse import parse_qs

from berylbankd._internal.claims.keeper import ClaimKeeper
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.entry.booking import Bookings, Replay, send_replay
from berylbankd._internal.entry.dispatch import (
    BrokenAnswerError,
    CallerGoneError,
    CallerSlowError,
    Dispatcher,
)
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.entry.filters import Filters
from berylbankd._internal.entry.journal import Entry, Journal
from berylbankd._internal.entry.lookup import LOOKUP_PATH, Lookup
from berylbankd._internal.metrics import Metrics
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind
from berylbankd._internal.serving import serve_lifespan

NO_CLASS = "none"


class EntryApp:
    """Serves callers."""

    def __init__(self, coordinator: Coordinator, metrics: Metrics, keeper: ClaimKeeper) -> None:
        self.coordinator = coordinator
        self.metrics = metrics
        self.filters = Filters(coordinator)
        self.dispatcher = Dispatcher(coordinator, self.filters)
        self.lookup = Lookup(coordinator)
        self.bookings = Bookings(keeper)
        self.journal = Journal()
        self.running = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one connection event."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        if scope["path"] == LOOKUP_PATH:
            await self._answer_lookup(scope, send)
            return
        self.running += 1
        try:
            await self._serve(Exchange(scope, receive, send, self.coordinator.clock.now_ms()))
        finally:
            self.running -= 1

    async def _serve(self, exchange: Exchange) -> None:
        started = time.perf_counter()
        refusal: Refusal | None = None
        try:
            refusal = await self.filters.run(exchange)
            if refusal is None:
                await self.dispatcher.keep_body(exchange)
                refusal = await self._run_once(exchange)
                self._give_back_token(exchange, refusal)
            if refusal is not None:
                await self._refuse(exchange, refusal)
        except CallerGoneError:
            return
        except CallerSlowError as error:
            refusal = error.refusal
            await self._refuse(exchange, refusal)
        except BrokenAnswerError:
            self.metrics.count_refusal(exchange.organisation, "broken_answer")
            raise
        self._record(exchange, refusal, (time.perf_counter() - started) * 1000)

    async def _run_once(self, exchange: Exchange) -> Refusal | None:
        """Dispatch the request, under a claim where it has an idempotency key."""
        begun = await self.bookings.begin(exchange)
        if isinstance(begun, Refusal):
            return begun
        if isinstance(begun, Replay):
            await send_replay(exchange, begun)
            return None
        if begun is None:
            return await self.dispatcher.run(exchange)
        refusal: Refusal | None = Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN)
        try:
            refusal = await self.dispatcher.run(exchange)
        finally:
            self.bookings.finish(begun, exchange, refusal)
        return refusal

    def _give_back_token(self, exchange: Exchange, refusal: Refusal | None) -> None:
        if refusal is not None and refusal.ran is Ran.NO and exchange.bucket is not None:
            exchange.bucket.give_back(self.coordinator.clock.now_ms())

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        body = refusal.body(exchange.request_id)
        exchange.status = refusal.text.status
        headers = refusal.headers(len(body))
        if not exchange.body_complete or self.coordinator.node.leaving:
            headers.append((b"connection", b"close"))
        await exchange.send(
            {"type": "http.response.start", "status": exchange.status, "headers": headers}
        )
        await exchange.send({"type": "http.response.body", "body": body})

    def _record(self, exchange: Exchange, refusal: Refusal | None, duration_ms: float) -> None:
        traffic_class = exchange.service.traffic_class if exchange.service else NO_CLASS
        self.metrics.record_request(
            exchange.organisation, traffic_class, exchange.status, duration_ms
        )
        if refusal is not None:
            self.metrics.count_refusal(exchange.organisation, refusal.kind.value)
        self.journal.add(
            Entry(
                exchange.request_id,
                exchange.organisation,
                exchange.service.name if exchange.service else "",
                exchange.backends,
                exchange.status,
                refusal.kind.value if refusal is not None else "",
                refusal.ran.value if refusal is not None else "yes",
                int(duration_ms),
                self.coordinator.lease_state.latest_head_number,
            )
        )

    async def _answer_lookup(self, scope: Any, send: Any) -> None:
        self.metrics.lookups.add(1)
        wanted = parse_qs(scope["query_string"].decode("latin-1")).get("region")
        client = scope["client"][0] if scope["client"] else ""
        region = wanted[0] if wanted else self.lookup.find_region(client)
        body = self.lookup.answer(region)
        max_age_s = self.coordinator.settings.timing.lookup_max_age_ms // 1000
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"cache-control", f"max-age={max_age_s}".encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})
