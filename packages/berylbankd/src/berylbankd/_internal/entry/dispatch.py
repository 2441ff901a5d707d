"""Dispatches a request to a backend server and relays the response.

A request that is not idempotent is sent at most once: it is retried only if no byte of it was sent
to a backend server, or if the backend server states that it did not run the request.
"""

from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

from berylbankd._internal.backends.connection import (
    DEADLINE_REASON,
    MAX_DISCARDED_BODY_BYTES,
    BackendConnection,
    BackendConnectionError,
    ResponseHead,
)
from berylbankd._internal.backends.deadlines import DeadlineMonitor
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.backends.slots import SlotPool
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.entry.filters import RequestFilters
from berylbankd._internal.entry.headers import (
    make_backend_request_headers,
    make_caller_response_headers,
    states_not_run,
)
from berylbankd._internal.entry.routes import extract_route_name
from berylbankd._internal.entry.silence_log import ServerSilence, SilenceLog
from berylbankd._internal.entry.slot_allocator import SlotAllocator
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

MAX_ATTEMPTS = 3
MAX_BUFFERED_BODY_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
# Each retry costs 1 credit.
RETRY_CREDIT_PER_REQUEST = 0.1
MAX_RETRY_CREDIT = 20.0
BODY_CHUNK_TIMEOUT_S = 10.0
# A caller that takes longer to read a chunk of its response loses its slot at the server.
CALLER_READ_TIMEOUT_MS = 30_000
REUSED_CONNECTION_LATENCY_FACTOR = 10
MIN_REUSED_CONNECTION_TIMEOUT_MS = 250


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class RequestBodyError(Exception):
    """The request body arrived too slowly or is too large; ``refusal`` states which."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.kind.value)
        self.refusal = refusal


class IncompleteResponseError(Exception):
    """The response can't be completed, so the caller's connection must be aborted."""


class AttemptOutcome(NamedTuple):
    """How an attempt ended: with a response (``refusal`` is None), or refused.

    ``retryable`` is set if the request may be sent again, ``silence`` if the server was taken for
    silent.
    """

    refusal: Refusal | None = None
    retryable: bool = False
    silence: ServerSilence | None = None

    def merge_earlier(self, earlier: Refusal | None) -> Refusal | None:
        """Return this attempt's refusal, merged with the refusal of the earlier attempts.

        If the request may have run in an earlier attempt, the merged refusal states so.
        """
        if self.refusal is None or earlier is None or earlier.ran is Ran.NO:
            return self.refusal
        return self.refusal._replace(ran=earlier.ran)


ANSWERED = AttemptOutcome()


class RetryBudget:
    """Limits retries to a fraction of the requests, so that they don't amplify an overload."""

    def __init__(self) -> None:
        self.credit = MAX_RETRY_CREDIT

    def record_request(self) -> None:
        """Add the retry credit of one request."""
        self.credit = min(MAX_RETRY_CREDIT, self.credit + RETRY_CREDIT_PER_REQUEST)

    def take_retry(self) -> bool:
        """Spend credit for one retry; return False if there is too little."""
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


class Dispatcher:
    """Sends admitted requests to backend servers and relays the responses."""

    def __init__(self, coordinator: Coordinator, request_filters: RequestFilters) -> None:
        self.coordinator = coordinator
        self.request_filters = request_filters
        self.slot_allocator = SlotAllocator(coordinator)
        self.connection_pool = ConnectionPool()
        self.retry_budget = RetryBudget()
        self.deadline_monitor = DeadlineMonitor(coordinator.clock)
        self.silence_log = SilenceLog()

    async def dispatch(self, exchange: Exchange) -> Refusal | None:
        """Send the response to the caller, or return a refusal if none could be started.

        :raises CallerDisconnectedError: when the caller has closed its connection.
        :raises RequestBodyError: when the request body arrives too slowly or is too large.
        :raises IncompleteResponseError: when the response failed after it was started.
        """
        self.retry_budget.record_request()
        tried_backends: frozenset[str] = frozenset()
        refusal: Refusal | None = None
        silence: ServerSilence | None = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self.retry_budget.take_retry():
                self._log_silence(exchange, silence, "none: no retry credit is left")
                break
            slot_pool = await self._acquire_slot(exchange, tried_backends)
            if slot_pool is None:
                self._log_silence(exchange, silence, "none: no server has a free slot")
                refusal = refusal or Refusal(RefusalKind.NO_SLOT)
                break
            self._log_silence(exchange, silence, slot_pool.backend.name)
            outcome = await self._attempt_and_release_slot(exchange, slot_pool)
            silence = outcome.silence
            refusal = outcome.merge_earlier(refusal)
            if refusal is None or not outcome.retryable:
                break
            tried_backends |= {slot_pool.backend.name}
        else:
            self._log_silence(exchange, silence, "none: all attempts were made")
        return refusal

    def _log_silence(
        self, exchange: Exchange, silence: ServerSilence | None, next_attempt: str
    ) -> None:
        if silence is not None:
            now_ms = self.coordinator.clock.now_ms()
            self.silence_log.write(exchange.request_id, silence, next_attempt, now_ms)

    async def _acquire_slot(
        self, exchange: Exchange, tried_backends: frozenset[str]
    ) -> SlotPool | None:
        assert exchange.service is not None
        has_authority = self.coordinator.lease_state.may_act(self.coordinator.clock.now_ms())
        if exchange.key_grant is None and not has_authority:
            return self.slot_allocator.acquire_slot_without_authority(
                exchange.service, tried_backends
            )
        weight = exchange.key_grant.weight if exchange.key_grant is not None else 1
        side_choice = self.coordinator.node.shift_controller.choose_side(exchange.service.name)
        slot_pool = await self.slot_allocator.acquire_slot(
            exchange.service, exchange.organisation, weight, tried_backends, side_choice.side
        )
        if slot_pool is None and side_choice.fallback is not None:
            slot_pool = await self.slot_allocator.acquire_slot(
                exchange.service,
                exchange.organisation,
                weight,
                tried_backends,
                side_choice.fallback,
            )
        return slot_pool

    async def _attempt_and_release_slot(
        self, exchange: Exchange, slot_pool: SlotPool
    ) -> AttemptOutcome:
        assert exchange.service is not None
        try:
            return await self._attempt_on_backend(exchange, slot_pool)
        finally:
            self.slot_allocator.release_slot(exchange.service, slot_pool)

    async def _attempt_on_backend(self, exchange: Exchange, slot_pool: SlotPool) -> AttemptOutcome:
        assert exchange.service is not None
        now_ms = self.coordinator.clock.now_ms
        address = slot_pool.backend.address
        force_new = not exchange.idempotent or bool(exchange.tried_backends)
        try:
            connection = await self.connection_pool.acquire(address, now_ms(), force_new=force_new)
        except BackendConnectionError:
            slot_pool.health.record_failure(now_ms())
            return AttemptOutcome(Refusal(RefusalKind.NO_BACKEND), retryable=True)
        started_ms = now_ms()
        exchange.tried_backends += (slot_pool.backend.name,)
        connection.deadline_ms = started_ms + self._response_timeout_ms(
            exchange, slot_pool, connection
        )
        self.deadline_monitor.active_connections.add(connection)
        reusable = False
        try:
            if not self.request_filters.may_still_run(exchange):
                return AttemptOutcome(self.request_filters.make_revocation_refusal(exchange))
            outcome = await self._send_and_relay(exchange, slot_pool, connection, started_ms)
            reusable = (
                outcome is ANSWERED or outcome.refusal is not None and outcome.refusal.ran is Ran.NO
            )
            return outcome
        finally:
            self.deadline_monitor.active_connections.discard(connection)
            if reusable:
                await self.connection_pool.release(address, connection, now_ms())
            else:
                await connection.aclose()

    def _response_timeout_ms(
        self, exchange: Exchange, slot_pool: SlotPool, connection: BackendConnection
    ) -> int:
        """Return how long to wait for the head of the response.

        The server may have dropped a reused connection without closing it. On such a connection,
        an idempotent request gets a short timeout, which leaves time for a retry on a new one.
        """
        assert exchange.service is not None
        timeout_ms = exchange.service.timeout_ms
        if not connection.request_count or not exchange.idempotent or not exchange.body_complete:
            return timeout_ms
        expected_ms = int(REUSED_CONNECTION_LATENCY_FACTOR * slot_pool.health.latency_ms)
        return min(timeout_ms // MAX_ATTEMPTS, max(MIN_REUSED_CONNECTION_TIMEOUT_MS, expected_ms))

    async def _send_and_relay(
        self,
        exchange: Exchange,
        slot_pool: SlotPool,
        connection: BackendConnection,
        started_ms: int,
    ) -> AttemptOutcome:
        assert exchange.service is not None
        timeout_ms = exchange.service.timeout_ms
        headers = make_backend_request_headers(exchange, slot_pool.backend.address, timeout_ms)
        body = None if exchange.body_complete and not exchange.body else self._stream_body(exchange)
        try:
            await connection.send_request(exchange.method.encode(), exchange.target, headers, body)
            head = await connection.receive_head()
        except BackendConnectionError as failure:
            now_ms = self.coordinator.clock.now_ms()
            if self._may_be_stale_connection(exchange, connection):
                await self.connection_pool.close_idle_to(slot_pool.backend.address)
                silence = None
                if failure.reason == DEADLINE_REASON:
                    waited_ms = now_ms - started_ms
                    silence = ServerSilence(
                        slot_pool.backend.name, waited_ms, timeout_ms - waited_ms
                    )
                return AttemptOutcome(
                    Refusal(RefusalKind.DEADLINE, Ran.UNKNOWN), retryable=True, silence=silence
                )
            slot_pool.health.record_failure(now_ms)
            self._record_shift_sample(exchange, slot_pool, True, now_ms - started_ms)
            return self._make_failed_outcome(exchange, connection, failure)
        if states_not_run(head.status, head.headers):
            return await self._handle_shed(exchange, slot_pool, connection)
        await self._relay_response(exchange, slot_pool, connection, head)
        self._record_response(exchange, slot_pool, head, started_ms)
        return ANSWERED

    def _record_response(
        self, exchange: Exchange, slot_pool: SlotPool, head: ResponseHead, started_ms: int
    ) -> None:
        now_ms = self.coordinator.clock.now_ms()
        self._record_shift_sample(exchange, slot_pool, head.status >= 500, now_ms - started_ms)
        if head.status >= 500:
            slot_pool.health.record_failure(now_ms)
        else:
            slot_pool.health.record_success(now_ms - started_ms)

    def _may_be_stale_connection(self, exchange: Exchange, connection: BackendConnection) -> bool:
        """Tell whether the cause may be a stale reused connection rather than the server."""
        return connection.reused and exchange.idempotent and exchange.body_replayable

    def _record_shift_sample(
        self, exchange: Exchange, slot_pool: SlotPool, failed: bool, latency_ms: int
    ) -> None:
        assert exchange.service is not None
        now_ms = self.coordinator.clock.now_ms()
        route = extract_route_name(exchange.path, exchange.service.prefix)
        self.coordinator.node.shift_controller.record_result(
            slot_pool.backend, route, failed, latency_ms, now_ms
        )

    def _make_failed_outcome(
        self, exchange: Exchange, connection: BackendConnection, failure: BackendConnectionError
    ) -> AttemptOutcome:
        timed_out = failure.reason == DEADLINE_REASON
        kind = RefusalKind.DEADLINE if timed_out else RefusalKind.BACKEND_FAILED
        ran = Ran.UNKNOWN if connection.request_started else Ran.NO
        retryable = exchange.idempotent and exchange.body_replayable and not timed_out
        return AttemptOutcome(Refusal(kind, ran), retryable=retryable)

    async def _handle_shed(
        self, exchange: Exchange, slot_pool: SlotPool, connection: BackendConnection
    ) -> AttemptOutcome:
        slot_pool.health.record_shed(self.coordinator.clock.now_ms())
        try:
            await connection.discard_body(MAX_DISCARDED_BODY_BYTES)
        except BackendConnectionError:
            await connection.aclose()
        return AttemptOutcome(Refusal(RefusalKind.NO_SLOT), retryable=exchange.body_replayable)

    async def _relay_response(
        self,
        exchange: Exchange,
        slot_pool: SlotPool,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> None:
        headers = make_caller_response_headers(
            head.headers, exchange.request_id, self.coordinator.node.leaving
        )
        await exchange.start_response(head.status, headers)
        try:
            chunk = await self._receive_chunk(exchange, connection)
            if chunk is not None:
                next_chunk = await self._receive_chunk(exchange, connection)
                if next_chunk is not None:
                    await exchange.send_chunk(chunk)
                    await self._relay_chunks_until_disconnect(exchange, connection, next_chunk)
                    chunk = b""
        except BackendConnectionError as error:
            slot_pool.health.record_failure(self.coordinator.clock.now_ms())
            raise IncompleteResponseError(str(error)) from None
        await exchange.finish_response(chunk or b"")

    async def _relay_chunks_until_disconnect(
        self, exchange: Exchange, connection: BackendConnection, chunk: bytes
    ) -> None:
        """Relay a long body until it ends or the caller disconnects."""
        next_chunk: bytes | None = chunk
        failure: Exception = CallerDisconnectedError()
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, exchange, group.cancel_scope)
            try:
                while next_chunk is not None:
                    await exchange.send_chunk(next_chunk)
                    next_chunk = await self._receive_chunk(exchange, connection)
            except (BackendConnectionError, IncompleteResponseError) as error:
                failure = error
            group.cancel_scope.cancel()
        if next_chunk is not None:
            raise failure

    async def _receive_chunk(
        self, exchange: Exchange, connection: BackendConnection
    ) -> bytes | None:
        assert exchange.service is not None
        if exchange.idempotent and not self.request_filters.may_still_run(exchange):
            raise IncompleteResponseError(
                "response aborted: the key was withdrawn or this VM lost its authority"
            )
        now_ms = self.coordinator.clock.now_ms()
        connection.deadline_ms = now_ms + exchange.service.timeout_ms
        chunk = await connection.receive_chunk()
        # The caller may take longer than the server's timeout to read the chunk.
        connection.deadline_ms = self.coordinator.clock.now_ms() + CALLER_READ_TIMEOUT_MS
        return chunk

    async def buffer_body(self, exchange: Exchange) -> None:
        """Buffer a body of up to ``MAX_BUFFERED_BODY_BYTES``, so that a retry can send it again.

        :raises CallerDisconnectedError: when the caller has closed its connection.
        :raises RequestBodyError: when the body arrives too slowly.
        """
        while not exchange.body_complete and len(exchange.body) <= MAX_BUFFERED_BODY_BYTES:
            exchange.body += await _receive_body_chunk(exchange, Ran.NO)

    async def _stream_body(self, exchange: Exchange) -> AsyncIterator[bytes]:
        if exchange.body:
            yield exchange.body
        size = len(exchange.body)
        while not exchange.body_complete:
            chunk = await _receive_body_chunk(exchange, Ran.UNKNOWN)
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise RequestBodyError(Refusal(RefusalKind.BODY_TOO_LARGE, Ran.UNKNOWN))
            if chunk:
                exchange.body_replayable = False
            yield chunk


async def _receive_body_chunk(exchange: Exchange, ran: Ran) -> bytes:
    """Return the next chunk of the request body; ``ran`` is stated in the refusal on a timeout."""
    try:
        with anyio.fail_after(BODY_CHUNK_TIMEOUT_S):
            event = await exchange.receive()
    except TimeoutError:
        raise RequestBodyError(Refusal(RefusalKind.CALLER_TOO_SLOW, ran)) from None
    if event["type"] == "http.disconnect":
        raise CallerDisconnectedError
    exchange.body_complete = not event.get("more_body", False)
    body: bytes = event.get("body", b"")
    return body


async def _cancel_on_disconnect(exchange: Exchange, cancel_scope: anyio.CancelScope) -> None:
    while True:
        event = await exchange.receive()
        if event["type"] == "http.disconnect":
            cancel_scope.cancel()
            return
