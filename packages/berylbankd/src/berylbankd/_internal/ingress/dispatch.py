"""Sends a request to backend servers, one at a time, and brings back one whole answer.

A request that is not idempotent leaves once; another server follows only where no byte left or
where the first one states that it did not run the request. Answers up to a size are read whole
before the caller gets their first byte, so that a broken one can still be replaced.
"""

from collections.abc import AsyncIterator
from enum import Enum
from typing import NamedTuple

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.backends.connection import (
    BackendConnection,
    BackendFailure,
    Headers,
    ResponseHead,
)
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.ingress.codec import AnswerFacts, DispatchFacts, HeaderCodec, HeaderList
from berylbankd._internal.ingress.exchange import CallerExchange
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind
from berylbankd._internal.steering.picks import Pick, PickRequest
from berylbankd._internal.steering.steering import Steering

# Answers up to this size are read whole before any of it is passed on.
BUFFERED_ANSWER_BYTES = 1_048_576
# A new connection takes one round trip; anything longer means that the server is unreachable.
CONNECT_TIMEOUT_S = 0.5
# A request that must run once uses only connections that were in use a moment ago.
UNSAFE_IDLE_MS = 1_500
IDLE_MS = 8_000
# Connections are dropped this long before the server said that it would close them.
IDLE_MARGIN_MS = 1_000
# An idempotent request leaves a server that takes this many times the usual and the objective.
HANG_RATIO = 6.0
HANG_OBJECTIVES = 2.5
# Another attempt is made only while this part of the objective is left.
LEAST_LEFT_PART = 0.1
SERVER_ERROR = 500
# Late answers to earlier requests that are read away before ours is given up.
MAX_CROSSED = 2


class Failure(Enum):
    """How a dispatch failed, and so what may follow."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    OTHER_SERVER = "other server"
    BROKEN = "broken"
    HUNG = "hung"
    SERVER_ERROR = "server error"


MAY_HAVE_RUN = frozenset({Failure.BROKEN, Failure.HUNG, Failure.SERVER_ERROR})


class WholeAnswer(NamedTuple):
    """An answer, read as far as it is buffered; ``rest`` continues it where it is longer."""

    status: int
    headers: HeaderList
    body: bytes
    rest: BackendConnection | None = None


class Outcome(NamedTuple):
    """How one dispatch ended."""

    answer: WholeAnswer | None = None
    failure: Failure | None = None


class RequestState:
    """What became of a request so far."""

    def __init__(self) -> None:
        self.tried: frozenset[str] = frozenset()
        self.servers: list[str] = []
        self.may_have_run = False
        self.fallback: WholeAnswer | None = None
        self.last: Failure | None = None


class Dispatcher:
    """Finds servers and exchanges messages with them."""

    def __init__(self, steering: Steering, codec: HeaderCodec, clock: Clock) -> None:
        self.steering = steering
        self.codec = codec
        self.clock = clock
        self.pool = ConnectionPool()

    async def run(
        self, exchange: CallerExchange, ask: PickRequest, deadline_ms: int, state: RequestState
    ) -> WholeAnswer | Refusal:
        """Get an answer, or a refusal that is true."""
        for attempt in range(max(1, ask.route.max_attempts)):
            if attempt and not self._may_try_again(exchange, ask, deadline_ms, state):
                break
            if not self._key_holds(exchange):
                return self._refuse_withdrawn(state)
            ask = ask._replace(tried=state.tried, remaining_ms=deadline_ms - self.clock.now_ms())
            pick = self.steering.pick(ask, self.clock.now_ms())
            if pick is None:
                break
            organisation = exchange.organisation.name if exchange.organisation else None
            facts = DispatchFacts(pick.server.registration.id, ask.remaining_ms, organisation)
            outcome = await self._dispatch(exchange, ask, pick, facts, state)
            if outcome.answer is not None and outcome.failure is None:
                return outcome.answer
            self._note_failure(pick, outcome, state)
        return self._give_up(ask.service, state)

    def _key_holds(self, exchange: CallerExchange) -> bool:
        """Tell whether the key still is the organisation's: admission and other tries take time."""
        admitted = exchange.organisation
        if admitted is None:
            return True
        holder = self.steering.routing_state.organisations.get(exchange.request.key)
        return holder is not None and holder.name == admitted.name

    def _refuse_withdrawn(self, state: RequestState) -> WholeAnswer | Refusal:
        if state.may_have_run:
            return state.fallback or Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN)
        return Refusal(RefusalKind.KEY_WITHDRAWN)

    def _note_failure(self, pick: Pick, outcome: Outcome, state: RequestState) -> None:
        state.tried |= {pick.server.registration.id}
        state.last = outcome.failure
        if outcome.answer is not None:
            state.fallback = outcome.answer

    def _may_try_again(
        self, exchange: CallerExchange, ask: PickRequest, deadline_ms: int, state: RequestState
    ) -> bool:
        if state.may_have_run and not ask.route.kind.idempotent:
            return False
        if not exchange.body_complete:
            return False
        left = deadline_ms - self.clock.now_ms()
        if left < ask.route.objective_ms * LEAST_LEFT_PART:
            return False
        return state.last is Failure.NOT_SENT or self.steering.retry_budget(ask.service).take()

    def _give_up(self, service: str, state: RequestState) -> WholeAnswer | Refusal:
        if state.fallback is not None:
            return state.fallback
        if state.may_have_run:
            return Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN)
        kind = RefusalKind.NO_BACKEND if state.last is Failure.NOT_SENT else RefusalKind.NO_SLOT
        return Refusal(kind, retry_after_s=self.steering.retry_after_s(service))

    async def _dispatch(
        self,
        exchange: CallerExchange,
        ask: PickRequest,
        pick: Pick,
        facts: DispatchFacts,
        state: RequestState,
    ) -> Outcome:
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
    ) -> Outcome:
        address, started = pick.server.registration.address, self.clock.now_ms()
        idle_ms = IDLE_MS if ask.route.kind.idempotent else UNSAFE_IDLE_MS
        try:
            connection = await self.pool.acquire(
                address, started, fresh=False, max_idle_ms=idle_ms, timeout_s=CONNECT_TIMEOUT_S
            )
        except BackendFailure as failure:
            logger.info(
                "backend server {} not reached: {}", pick.server.registration.id, failure.reason
            )
            self.steering.record_unreachable(pick, self.clock.now_ms())
            return Outcome(failure=Failure.NOT_SENT)
        if connection.requests == 0:
            self.steering.record_connected(pick)
        keep = handed_on = False
        try:
            if not self._still_usable(pick) or not self._key_holds(exchange):
                keep = True
                return Outcome(failure=Failure.NOT_SENT)
            state.servers.append(f"{pick.server.registration.id} rank {pick.rank} load {pick.load}")
            # From here on a cancelled request may have run; so may one that an earlier server had.
            ran_before, state.may_have_run = state.may_have_run, True
            waited = self.clock.now_ms() - started
            facts = facts._replace(deadline_ms=facts.deadline_ms - waited)
            outcome = await self._exchange(exchange, ask, pick, facts, connection)
            state.may_have_run = ran_before or outcome.failure in MAY_HAVE_RUN
            keep = outcome.failure in (None, Failure.NOT_RUN, Failure.SERVER_ERROR)
            handed_on = outcome.answer is not None and outcome.answer.rest is not None
            return outcome
        finally:
            if handed_on:
                pass
            elif keep:
                await self.pool.release(address, connection, self.clock.now_ms())
            else:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()

    def _still_usable(self, pick: Pick) -> bool:
        """Tell whether the server may still get work: connecting takes time."""
        world = self.steering.routing_state
        known = world.servers.get(pick.server.registration.id)
        return known is pick.server and world.is_usable(known)

    async def _exchange(
        self,
        exchange: CallerExchange,
        ask: PickRequest,
        pick: Pick,
        facts: DispatchFacts,
        connection: BackendConnection,
    ) -> Outcome:
        started = self.clock.now_ms()
        patience_s = self._patience_s(ask, facts)
        try:
            with anyio.fail_after(patience_s):
                await self._send(exchange, facts, connection)
                head, told = await self._receive_own(exchange, connection)
                self._note_told(pick, connection, told)
                if told.not_run:
                    return await self._not_run(pick, connection, told)
                answer = await self._receive_whole(exchange, connection, head)
        except BackendFailure as failure:
            if failure.reason == "connect" or not connection.sent:
                return Outcome(failure=Failure.NOT_SENT)
            if connection.reused and not connection.answers.messages:
                self.pool.note_forgotten(pick.server.registration.address, connection.rested_ms)
            self._note_broken(ask, pick, failure.reason, started)
            return Outcome(failure=Failure.BROKEN)
        except TimeoutError:
            # Other connections to that server may have gone silent with this one.
            await self.pool.drop(pick.server.registration.address)
            self._note_broken(ask, pick, "no answer in time", started)
            return Outcome(failure=Failure.HUNG)
        if connection.reused:
            self.pool.note_held(pick.server.registration.address)
        return self._judge(ask, pick, told, answer, started)

    def _judge(
        self, ask: PickRequest, pick: Pick, told: AnswerFacts, answer: WholeAnswer, started: int
    ) -> Outcome:
        now_ms = self.clock.now_ms()
        failed = answer.status >= SERVER_ERROR
        sound = told.signed and not any(name == b"content-encoding" for name, _ in answer.headers)
        self.steering.record_response(
            ask, pick, failed=failed or not sound, latency_ms=now_ms - started, now_ms=now_ms
        )
        if not sound:
            logger.warning("unsigned answer {} of {}", answer.status, pick.server.registration.id)
            return Outcome(failure=Failure.BROKEN)
        if failed:
            return Outcome(answer, Failure.SERVER_ERROR)
        return Outcome(answer)

    def _patience_s(self, ask: PickRequest, facts: DispatchFacts) -> float:
        """Return how long to wait for an answer; a hung server leaves time for another one."""
        left = facts.deadline_ms / 1000
        if not ask.route.kind.idempotent or ask.route.max_attempts <= len(ask.tried) + 1:
            return left
        if not self.steering.retry_budget(ask.service).has_credit():
            return left
        usual = HANG_RATIO * self.steering.expected_service_ms(ask.service)
        hang_ms = max(usual, HANG_OBJECTIVES * ask.route.objective_ms)
        # Where the rest would not do for another try, the first one has all of the time.
        if facts.deadline_ms - hang_ms < ask.route.objective_ms:
            return left
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

    async def _receive_own(
        self, exchange: CallerExchange, connection: BackendConnection
    ) -> tuple[ResponseHead, AnswerFacts]:
        """Return the head of the answer to this request, past late answers to others."""
        for _ in range(MAX_CROSSED + 1):
            head = await connection.receive_head()
            told = self.codec.decode_answer(head.status, list(head.headers))
            if told.request_id == exchange.request.request_id or told.not_run:
                return head, told
            logger.warning("answer to request {} read away", told.request_id.decode("latin-1"))
            await connection.discard_answer()
        raise BackendFailure("crossed")

    def _note_told(self, pick: Pick, connection: BackendConnection, told: AnswerFacts) -> None:
        if told.load is not None:
            running, waiting, _ = told.load
            pick.server.record_load_report(running, waiting, self.clock.now_ms())
        if told.idle_timeout_ms is not None:
            connection.max_idle_ms = max(0, told.idle_timeout_ms - IDLE_MARGIN_MS)

    async def _not_run(
        self, pick: Pick, connection: BackendConnection, told: AnswerFacts
    ) -> Outcome:
        while await connection.receive_chunk() is not None:
            pass
        if told.other_server:
            logger.info("backend server {} has gone from its address", pick.server.registration.id)
            pick.server.eject_replaced(self.clock.now_ms())
            return Outcome(failure=Failure.OTHER_SERVER)
        return Outcome(failure=Failure.NOT_RUN)

    def _note_broken(self, ask: PickRequest, pick: Pick, reason: str, started: int) -> None:
        now_ms = self.clock.now_ms()
        logger.info(
            "backend server {} failed a request: {} after {} ms",
            pick.server.registration.id,
            reason,
            now_ms - started,
        )
        self.steering.record_response(
            ask, pick, failed=True, latency_ms=now_ms - started, now_ms=now_ms
        )

    async def _receive_whole(
        self, exchange: CallerExchange, connection: BackendConnection, head: ResponseHead
    ) -> WholeAnswer:
        parts: list[bytes] = []
        size = 0
        while size <= BUFFERED_ANSWER_BYTES:
            part = await connection.receive_chunk()
            if part is None:
                return self._whole(exchange, head, b"".join(parts))
            parts.append(part)
            size += len(part)
        return WholeAnswer(
            head.status, self.codec.encode_answer(list(head.headers)), b"".join(parts), connection
        )

    def _whole(self, exchange: CallerExchange, head: ResponseHead, body: bytes) -> WholeAnswer:
        headers = self.codec.encode_answer(list(head.headers))
        if not _states_length(head.headers) and exchange.method != b"HEAD":
            headers.append((b"content-length", str(len(body)).encode()))
        return WholeAnswer(head.status, headers, body)


def _states_length(headers: Headers) -> bool:
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
        yield await exchange.receive_part()
