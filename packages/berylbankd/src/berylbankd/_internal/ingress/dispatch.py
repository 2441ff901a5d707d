"""Sends a request to one backend server at a time until one returns a usable response.

A request that is not idempotent is retried on another server only if no byte of it was sent or if
the first server states that it did not run the request. Responses up to a size are read whole
before the first byte goes to the caller, so that a retry can still replace a broken one.
"""

from collections.abc import AsyncIterator
from enum import Enum
from typing import NamedTuple

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.backends.connection import (
    BackendConnection,
    BackendConnectionError,
    Headers,
    ResponseHead,
)
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.ingress.codec import DispatchFacts, HeaderCodec, HeaderList, ResponseFacts
from berylbankd._internal.ingress.exchange import CallerExchange
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind
from berylbankd._internal.steering.picks import Pick, PickRequest
from berylbankd._internal.steering.steering import Steering

# Longer responses are relayed while they arrive, and can't be replaced by a retry.
MAX_BUFFERED_RESPONSE_BYTES = 1_048_576
# Connecting takes one round trip; a server that takes longer is treated as unreachable.
CONNECT_TIMEOUT_S = 0.5
# Requests that aren't idempotent reuse only recently used connections: sending on a connection
# that the server has dropped meanwhile leaves it unknown whether the request ran.
UNSAFE_MAX_IDLE_MS = 1_500
IDEMPOTENT_MAX_IDLE_MS = 8_000
# Idle connections are dropped this long before the idle timeout that the server announced.
IDLE_CLOSE_MARGIN_MS = 1_000
# A server counts as hung when an idempotent request exceeds both this multiple of the expected
# latency and this multiple of the route's latency objective.
HANG_LATENCY_FACTOR = 6.0
HANG_OBJECTIVE_FACTOR = 2.5
# A retry is made only while at least this fraction of the route's latency objective remains.
MIN_RETRY_TIME_FRACTION = 0.1
MIN_SERVER_ERROR_STATUS = 500
# Responses to earlier requests on the same connection that are discarded before the attempt fails.
MAX_STALE_RESPONSES = 2


class DispatchFailure(Enum):
    """How an attempt failed; this decides whether the request may be retried."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    MISDIRECTED = "other server"
    BROKEN = "broken"
    HUNG = "hung"
    SERVER_ERROR = "server error"


MAY_HAVE_RUN = frozenset(
    {DispatchFailure.BROKEN, DispatchFailure.HUNG, DispatchFailure.SERVER_ERROR}
)


class BufferedResponse(NamedTuple):
    """A response with its buffered body; ``remainder`` is the connection that holds the rest."""

    status: int
    headers: HeaderList
    body: bytes
    remainder: BackendConnection | None = None


class DispatchOutcome(NamedTuple):
    """How one attempt ended; a server error has both a response and a failure."""

    response: BufferedResponse | None = None
    failure: DispatchFailure | None = None


class RequestState:
    """The attempts of a request so far; ``fallback`` is the last server error response."""

    def __init__(self) -> None:
        self.tried: frozenset[str] = frozenset()
        self.servers: list[str] = []
        self.may_have_run = False
        self.fallback: BufferedResponse | None = None
        self.last_failure: DispatchFailure | None = None


class Dispatcher:
    """Picks backend servers for a request and exchanges it with them."""

    def __init__(self, steering: Steering, codec: HeaderCodec, clock: Clock) -> None:
        self.steering = steering
        self.codec = codec
        self.clock = clock
        self.pool = ConnectionPool()

    async def run(
        self, exchange: CallerExchange, ask: PickRequest, deadline_ms: int, state: RequestState
    ) -> BufferedResponse | Refusal:
        """Return a backend server's response, or a refusal that states whether the request ran."""
        for attempt in range(max(1, ask.route.max_attempts)):
            if attempt and not self._may_retry(exchange, ask, deadline_ms, state):
                break
            if not self._is_key_valid(exchange):
                return self._result_after_withdrawal(state)
            ask = ask._replace(tried=state.tried, remaining_ms=deadline_ms - self.clock.now_ms())
            pick = self.steering.pick(ask, self.clock.now_ms())
            if pick is None:
                break
            organisation = exchange.organisation.name if exchange.organisation else None
            facts = DispatchFacts(pick.server.registration.id, ask.remaining_ms, organisation)
            outcome = await self._dispatch(exchange, ask, pick, facts, state)
            if outcome.response is not None and outcome.failure is None:
                return outcome.response
            self._record_failure(pick, outcome, state)
        return self._final_result(ask.service, state)

    def _is_key_valid(self, exchange: CallerExchange) -> bool:
        """Tell whether the key still belongs to the admitted organisation.

        It may have been withdrawn while the request waited for a token or during earlier attempts.
        """
        admitted = exchange.organisation
        if admitted is None:
            return True
        holder = self.steering.routing_state.organisations.get(exchange.request.key)
        return holder is not None and holder.name == admitted.name

    def _result_after_withdrawal(self, state: RequestState) -> BufferedResponse | Refusal:
        if state.may_have_run:
            return state.fallback or Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN)
        return Refusal(RefusalKind.KEY_WITHDRAWN)

    def _record_failure(self, pick: Pick, outcome: DispatchOutcome, state: RequestState) -> None:
        state.tried |= {pick.server.registration.id}
        state.last_failure = outcome.failure
        if outcome.response is not None:
            state.fallback = outcome.response

    def _may_retry(
        self, exchange: CallerExchange, ask: PickRequest, deadline_ms: int, state: RequestState
    ) -> bool:
        if state.may_have_run and not ask.route.kind.idempotent:
            return False
        if not exchange.body_complete:
            return False
        remaining_ms = deadline_ms - self.clock.now_ms()
        if remaining_ms < ask.route.objective_ms * MIN_RETRY_TIME_FRACTION:
            return False
        return (
            state.last_failure is DispatchFailure.NOT_SENT
            or self.steering.retry_budget(ask.service).take()
        )

    def _final_result(self, service: str, state: RequestState) -> BufferedResponse | Refusal:
        if state.fallback is not None:
            return state.fallback
        if state.may_have_run:
            return Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN)
        kind = (
            RefusalKind.NO_BACKEND
            if state.last_failure is DispatchFailure.NOT_SENT
            else RefusalKind.NO_SLOT
        )
        return Refusal(kind, retry_after_s=self.steering.retry_after_s(service))

    async def _dispatch(
        self,
        exchange: CallerExchange,
        ask: PickRequest,
        pick: Pick,
        facts: DispatchFacts,
        state: RequestState,
    ) -> DispatchOutcome:
        self.steering.record_dispatch(pick)
        try:
            return await self._connect_and_exchange(exchange, ask, pick, facts, state)
        finally:
            self.steering.record_end(pick)

    async def _connect_and_exchange(
        self,
        exchange: CallerExchange,
        ask: PickRequest,
        pick: Pick,
        facts: DispatchFacts,
        state: RequestState,
    ) -> DispatchOutcome:
        address, started_ms = pick.server.registration.address, self.clock.now_ms()
        max_idle_ms = IDEMPOTENT_MAX_IDLE_MS if ask.route.kind.idempotent else UNSAFE_MAX_IDLE_MS
        try:
            connection = await self.pool.acquire(
                address,
                started_ms,
                fresh=False,
                max_idle_ms=max_idle_ms,
                timeout_s=CONNECT_TIMEOUT_S,
            )
        except BackendConnectionError as failure:
            logger.info(
                "cannot connect to backend server {}: {}",
                pick.server.registration.id,
                failure.reason,
            )
            self.steering.record_unreachable(pick, self.clock.now_ms())
            return DispatchOutcome(failure=DispatchFailure.NOT_SENT)
        if connection.request_count == 0:
            self.steering.record_connected(pick)
        reusable = passed_on = False
        try:
            if not self._still_usable(pick) or not self._is_key_valid(exchange):
                reusable = True
                return DispatchOutcome(failure=DispatchFailure.NOT_SENT)
            state.servers.append(f"{pick.server.registration.id} rank {pick.rank} load {pick.load}")
            # If the caller disconnects or the deadline expires during the exchange, the request may
            # have run. It also may have run in an earlier attempt.
            ran_before, state.may_have_run = state.may_have_run, True
            connect_ms = self.clock.now_ms() - started_ms
            facts = facts._replace(deadline_ms=facts.deadline_ms - connect_ms)
            outcome = await self._exchange(exchange, ask, pick, facts, connection)
            state.may_have_run = ran_before or outcome.failure in MAY_HAVE_RUN
            reusable = outcome.failure in (
                None,
                DispatchFailure.NOT_RUN,
                DispatchFailure.SERVER_ERROR,
            )
            passed_on = outcome.response is not None and outcome.response.remainder is not None
            return outcome
        finally:
            if passed_on:
                pass
            elif reusable:
                await self.pool.release(address, connection, self.clock.now_ms())
            else:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()

    def _still_usable(self, pick: Pick) -> bool:
        """Tell whether the server may still get requests; this can change while connecting."""
        world = self.steering.routing_state
        current = world.servers.get(pick.server.registration.id)
        return current is pick.server and world.is_usable(current)

    async def _exchange(
        self,
        exchange: CallerExchange,
        ask: PickRequest,
        pick: Pick,
        facts: DispatchFacts,
        connection: BackendConnection,
    ) -> DispatchOutcome:
        started_ms = self.clock.now_ms()
        response_timeout_s = self._response_timeout_s(ask, facts)
        try:
            with anyio.fail_after(response_timeout_s):
                await self._send(exchange, facts, connection)
                head, response_facts = await self._receive_matching_head(exchange, connection)
                self._apply_response_facts(pick, connection, response_facts)
                if response_facts.not_run:
                    return await self._handle_not_run(pick, connection, response_facts)
                response = await self._receive_response(exchange, connection, head)
        except BackendConnectionError as failure:
            if failure.reason == "connect" or not connection.sent:
                return DispatchOutcome(failure=DispatchFailure.NOT_SENT)
            if connection.reused and not connection.response_parser.responses:
                self.pool.record_stale_connection(
                    pick.server.registration.address, connection.idle_before_reuse_ms
                )
            self._record_broken(ask, pick, failure.reason, started_ms)
            return DispatchOutcome(failure=DispatchFailure.BROKEN)
        except TimeoutError:
            # The idle connections to that server may have gone silent too.
            await self.pool.close_idle_to(pick.server.registration.address)
            self._record_broken(ask, pick, "no response in time", started_ms)
            return DispatchOutcome(failure=DispatchFailure.HUNG)
        if connection.reused:
            self.pool.record_live_connection(pick.server.registration.address)
        return self._classify_response(ask, pick, response_facts, response, started_ms)

    def _classify_response(
        self,
        ask: PickRequest,
        pick: Pick,
        response_facts: ResponseFacts,
        response: BufferedResponse,
        started_ms: int,
    ) -> DispatchOutcome:
        now_ms = self.clock.now_ms()
        failed = response.status >= MIN_SERVER_ERROR_STATUS
        valid = response_facts.signed and not any(
            name == b"content-encoding" for name, _ in response.headers
        )
        self.steering.record_response(
            ask, pick, failed=failed or not valid, latency_ms=now_ms - started_ms, now_ms=now_ms
        )
        if not valid:
            logger.warning(
                "discarding response with status {} from backend server {}:"
                " it has no signature, or a content encoding",
                response.status,
                pick.server.registration.id,
            )
            return DispatchOutcome(failure=DispatchFailure.BROKEN)
        if failed:
            return DispatchOutcome(response, DispatchFailure.SERVER_ERROR)
        return DispatchOutcome(response)

    def _response_timeout_s(self, ask: PickRequest, facts: DispatchFacts) -> float:
        """Return how long to wait for a response.

        Where a retry is possible, the timeout is short enough to leave time for it.
        """
        remaining_s = facts.deadline_ms / 1000
        if not ask.route.kind.idempotent or ask.route.max_attempts <= len(ask.tried) + 1:
            return remaining_s
        if not self.steering.retry_budget(ask.service).has_credit():
            return remaining_s
        latency_limit_ms = HANG_LATENCY_FACTOR * self.steering.expected_service_ms(ask.service)
        hang_ms = max(latency_limit_ms, HANG_OBJECTIVE_FACTOR * ask.route.objective_ms)
        # If too little time would remain for a retry, this attempt gets all of it.
        if facts.deadline_ms - hang_ms < ask.route.objective_ms:
            return remaining_s
        return hang_ms / 1000

    async def _send(
        self, exchange: CallerExchange, facts: DispatchFacts, connection: BackendConnection
    ) -> None:
        headers = self.codec.encode_request(exchange.headers, facts)
        body = None
        if exchange.body or not exchange.body_complete:
            body = _stream_body(exchange)
        headers.extend(_body_headers(exchange))
        await connection.send_request(exchange.method, exchange.target, headers, body)

    async def _receive_matching_head(
        self, exchange: CallerExchange, connection: BackendConnection
    ) -> tuple[ResponseHead, ResponseFacts]:
        """Return the head of the response to this request, discarding those to earlier requests."""
        for _ in range(MAX_STALE_RESPONSES + 1):
            head = await connection.receive_head()
            response_facts = self.codec.decode_response(head.status, list(head.headers))
            if response_facts.request_id == exchange.request.request_id or response_facts.not_run:
                return head, response_facts
            logger.warning(
                "discarding late response to earlier request {}",
                response_facts.request_id.decode("latin-1"),
            )
            await connection.discard_response()
        raise BackendConnectionError("crossed")

    def _apply_response_facts(
        self, pick: Pick, connection: BackendConnection, response_facts: ResponseFacts
    ) -> None:
        if response_facts.load is not None:
            running, waiting, _ = response_facts.load
            pick.server.record_load_report(running, waiting, self.clock.now_ms())
        if response_facts.idle_timeout_ms is not None:
            connection.max_idle_ms = max(0, response_facts.idle_timeout_ms - IDLE_CLOSE_MARGIN_MS)

    async def _handle_not_run(
        self, pick: Pick, connection: BackendConnection, response_facts: ResponseFacts
    ) -> DispatchOutcome:
        while await connection.receive_chunk() is not None:
            pass
        if response_facts.misdirected:
            logger.info(
                "backend server {} is no longer at its address; ejecting it permanently",
                pick.server.registration.id,
            )
            pick.server.eject_replaced(self.clock.now_ms())
            return DispatchOutcome(failure=DispatchFailure.MISDIRECTED)
        return DispatchOutcome(failure=DispatchFailure.NOT_RUN)

    def _record_broken(self, ask: PickRequest, pick: Pick, reason: str, started_ms: int) -> None:
        now_ms = self.clock.now_ms()
        logger.info(
            "request to backend server {} failed: {} after {} ms",
            pick.server.registration.id,
            reason,
            now_ms - started_ms,
        )
        self.steering.record_response(
            ask, pick, failed=True, latency_ms=now_ms - started_ms, now_ms=now_ms
        )

    async def _receive_response(
        self, exchange: CallerExchange, connection: BackendConnection, head: ResponseHead
    ) -> BufferedResponse:
        chunks: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await connection.receive_chunk()
            if chunk is None:
                return self._make_response(exchange, head, b"".join(chunks))
            chunks.append(chunk)
            size += len(chunk)
        return BufferedResponse(
            head.status,
            self.codec.encode_response(list(head.headers)),
            b"".join(chunks),
            connection,
        )

    def _make_response(
        self, exchange: CallerExchange, head: ResponseHead, body: bytes
    ) -> BufferedResponse:
        headers = self.codec.encode_response(list(head.headers))
        if not _has_content_length(head.headers) and exchange.method != b"HEAD":
            headers.append((b"content-length", str(len(body)).encode()))
        return BufferedResponse(head.status, headers, body)


def _has_content_length(headers: Headers) -> bool:
    return any(name == b"content-length" for name, _ in headers)


def _body_headers(exchange: CallerExchange) -> HeaderList:
    if exchange.body_complete:
        if exchange.body or exchange.method not in (b"GET", b"HEAD", b"OPTIONS"):
            return [(b"content-length", str(len(exchange.body)).encode())]
        return []
    for name, value in exchange.headers:
        if name == b"content-length":
            return [(name, value)]
    return [(b"transfer-encoding", b"chunked")]


async def _stream_body(exchange: CallerExchange) -> AsyncIterator[bytes]:
    if exchange.body:
        yield exchange.body
    while not exchange.body_complete:
        yield await exchange.receive_body_chunk()
