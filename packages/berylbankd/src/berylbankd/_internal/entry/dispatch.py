"""Dispatch of one request to a backend server, and the relay of its answer.

A request that is not idempotent leaves at most once: another attempt follows only where no byte
reached a backend server, or where the backend server states that it did not run.
"""

from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

from berylbankd._internal.backends.connection import (
    DEADLINE,
    BackendConnection,
    BackendFailure,
    ResponseHead,
)
from berylbankd._internal.backends.deadlines import DeadlineWatch
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.backends.slots import SlotPool
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.entry.filters import Filters
from berylbankd._internal.entry.headers import request_headers, response_headers, states_not_run
from berylbankd._internal.entry.routes import route_of
from berylbankd._internal.entry.slot_gate import SlotGate
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

MAX_ATTEMPTS = 3
MAX_KEPT_BODY_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
RETRY_BUDGET_PART = 0.1
RETRY_BUDGET_MOST = 20.0
BODY_STALL_S = 10.0
SILENCE_FACTOR = 10
SILENCE_LEAST_MS = 250


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallerSlowError(Exception):
    """The caller's body stalled or grew too large; ``refusal`` says which."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.kind.value)
        self.refusal = refusal


class BrokenAnswerError(Exception):
    """The answer can't be completed; the caller's connection must break."""


class Attempt(NamedTuple):
    """How an attempt ended: answered, or refused with leave to try elsewhere."""

    refusal: Refusal | None = None
    retryable: bool = False

    def after(self, earlier: Refusal | None) -> Refusal | None:
        """Return the refusal of this attempt, given the one before.

        What may have run in any attempt may have run.
        """
        if self.refusal is None or earlier is None or earlier.ran is Ran.NO:
            return self.refusal
        return self.refusal._replace(ran=earlier.ran)


ANSWERED = Attempt()


class RetryBudget:
    """Bounds retries to a part of the requests, so that they cannot feed an overload."""

    def __init__(self) -> None:
        self.credit = RETRY_BUDGET_MOST

    def note_request(self) -> None:
        """Earn credit for one request."""
        self.credit = min(RETRY_BUDGET_MOST, self.credit + RETRY_BUDGET_PART)

    def take(self) -> bool:
        """Spend credit for one retry."""
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


class Dispatcher:
    """Sends admitted requests to backend servers."""

    def __init__(self, coordinator: Coordinator, filters: Filters) -> None:
        self.coordinator = coordinator
        self.filters = filters
        self.gate = SlotGate(coordinator)
        self.pool = ConnectionPool()
        self.budget = RetryBudget()
        self.watch = DeadlineWatch(coordinator.clock)

    async def run(self, exchange: Exchange) -> Refusal | None:
        """Get the request answered; return a refusal where that failed before the answer began.

        :raises CallerGoneError: when nobody is there to be answered.
        :raises BrokenAnswerError: when the answer broke off after it began.
        """
        self.budget.note_request()
        tried: frozenset[str] = frozenset()
        refusal: Refusal | None = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self.budget.take():
                break
            pool = await self._acquire(exchange, tried)
            if pool is None:
                refusal = refusal or Refusal(RefusalKind.NO_SLOT)
                break
            result = await self._attempt_and_release(exchange, pool)
            refusal = result.after(refusal)
            if refusal is None or not result.retryable:
                break
            tried |= {pool.backend.name}
        return refusal

    async def _acquire(self, exchange: Exchange, tried: frozenset[str]) -> SlotPool | None:
        assert exchange.service is not None
        has_authority = self.coordinator.lease_state.may_act(self.coordinator.clock.now_ms())
        if exchange.grant is None and not has_authority:
            return self.gate.take_open_allowance(exchange.service, tried)
        weight = exchange.grant.weight if exchange.grant is not None else 1
        side = self.coordinator.node.shifts.choose_side(exchange.service.name)
        pool = await self.gate.acquire(
            exchange.service, exchange.organisation, weight, tried, side.side
        )
        if pool is None and side.fallback is not None:
            pool = await self.gate.acquire(
                exchange.service, exchange.organisation, weight, tried, side.fallback
            )
        return pool

    async def _attempt_and_release(self, exchange: Exchange, pool: SlotPool) -> Attempt:
        assert exchange.service is not None
        try:
            return await self._attempt(exchange, pool)
        finally:
            self.gate.release(exchange.service, pool)

    async def _attempt(self, exchange: Exchange, pool: SlotPool) -> Attempt:
        assert exchange.service is not None
        now_ms = self.coordinator.clock.now_ms
        address = pool.backend.address
        fresh = not exchange.idempotent or bool(exchange.backends)
        try:
            connection = await self.pool.acquire(address, now_ms(), fresh=fresh)
        except BackendFailure:
            pool.health.note_failure(now_ms())
            return Attempt(Refusal(RefusalKind.NO_BACKEND), retryable=True)
        started_ms = now_ms()
        exchange.backends += (pool.backend.name,)
        connection.deadline_ms = started_ms + self._patience_ms(exchange, pool, connection)
        self.watch.active.add(connection)
        keep = False
        try:
            if not self.filters.may_run(exchange):
                return Attempt(self.filters.refuse_late(exchange))
            result = await self._exchange(exchange, pool, connection, started_ms)
            keep = result is ANSWERED or result.refusal is not None and result.refusal.ran is Ran.NO
            return result
        finally:
            self.watch.active.discard(connection)
            if keep:
                await self.pool.release(address, connection, now_ms())
            else:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()

    def _patience_ms(
        self, exchange: Exchange, pool: SlotPool, connection: BackendConnection
    ) -> int:
        """Return how long to wait for the head of an answer.

        A connection that was used before may have gone silent without a sign. Where the request
        may run twice, it gets little time for that, and another try on a new connection the rest.
        """
        assert exchange.service is not None
        timeout_ms = exchange.service.timeout_ms
        if not connection.requests or not exchange.idempotent or not exchange.body_complete:
            return timeout_ms
        usual_ms = int(SILENCE_FACTOR * pool.health.latency_ms)
        return min(timeout_ms // MAX_ATTEMPTS, max(SILENCE_LEAST_MS, usual_ms))

    async def _exchange(
        self, exchange: Exchange, pool: SlotPool, connection: BackendConnection, started_ms: int
    ) -> Attempt:
        assert exchange.service is not None
        timeout_ms = exchange.service.timeout_ms
        headers = request_headers(exchange, pool.backend.address, timeout_ms)
        body = None if exchange.body_complete and not exchange.body else self._body(exchange)
        try:
            await connection.send_request(exchange.method.encode(), exchange.target, headers, body)
            head = await connection.receive_head()
        except BackendFailure as failure:
            now_ms = self.coordinator.clock.now_ms()
            if self._went_silent(exchange, connection):
                await self.pool.drop(pool.backend.address)
                return Attempt(Refusal(RefusalKind.DEADLINE, Ran.UNKNOWN), retryable=True)
            pool.health.note_failure(now_ms)
            self._note_evidence(exchange, pool, True, now_ms - started_ms)
            return self._failed(exchange, connection, failure)
        if states_not_run(head.status, head.headers):
            return await self._shed(exchange, pool, connection)
        await self._relay(exchange, pool, connection, head)
        self._note_answer(exchange, pool, head, started_ms)
        return ANSWERED

    def _note_answer(
        self, exchange: Exchange, pool: SlotPool, head: ResponseHead, started_ms: int
    ) -> None:
        now_ms = self.coordinator.clock.now_ms()
        self._note_evidence(exchange, pool, head.status >= 500, now_ms - started_ms)
        if head.status >= 500:
            pool.health.note_failure(now_ms)
        else:
            pool.health.note_success(now_ms - started_ms)

    def _went_silent(self, exchange: Exchange, connection: BackendConnection) -> bool:
        """Tell whether a used connection broke or went silent: no word on the server itself."""
        return connection.reused and exchange.idempotent and exchange.body_complete

    def _note_evidence(
        self, exchange: Exchange, pool: SlotPool, failed: bool, latency_ms: int
    ) -> None:
        assert exchange.service is not None
        now_ms = self.coordinator.clock.now_ms()
        route = route_of(exchange.path, exchange.service.prefix)
        self.coordinator.node.shifts.note(pool.backend, route, failed, latency_ms, now_ms)

    def _failed(
        self, exchange: Exchange, connection: BackendConnection, failure: BackendFailure
    ) -> Attempt:
        late = failure.reason == DEADLINE
        kind = RefusalKind.DEADLINE if late else RefusalKind.BACKEND_FAILED
        ran = Ran.UNKNOWN if connection.sent else Ran.NO
        again = exchange.idempotent and exchange.body_complete and not late
        return Attempt(Refusal(kind, ran), retryable=again)

    async def _shed(
        self, exchange: Exchange, pool: SlotPool, connection: BackendConnection
    ) -> Attempt:
        pool.health.note_shed(self.coordinator.clock.now_ms())
        try:
            while await connection.receive_chunk() is not None:
                pass
        except BackendFailure:
            await connection.aclose()
        return Attempt(Refusal(RefusalKind.NO_SLOT), retryable=exchange.body_complete)

    async def _relay(
        self,
        exchange: Exchange,
        pool: SlotPool,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> None:
        headers = response_headers(head.headers, exchange.request_id, self.coordinator.node.leaving)
        await exchange.send_start(head.status, headers)
        try:
            chunk = await self._next_chunk(exchange, connection)
            if chunk is not None:
                following = await self._next_chunk(exchange, connection)
                if following is not None:
                    await exchange.send_chunk(chunk)
                    await self._relay_watched(exchange, connection, following)
                    chunk = b""
        except BackendFailure as error:
            pool.health.note_failure(self.coordinator.clock.now_ms())
            raise BrokenAnswerError(str(error)) from None
        await exchange.send_end(chunk or b"")

    async def _relay_watched(
        self, exchange: Exchange, connection: BackendConnection, chunk: bytes
    ) -> None:
        """Relay a long body while watching for the caller to go away."""
        following: bytes | None = chunk
        failure: Exception = CallerGoneError()
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_when_gone, exchange, group.cancel_scope)
            try:
                while following is not None:
                    await exchange.send_chunk(following)
                    following = await self._next_chunk(exchange, connection)
            except (BackendFailure, BrokenAnswerError) as error:
                failure = error
            group.cancel_scope.cancel()
        if following is not None:
            raise failure

    async def _next_chunk(self, exchange: Exchange, connection: BackendConnection) -> bytes | None:
        assert exchange.service is not None
        if exchange.idempotent and not self.filters.may_run(exchange):
            raise BrokenAnswerError("the key was withdrawn or the authority lapsed")
        now_ms = self.coordinator.clock.now_ms()
        connection.deadline_ms = now_ms + exchange.service.timeout_ms
        return await connection.receive_chunk()

    async def keep_body(self, exchange: Exchange) -> None:
        """Read a small body whole, so that a retry can send it again."""
        while not exchange.body_complete and len(exchange.body) <= MAX_KEPT_BODY_BYTES:
            exchange.body += await _receive_part(exchange, Ran.NO)

    async def _body(self, exchange: Exchange) -> AsyncIterator[bytes]:
        if exchange.body:
            yield exchange.body
        size = len(exchange.body)
        while not exchange.body_complete:
            part = await _receive_part(exchange, Ran.UNKNOWN)
            size += len(part)
            if size > MAX_BODY_BYTES:
                raise CallerSlowError(Refusal(RefusalKind.BODY_TOO_LARGE, Ran.UNKNOWN))
            yield part


async def _receive_part(exchange: Exchange, ran: Ran) -> bytes:
    """Return the next part of the caller's body; ``ran`` is what a refusal would state."""
    try:
        with anyio.fail_after(BODY_STALL_S):
            event = await exchange.receive()
    except TimeoutError:
        raise CallerSlowError(Refusal(RefusalKind.CALLER_TOO_SLOW, ran)) from None
    if event["type"] == "http.disconnect":
        raise CallerGoneError
    exchange.body_complete = not event.get("more_body", False)
    body: bytes = event.get("body", b"")
    return body


async def _cancel_when_gone(exchange: Exchange, scope: anyio.CancelScope) -> None:
    while True:
        event = await exchange.receive()
        if event["type"] == "http.disconnect":
            scope.cancel()
            return
