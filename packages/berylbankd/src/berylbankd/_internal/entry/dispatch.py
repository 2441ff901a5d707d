"""Dispatches a request to a backend server and relays the response.

A request that is not idempotent is sent at most once: it is retried only if no byte of it was sent
to a backend server, or if the backend server states that it did not run the request.
"""

from collections.abc import AsyncIterator

import anyio

from berylbank._internal.models.configuration import Backend
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
from berylbankd._internal.entry.attempts import (
    Attempt,
    AttemptOutcome,
    Race,
    RequestAttempts,
    RetryBudget,
)
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
# While other attempts run, a longer response is chosen before all of its body was received.
MAX_BUFFERED_RESPONSE_BYTES = 65_536
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
        attempts = RequestAttempts()
        try:
            attempt = await self._find_response(exchange, attempts)
            if attempt is None:
                return attempts.refusal
            if exchange.idempotent and not self.request_filters.may_still_run(exchange):
                refusal = self.request_filters.make_revocation_refusal(exchange)
                return refusal._replace(ran=Ran.UNKNOWN)
            await self._relay_response(exchange, attempt)
            self._record_response(exchange, attempt)
            attempt.reusable = True
            return None
        finally:
            await self._end_attempts(exchange, attempts)

    async def _find_response(self, exchange: Exchange, attempts: RequestAttempts) -> Attempt | None:
        """Try one backend server after the other until one responds.

        Return None if none does; ``attempts.refusal`` then states why.
        """
        while (slot_pool := await self._acquire_next_slot(exchange, attempts)) is not None:
            outcome = await self._attempt(exchange, attempts, slot_pool)
            if outcome.attempt is not None:
                return outcome.attempt
            attempts.record_failure(outcome, slot_pool.backend.name)
            if not outcome.retryable:
                break
        return None

    async def _acquire_next_slot(
        self, exchange: Exchange, attempts: RequestAttempts
    ) -> SlotPool | None:
        """Take a slot for the next attempt; return None if there is none, or no attempt is left."""
        if attempts.made >= MAX_ATTEMPTS:
            self._log_silence(exchange, attempts, "none: all attempts were made")
            return None
        if attempts.made and not self.retry_budget.take_retry():
            self._log_silence(exchange, attempts, "none: no retry credit is left")
            return None
        slot_pool = await self._acquire_slot(exchange, attempts.tried_backends)
        if slot_pool is None:
            self._log_silence(exchange, attempts, "none: no server has a free slot")
            attempts.refusal = attempts.refusal or Refusal(RefusalKind.NO_SLOT)
            return None
        attempts.made += 1
        self._log_silence(exchange, attempts, slot_pool.backend.name)
        return slot_pool

    def _log_silence(
        self, exchange: Exchange, attempts: RequestAttempts, next_attempt: str
    ) -> None:
        if attempts.silence is not None:
            now_ms = self.coordinator.clock.now_ms()
            self.silence_log.write(exchange.request_id, attempts.silence, next_attempt, now_ms)
            attempts.silence = None

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

    async def _attempt(
        self, exchange: Exchange, attempts: RequestAttempts, slot_pool: SlotPool
    ) -> AttemptOutcome:
        """Send the request to one backend server and wait for the head of its response.

        If the server is silent, the outcome may be that of an attempt beside it.
        """
        attempt = Attempt(slot_pool)
        attempts.running.append(attempt)
        outcome = await self._connect_and_send(exchange, attempts, attempt)
        if outcome.attempt is not attempt:
            await self._end_attempt(exchange, attempts, attempt)
        return outcome

    async def _connect_and_send(
        self, exchange: Exchange, attempts: RequestAttempts, attempt: Attempt
    ) -> AttemptOutcome:
        assert exchange.service is not None
        now_ms = self.coordinator.clock.now_ms
        backend = attempt.slot_pool.backend
        # A long body can't be sent again if the server has dropped a reused connection.
        force_new = (
            not exchange.idempotent
            or bool(exchange.tried_backends)
            or len(exchange.body) > MAX_BUFFERED_BODY_BYTES
        )
        try:
            connection = await self.connection_pool.acquire(
                backend.address, now_ms(), force_new=force_new
            )
        except BackendConnectionError:
            attempt.slot_pool.health.record_failure(now_ms())
            return AttemptOutcome(Refusal(RefusalKind.NO_BACKEND), retryable=True)
        attempt.connection = connection
        attempt.started_ms = now_ms()
        exchange.tried_backends += (backend.name,)
        if attempts.deadline_ms is None:
            attempts.deadline_ms = attempt.started_ms + exchange.service.timeout_ms
        connection.deadline_ms = attempts.deadline_ms
        self.deadline_monitor.active_connections.add(connection)
        remaining_ms = attempts.deadline_ms - attempt.started_ms
        refused = self._refuse_before_send(exchange, attempt.slot_pool, backend, remaining_ms)
        if refused is not None:
            return refused
        headers = make_backend_request_headers(exchange, backend.address, remaining_ms)
        body = None if exchange.body_complete and not exchange.body else self._stream_body(exchange)
        try:
            await connection.send_request(exchange.method.encode(), exchange.target, headers, body)
            head = await self._receive_head_unless_silent(exchange, attempt, connection)
            if head is not None:
                return await self._handle_head(exchange, attempts, attempt, connection, head)
        except BackendConnectionError as failure:
            return await self._handle_failure(exchange, attempt, connection, failure)
        return await self._race(exchange, attempts, attempt, connection)

    def _refuse_before_send(
        self, exchange: Exchange, slot_pool: SlotPool, connected: Backend, remaining_ms: int
    ) -> AttemptOutcome | None:
        """Return why a request must not be sent any more, which can change while connecting."""
        if not self.request_filters.may_still_run(exchange):
            return AttemptOutcome(self.request_filters.make_revocation_refusal(exchange))
        if remaining_ms <= 0:
            return AttemptOutcome(Refusal(RefusalKind.DEADLINE))
        if not self._is_still_usable(slot_pool, connected):
            return AttemptOutcome(Refusal(RefusalKind.NO_BACKEND), retryable=True)
        return None

    def _is_still_usable(self, slot_pool: SlotPool, connected: Backend) -> bool:
        """Tell whether a server may still get requests at the address that was connected to."""
        pools, backend = self.coordinator.node.slots.pools, slot_pool.backend
        is_known = pools.get(backend.name) is slot_pool
        return is_known and not backend.draining and backend.address == connected.address

    async def _receive_head_unless_silent(
        self, exchange: Exchange, attempt: Attempt, connection: BackendConnection
    ) -> ResponseHead | None:
        """Return the head of the response, or None if the server is silent for too long.

        The server may have dropped a reused connection without closing it.
        """
        if not self._may_be_stale_connection(exchange, connection):
            return await connection.receive_head()
        limit_ms = attempt.started_ms + self._silence_timeout_ms(exchange, attempt.slot_pool)
        with anyio.CancelScope() as scope:
            self.deadline_monitor.silence_limits_ms[scope] = limit_ms
            try:
                return await connection.receive_head()
            finally:
                del self.deadline_monitor.silence_limits_ms[scope]
        return None

    def _silence_timeout_ms(self, exchange: Exchange, slot_pool: SlotPool) -> int:
        """Return after how long a server that has not responded is taken for silent."""
        assert exchange.service is not None
        expected_ms = int(REUSED_CONNECTION_LATENCY_FACTOR * slot_pool.health.latency_ms)
        return min(
            exchange.service.timeout_ms // MAX_ATTEMPTS,
            max(MIN_REUSED_CONNECTION_TIMEOUT_MS, expected_ms),
        )

    async def _race(
        self,
        exchange: Exchange,
        attempts: RequestAttempts,
        first: Attempt,
        connection: BackendConnection,
    ) -> AttemptOutcome:
        """Make further attempts beside that at a silent server, which may still be at work.

        The first success whose body is buffered ends the race. A server error, or a success that
        has only begun, counts only if nothing else succeeds.
        """
        backend = first.slot_pool.backend
        now_ms = self.coordinator.clock.now_ms()
        attempts.silence = ServerSilence(
            backend.name, now_ms - first.started_ms, connection.deadline_ms - now_ms
        )
        attempts.tried_backends |= {backend.name}
        await self.connection_pool.close_idle_to(backend.address)
        async with anyio.create_task_group() as group:
            race = attempts.race = Race(first, connection, group.cancel_scope)
            group.start_soon(self._await_silent_server, exchange, attempts, race)
            other = await self._find_response(exchange, attempts)
            race.others_ended = True
            if self._is_decided(attempts, other):
                race.cancel_scope.cancel()
        self._log_silence(exchange, attempts, "none: the server responded")
        chosen = race.choose_response()
        await self._end_attempts(exchange, attempts, kept=chosen)
        if chosen is not None:
            return AttemptOutcome(attempt=chosen)
        if race.first_failure is not None:
            return AttemptOutcome(attempts.refusal, race.first_failure.retryable)
        assert attempts.refusal is not None
        return AttemptOutcome(attempts.refusal._replace(ran=Ran.UNKNOWN))

    async def _await_silent_server(
        self, exchange: Exchange, attempts: RequestAttempts, race: Race
    ) -> None:
        first, connection = race.first, race.connection
        try:
            head = await connection.receive_head()
            outcome = await self._handle_head(exchange, attempts, first, connection, head)
        except BackendConnectionError as failure:
            outcome = await self._handle_failure(exchange, first, connection, failure)
        if outcome.attempt is None:
            # The further attempts replace this one, unless they have ended.
            retryable = outcome.retryable and race.others_ended
            race.first_failure = outcome._replace(retryable=retryable)
            await self._end_attempt(exchange, attempts, first)
            attempts.record_failure(outcome, first.slot_pool.backend.name)
        if first.succeeded or connection.timed_out:
            race.cancel_scope.cancel()

    def _is_decided(self, attempts: RequestAttempts, other: Attempt | None) -> bool:
        """Tell whether the further attempts make it useless to wait for the silent server."""
        if other is not None:
            return other.succeeded
        return attempts.refusal is not None and attempts.refusal.kind is RefusalKind.KEY_WITHDRAWN

    async def _buffer_response(
        self, exchange: Exchange, attempts: RequestAttempts, race: Race, attempt: Attempt
    ) -> None:
        """Receive a short body, or the first part of a longer one, while other attempts run.

        This ends at the request's deadline; the response may still be chosen then.

        :raises BackendConnectionError: when the response breaks off.
        """
        connection = attempt.connection
        assert exchange.service is not None and connection is not None
        remaining_ms = connection.deadline_ms - self.coordinator.clock.now_ms()
        # The response is kept while the race goes on.
        connection.deadline_ms += exchange.service.timeout_ms
        race.responses.append(attempt)
        if attempts.running == [attempt]:
            return
        size = 0
        with anyio.move_on_after(remaining_ms / 1000):
            try:
                while size <= MAX_BUFFERED_RESPONSE_BYTES:
                    chunk = await connection.receive_chunk()
                    if chunk is None:
                        break
                    attempt.chunks.append(chunk)
                    size += len(chunk)
                attempt.buffered = True
            except BackendConnectionError:
                race.responses.remove(attempt)
                raise

    async def _end_attempts(
        self, exchange: Exchange, attempts: RequestAttempts, kept: Attempt | None = None
    ) -> None:
        """End every running attempt except ``kept``."""
        for attempt in tuple(attempts.running):
            if attempt is kept:
                continue
            if kept is not None and attempt.head is not None:
                self._record_response(exchange, attempt)
            await self._end_attempt(exchange, attempts, attempt)

    async def _end_attempt(
        self, exchange: Exchange, attempts: RequestAttempts, attempt: Attempt
    ) -> None:
        """Release the connection and the slot of an attempt, unless this was done before."""
        assert exchange.service is not None
        if attempt not in attempts.running:
            return
        attempts.running.remove(attempt)
        connection = attempt.connection
        try:
            if connection is None:
                return
            self.deadline_monitor.active_connections.discard(connection)
            if attempt.reusable:
                now_ms = self.coordinator.clock.now_ms()
                address = attempt.slot_pool.backend.address
                await self.connection_pool.release(address, connection, now_ms)
            else:
                await connection.aclose()
        finally:
            self.slot_allocator.release_slot(exchange.service, attempt.slot_pool)

    async def _handle_head(
        self,
        exchange: Exchange,
        attempts: RequestAttempts,
        attempt: Attempt,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> AttemptOutcome:
        if states_not_run(head.status, head.headers):
            attempt.reusable = True
            return await self._handle_shed(exchange, attempt.slot_pool, connection)
        attempt.head = head
        if attempts.race is not None:
            await self._buffer_response(exchange, attempts, attempts.race, attempt)
        return AttemptOutcome(attempt=attempt)

    async def _handle_failure(
        self,
        exchange: Exchange,
        attempt: Attempt,
        connection: BackendConnection,
        failure: BackendConnectionError,
    ) -> AttemptOutcome:
        slot_pool = attempt.slot_pool
        has_responded, attempt.head = attempt.head is not None, None
        if (
            failure.reason != DEADLINE_REASON
            and not has_responded
            and self._may_be_stale_connection(exchange, connection)
        ):
            await self.connection_pool.close_idle_to(slot_pool.backend.address)
        else:
            now_ms = self.coordinator.clock.now_ms()
            slot_pool.health.record_failure(now_ms)
            self._record_shift_sample(exchange, slot_pool, True, now_ms - attempt.started_ms)
        return self._make_failed_outcome(exchange, connection, failure)

    def _record_response(self, exchange: Exchange, attempt: Attempt) -> None:
        now_ms = self.coordinator.clock.now_ms()
        slot_pool, latency_ms = attempt.slot_pool, now_ms - attempt.started_ms
        self._record_shift_sample(exchange, slot_pool, not attempt.succeeded, latency_ms)
        if attempt.succeeded:
            slot_pool.health.record_success(latency_ms)
        else:
            slot_pool.health.record_failure(now_ms)

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

    async def _relay_response(self, exchange: Exchange, attempt: Attempt) -> None:
        head = attempt.head
        assert head is not None
        headers = make_caller_response_headers(
            head.headers, exchange.request_id, self.coordinator.node.leaving
        )
        await exchange.start_response(head.status, headers)
        try:
            chunk = await self._receive_chunk(exchange, attempt)
            if chunk is not None:
                next_chunk = await self._receive_chunk(exchange, attempt)
                if next_chunk is not None:
                    await exchange.send_chunk(chunk)
                    await self._relay_chunks_until_disconnect(exchange, attempt, next_chunk)
                    chunk = b""
        except BackendConnectionError as error:
            attempt.slot_pool.health.record_failure(self.coordinator.clock.now_ms())
            raise IncompleteResponseError(str(error)) from None
        await exchange.finish_response(chunk or b"")

    async def _relay_chunks_until_disconnect(
        self, exchange: Exchange, attempt: Attempt, chunk: bytes
    ) -> None:
        """Relay a long body until it ends or the caller disconnects."""
        next_chunk: bytes | None = chunk
        failure: Exception = CallerDisconnectedError()
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, exchange, group.cancel_scope)
            try:
                while next_chunk is not None:
                    await exchange.send_chunk(next_chunk)
                    next_chunk = await self._receive_chunk(exchange, attempt)
            except (BackendConnectionError, IncompleteResponseError) as error:
                failure = error
            group.cancel_scope.cancel()
        if next_chunk is not None:
            raise failure

    async def _receive_chunk(self, exchange: Exchange, attempt: Attempt) -> bytes | None:
        connection = attempt.connection
        assert exchange.service is not None and connection is not None
        if exchange.idempotent and not self.request_filters.may_still_run(exchange):
            raise IncompleteResponseError(
                "response aborted: the key was withdrawn or this VM lost its authority"
            )
        if attempt.chunks:
            chunk: bytes | None = b"".join(attempt.chunks)
            attempt.chunks.clear()
        else:
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
