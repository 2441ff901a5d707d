"""Sends a request to one backend server at a time until one returns a usable response.

A request that is not idempotent is retried on another server only if no byte of it was sent or if
the first server states that it did not run the request. Responses of up to
``MAX_BUFFERED_RESPONSE_BYTES`` are received completely before any byte is sent to the caller, so
that a retry can still replace an incomplete response.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum, StrEnum
from typing import NamedTuple

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.backends.connection import (
    MAX_DISCARDED_BODY_BYTES,
    BackendConnection,
    BackendConnectionError,
    Headers,
    ResponseHead,
)
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.ingress.codec import (
    DispatchMetadata,
    HeaderCodec,
    HeaderList,
    ResponseMetadata,
)
from berylbankd._internal.ingress.exchange import CallerDisconnectedError, CallerExchange
from berylbankd._internal.ingress.request_log import RequestLog, SilenceRecord
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind
from berylbankd._internal.steering.picks import Pick, PickRequest
from berylbankd._internal.steering.steering import Steering

# Longer responses are relayed while they arrive, and can't be replaced by a retry.
MAX_BUFFERED_RESPONSE_BYTES = 1_048_576
# While this VM has buffered this much of all responses together, each is relayed from its first
# chunk on.
MAX_TOTAL_BUFFERED_BYTES = 33_554_432
# Connecting takes one round trip; a server that takes longer than this counts as unreachable.
CONNECT_TIMEOUT_S = 0.5
# Requests that aren't idempotent reuse only connections that were idle for a short time: if the
# server has dropped the connection meanwhile, it is unknown whether the request ran.
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
# The attempt fails after this many late responses to earlier requests on the same connection.
MAX_STALE_RESPONSES = 2


class AttemptFailure(Enum):
    """How an attempt failed; it determines whether the request may be retried."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    MISDIRECTED = "other server"
    BROKEN = "broken"
    HUNG = "hung"
    SERVER_ERROR = "server error"


class RetryDenial(StrEnum):
    """Why a request is not sent to another server; the values appear in the log."""

    KEY_WITHDRAWN = "key withdrawn"
    ATTEMPTS_USED = "no attempt left"
    MAY_HAVE_RUN = "it may have run"
    BODY_NOT_KEPT = "body not kept"
    NO_TIME = "no time"
    NO_CREDIT = "no retry credit"
    NO_SERVER = "no server"


# What the log says if a request is sent to another server.
RETRIED = "sent to another server"
FAILURES_WITHOUT_RUN = frozenset(
    {AttemptFailure.NOT_SENT, AttemptFailure.NOT_RUN, AttemptFailure.MISDIRECTED}
)


class BufferedResponse(NamedTuple):
    """A response and the buffered part of its body.

    ``remainder`` is the connection from which the rest of the body is still to be received, None
    if ``body`` is complete.
    """

    status: int
    headers: HeaderList
    body: bytes
    remainder: BackendConnection | None = None


class AttemptOutcome(NamedTuple):
    """How one attempt ended; a server error has both a response and a failure."""

    response: BufferedResponse | None = None
    failure: AttemptFailure | None = None


class RequestAttempts:
    """The attempts that were made for one request so far.

    ``tried_server_ids`` holds the servers that aren't tried again, and ``server_entries`` the
    request log's entries of the servers that the request was sent to. ``may_have_run`` is false
    only while it is certain that no server ran the request. ``server_error_response`` is the last
    server error, which the caller gets if no attempt succeeds. ``unread_connection`` is the one
    from which the rest of a long response is still to be received, and ``buffered_bytes`` the size
    of the responses that are kept in memory. ``silent_server`` is the id of a server that the last
    attempt gave up, and ``silent_ms`` how long it was silent.
    """

    def __init__(self) -> None:
        self.tried_server_ids: frozenset[str] = frozenset()
        self.server_entries: list[str] = []
        self.may_have_run = False
        self.server_error_response: BufferedResponse | None = None
        self.last_failure: AttemptFailure | None = None
        self.unread_connection: BackendConnection | None = None
        self.buffered_bytes = 0
        self.silent_server = ""
        self.silent_ms = 0


class Dispatcher:
    """Picks backend servers for a request, sends it to them and receives the response.

    ``hang_scopes`` holds the cancel scopes of attempts that end before the request's deadline if
    their server is silent, each with that deadline, in seconds of the event loop. While
    ``stopping`` is set, no attempt ends because of its server's silence.
    """

    def __init__(
        self, steering: Steering, codec: HeaderCodec, clock: Clock, request_log: RequestLog
    ) -> None:
        self.steering = steering
        self.codec = codec
        self.clock = clock
        self.request_log = request_log
        self.connection_pool = ConnectionPool()
        self.total_buffered_bytes = 0
        self.hang_scopes: dict[anyio.CancelScope, float] = {}
        self.stopping = False

    def start_stopping(self) -> None:
        """Wait for silent servers until the requests' deadlines from now on.

        A stopping VM may have no time left for another attempt.
        """
        self.stopping = True
        for scope, deadline_s in self.hang_scopes.items():
            scope.deadline = deadline_s

    async def dispatch(
        self,
        exchange: CallerExchange,
        pick_request: PickRequest,
        deadline_ms: int,
        attempts: RequestAttempts,
    ) -> BufferedResponse | Refusal:
        """Return a backend server's response, or a refusal that states whether the request ran.

        ``deadline_ms`` is a time of the clock; ``attempts`` is updated after each attempt.

        :raises CallerDisconnectedError: when the caller closes its connection during its body, or
            has closed it before the request is sent.
        """
        for attempt in range(max(1, pick_request.route.max_attempts)):
            if not self._is_key_valid(exchange):
                denial: RetryDenial | None = RetryDenial.KEY_WITHDRAWN
                break
            if attempt:
                denial = self._find_denial(exchange, pick_request, deadline_ms, attempts)
                if denial is not None:
                    break
                await self._discard_unread_response(attempts)
            pick_request = pick_request._replace(
                tried=attempts.tried_server_ids, remaining_ms=deadline_ms - self.clock.now_ms()
            )
            pick = self.steering.pick(pick_request, self.clock.now_ms())
            if pick is None:
                denial = RetryDenial.NO_SERVER
                break
            self._log_silence(exchange, deadline_ms, attempts, RETRIED)
            organisation = exchange.organisation.name if exchange.organisation else None
            dispatch_metadata = DispatchMetadata(
                pick.server.registration.id, pick_request.remaining_ms, organisation
            )
            outcome = await self._dispatch_to_server(
                exchange, pick_request, pick, dispatch_metadata, attempts
            )
            if outcome.response is not None and outcome.failure is None:
                return outcome.response
            self._record_failure(pick, outcome, attempts)
        else:
            denial = RetryDenial.ATTEMPTS_USED
        self._log_silence(exchange, deadline_ms, attempts, denial or RETRIED)
        if not self._is_key_valid(exchange):
            return self._make_result_after_withdrawal(attempts)
        return self._make_final_result(pick_request.service, attempts)

    def free_buffer(self, attempts: RequestAttempts) -> None:
        """Stop counting the buffered responses of a request, as they have been sent or dropped."""
        self.total_buffered_bytes -= attempts.buffered_bytes
        attempts.buffered_bytes = 0

    async def finish(self, attempts: RequestAttempts) -> None:
        """Free what the attempts of a request still hold when it has been answered or given up."""
        self.free_buffer(attempts)
        if attempts.unread_connection is not None:
            await attempts.unread_connection.aclose()

    async def _discard_unread_response(self, attempts: RequestAttempts) -> None:
        """Drop a server error that was too long to buffer, before the request is sent again."""
        if attempts.unread_connection is not None:
            attempts.server_error_response = None
            await attempts.unread_connection.aclose()
            attempts.unread_connection = None

    def _is_key_valid(self, exchange: CallerExchange) -> bool:
        """Tell whether the key still belongs to the admitted organisation.

        It may have been withdrawn while the request waited for a token or during earlier attempts.
        """
        admitted_organisation = exchange.organisation
        if admitted_organisation is None:
            return True
        owner = self.steering.routing_state.organisations.get(exchange.metadata.key)
        return owner is not None and owner.name == admitted_organisation.name

    def _make_result_after_withdrawal(
        self, attempts: RequestAttempts
    ) -> BufferedResponse | Refusal:
        if attempts.may_have_run:
            return attempts.server_error_response or Refusal(
                RefusalKind.BACKEND_FAILED, Ran.UNKNOWN
            )
        return Refusal(RefusalKind.KEY_WITHDRAWN)

    def _record_failure(
        self, pick: Pick, outcome: AttemptOutcome, attempts: RequestAttempts
    ) -> None:
        attempts.tried_server_ids |= {pick.server.registration.id}
        attempts.last_failure = outcome.failure
        if outcome.response is not None:
            attempts.server_error_response = outcome.response

    def _log_silence(
        self,
        exchange: CallerExchange,
        deadline_ms: int,
        attempts: RequestAttempts,
        next_step: str,
    ) -> None:
        """Log that the last attempt's server was silent, if it was, and what follows."""
        if not attempts.silent_server:
            return
        self.request_log.record_silence(
            SilenceRecord(
                exchange.metadata.request_id.decode("latin-1"),
                exchange.route.name if exchange.route is not None else "",
                attempts.silent_server,
                attempts.silent_ms,
                deadline_ms - self.clock.now_ms(),
                next_step,
            )
        )
        attempts.silent_server = ""

    def _find_denial(
        self,
        exchange: CallerExchange,
        pick_request: PickRequest,
        deadline_ms: int,
        attempts: RequestAttempts,
    ) -> RetryDenial | None:
        """Return why a request must not be sent again; if it may, spend retry credit for it."""
        if attempts.may_have_run and not pick_request.route.kind.idempotent:
            return RetryDenial.MAY_HAVE_RUN
        if not exchange.body_replayable:
            return RetryDenial.BODY_NOT_KEPT
        remaining_ms = deadline_ms - self.clock.now_ms()
        if remaining_ms < pick_request.route.objective_ms * MIN_RETRY_TIME_FRACTION:
            return RetryDenial.NO_TIME
        if (
            attempts.last_failure is not AttemptFailure.NOT_SENT
            and not self.steering.retry_budget(pick_request.service).take()
        ):
            return RetryDenial.NO_CREDIT
        return None

    def _make_final_result(
        self, service: str, attempts: RequestAttempts
    ) -> BufferedResponse | Refusal:
        if attempts.server_error_response is not None:
            return attempts.server_error_response
        if attempts.may_have_run:
            return Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN)
        kind = (
            RefusalKind.NO_BACKEND
            if attempts.last_failure is AttemptFailure.NOT_SENT
            else RefusalKind.NO_SLOT
        )
        retry_after_s = self.steering.retry_after_s(service, self.clock.now_ms())
        return Refusal(kind, retry_after_s=retry_after_s)

    async def _dispatch_to_server(
        self,
        exchange: CallerExchange,
        pick_request: PickRequest,
        pick: Pick,
        dispatch_metadata: DispatchMetadata,
        attempts: RequestAttempts,
    ) -> AttemptOutcome:
        self.steering.record_dispatch(pick)
        try:
            return await self._connect_and_exchange(
                exchange, pick_request, pick, dispatch_metadata, attempts
            )
        finally:
            self.steering.record_end(pick)

    async def _connect_and_exchange(
        self,
        exchange: CallerExchange,
        pick_request: PickRequest,
        pick: Pick,
        dispatch_metadata: DispatchMetadata,
        attempts: RequestAttempts,
    ) -> AttemptOutcome:
        address, started_ms = pick.server.registration.address, self.clock.now_ms()
        max_idle_ms = (
            IDEMPOTENT_MAX_IDLE_MS if pick_request.route.kind.idempotent else UNSAFE_MAX_IDLE_MS
        )
        try:
            connection = await self.connection_pool.acquire(
                address,
                started_ms,
                force_new=False,
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
            return AttemptOutcome(failure=AttemptFailure.NOT_SENT)
        if connection.request_count == 0:
            self.steering.record_connected(pick)
        reusable = connection_in_use = False
        try:
            if not self._is_still_usable(pick) or not self._is_key_valid(exchange):
                # The connection carried nothing; the next attempt checks the key again.
                reusable = True
                return AttemptOutcome(failure=AttemptFailure.NOT_SENT)
            if not exchange.is_connected():
                reusable = True
                raise CallerDisconnectedError
            attempts.server_entries.append(
                f"{pick.server.registration.id} rank {pick.rank} load {pick.load}"
            )
            # If the caller disconnects or the deadline expires during the exchange, the request may
            # have run. It also may have run in an earlier attempt.
            may_have_run_before, attempts.may_have_run = attempts.may_have_run, True
            connect_ms = self.clock.now_ms() - started_ms
            dispatch_metadata = dispatch_metadata._replace(
                deadline_ms=dispatch_metadata.deadline_ms - connect_ms
            )
            outcome = await self._send_and_receive(
                exchange, pick_request, pick, dispatch_metadata, connection, attempts=attempts
            )
            attempts.may_have_run = (
                may_have_run_before or outcome.failure not in FAILURES_WITHOUT_RUN
            )
            reusable = outcome.failure in (
                None,
                AttemptFailure.NOT_RUN,
                AttemptFailure.SERVER_ERROR,
            )
            connection_in_use = (
                outcome.response is not None and outcome.response.remainder is not None
            )
            return outcome
        finally:
            if connection_in_use:
                attempts.unread_connection = connection
            elif reusable:
                await self.connection_pool.release(address, connection, self.clock.now_ms())
            else:
                await connection.aclose()

    def _is_still_usable(self, pick: Pick) -> bool:
        """Tell whether the server may still get requests, which can change while connecting."""
        routing_state = self.steering.routing_state
        current = routing_state.servers.get(pick.server.registration.id)
        return (
            current is pick.server
            and routing_state.is_usable(current)
            and not current.is_paused(self.clock.now_ms())
        )

    async def _send_and_receive(
        self,
        exchange: CallerExchange,
        pick_request: PickRequest,
        pick: Pick,
        dispatch_metadata: DispatchMetadata,
        connection: BackendConnection,
        *,
        attempts: RequestAttempts,
    ) -> AttemptOutcome:
        started_ms = self.clock.now_ms()
        response_timeout_s = self._response_timeout_s(pick_request, dispatch_metadata)
        deadline_s = anyio.current_time() + dispatch_metadata.deadline_ms / 1000
        try:
            with (
                anyio.fail_after(response_timeout_s) as hang_scope,
                self._track_hang_scope(hang_scope, deadline_s),
            ):
                await self._send_request(exchange, dispatch_metadata, connection)
                head, response_metadata = await self._receive_matching_head(exchange, connection)
                self._apply_response_metadata(pick, connection, response_metadata, started_ms)
                if response_metadata.not_run:
                    return await self._handle_not_run(pick, connection, response_metadata)
                response = await self._receive_response(exchange, connection, head, attempts)
        except BackendConnectionError as failure:
            if failure.reason == "connect" or not connection.request_started:
                return AttemptOutcome(failure=AttemptFailure.NOT_SENT)
            if connection.reused and not connection.response_parser.responses:
                self.connection_pool.record_stale_connection(
                    pick.server.registration.address, connection.idle_before_reuse_ms
                )
            reason = failure.reason
            if connection.reused:
                reason += f" on a connection that was idle for {connection.idle_before_reuse_ms} ms"
            self._record_broken(pick_request, pick, reason, started_ms)
            return AttemptOutcome(failure=AttemptFailure.BROKEN)
        except TimeoutError:
            attempts.silent_server = pick.server.registration.id
            attempts.silent_ms = self.clock.now_ms() - started_ms
            self._record_broken(pick_request, pick, "no response in time", started_ms)
            # The server may have dropped its idle connections too.
            await self.connection_pool.close_idle_to(pick.server.registration.address)
            return AttemptOutcome(failure=AttemptFailure.HUNG)
        if connection.reused:
            self.connection_pool.record_live_connection(pick.server.registration.address)
        return self._classify_response(pick_request, pick, response_metadata, response, started_ms)

    @contextmanager
    def _track_hang_scope(self, scope: anyio.CancelScope, deadline_s: float) -> Iterator[None]:
        self.hang_scopes[scope] = deadline_s
        try:
            yield
        finally:
            del self.hang_scopes[scope]

    def _classify_response(
        self,
        pick_request: PickRequest,
        pick: Pick,
        response_metadata: ResponseMetadata,
        response: BufferedResponse,
        started_ms: int,
    ) -> AttemptOutcome:
        now_ms = self.clock.now_ms()
        failed = response.status >= MIN_SERVER_ERROR_STATUS
        valid = response_metadata.signed and not any(
            name == b"content-encoding" for name, _ in response.headers
        )
        self.steering.record_response(
            pick_request,
            pick,
            failed=failed or not valid,
            latency_ms=now_ms - started_ms,
            now_ms=now_ms,
        )
        if not valid:
            logger.warning(
                "discarding response with status {} from backend server {}:"
                " it has no signature, or a content encoding",
                response.status,
                pick.server.registration.id,
            )
            return AttemptOutcome(failure=AttemptFailure.BROKEN)
        if failed:
            return AttemptOutcome(response, AttemptFailure.SERVER_ERROR)
        return AttemptOutcome(response)

    def _response_timeout_s(
        self, pick_request: PickRequest, dispatch_metadata: DispatchMetadata
    ) -> float:
        """Return how long to wait for a response.

        If a retry is possible, the timeout is short enough to leave time for it.
        """
        remaining_s = dispatch_metadata.deadline_ms / 1000
        if (
            self.stopping
            or not pick_request.route.kind.idempotent
            or pick_request.route.max_attempts <= len(pick_request.tried) + 1
        ):
            return remaining_s
        if not self.steering.retry_budget(pick_request.service).has_credit():
            return remaining_s
        latency_limit_ms = HANG_LATENCY_FACTOR * self.steering.expected_service_ms(
            pick_request.service
        )
        hang_timeout_ms = max(
            latency_limit_ms, HANG_OBJECTIVE_FACTOR * pick_request.route.objective_ms
        )
        # If too little time would remain for a retry, this attempt gets all of it.
        if dispatch_metadata.deadline_ms - hang_timeout_ms < pick_request.route.objective_ms:
            return remaining_s
        return hang_timeout_ms / 1000

    async def _send_request(
        self,
        exchange: CallerExchange,
        dispatch_metadata: DispatchMetadata,
        connection: BackendConnection,
    ) -> None:
        headers = self.codec.encode_request(exchange.headers, dispatch_metadata)
        body = None
        if exchange.body or not exchange.body_complete:
            body = exchange.stream_body()
        headers.extend(_body_headers(exchange))
        await connection.send_request(exchange.method, exchange.target, headers, body)

    async def _receive_matching_head(
        self, exchange: CallerExchange, connection: BackendConnection
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Return the head of the response to this request, discarding those to earlier requests."""
        for _ in range(MAX_STALE_RESPONSES + 1):
            head = await connection.receive_head()
            response_metadata = self.codec.decode_response(head.status, list(head.headers))
            if response_metadata.request_id == exchange.metadata.request_id:
                return head, response_metadata
            if not response_metadata.request_id and response_metadata.not_run:
                # On a reused connection it may be the repeated refusal of an earlier request.
                if not connection.reused:
                    return head, response_metadata
                raise BackendConnectionError("refusal without id")
            logger.warning(
                "discarding late response to earlier request {}",
                response_metadata.request_id.decode("latin-1"),
            )
            await connection.discard_response(MAX_DISCARDED_BODY_BYTES)
        raise BackendConnectionError("crossed")

    def _apply_response_metadata(
        self,
        pick: Pick,
        connection: BackendConnection,
        response_metadata: ResponseMetadata,
        sent_ms: int,
    ) -> None:
        if response_metadata.misdirected:
            # The response comes from another server than the one that was picked.
            return
        self.steering.record_notices(
            pick.server, response_metadata.notices, sent_ms, self.clock.now_ms()
        )
        if response_metadata.load is not None:
            running, waiting, _ = response_metadata.load
            pick.server.record_load_report(running, waiting, self.clock.now_ms())
        if response_metadata.idle_timeout_ms is not None:
            connection.max_idle_ms = max(
                0, response_metadata.idle_timeout_ms - IDLE_CLOSE_MARGIN_MS
            )

    async def _handle_not_run(
        self, pick: Pick, connection: BackendConnection, response_metadata: ResponseMetadata
    ) -> AttemptOutcome:
        await connection.discard_body(MAX_DISCARDED_BODY_BYTES)
        if response_metadata.misdirected:
            logger.info(
                "backend server {} is no longer at its address; ejecting it permanently",
                pick.server.registration.id,
            )
            pick.server.eject_replaced(self.clock.now_ms())
            return AttemptOutcome(failure=AttemptFailure.MISDIRECTED)
        return AttemptOutcome(failure=AttemptFailure.NOT_RUN)

    def _record_broken(
        self, pick_request: PickRequest, pick: Pick, reason: str, started_ms: int
    ) -> None:
        now_ms = self.clock.now_ms()
        logger.info(
            "request to backend server {} failed: {} after {} ms",
            pick.server.registration.id,
            reason,
            now_ms - started_ms,
        )
        self.steering.record_response(
            pick_request, pick, failed=True, latency_ms=now_ms - started_ms, now_ms=now_ms
        )

    async def _receive_response(
        self,
        exchange: CallerExchange,
        connection: BackendConnection,
        head: ResponseHead,
        attempts: RequestAttempts,
    ) -> BufferedResponse:
        chunks: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await connection.receive_chunk()
            if chunk is None:
                return self._make_response(exchange, head, b"".join(chunks))
            chunks.append(chunk)
            size += len(chunk)
            attempts.buffered_bytes += len(chunk)
            self.total_buffered_bytes += len(chunk)
            if self.total_buffered_bytes > MAX_TOTAL_BUFFERED_BYTES:
                break
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
    if exchange.body_complete and exchange.body_replayable:
        if exchange.body or exchange.method not in (b"GET", b"HEAD", b"OPTIONS"):
            return [(b"content-length", str(len(exchange.body)).encode())]
        return []
    for name, value in exchange.headers:
        if name == b"content-length":
            return [(name, value)]
    return [(b"transfer-encoding", b"chunked")]
