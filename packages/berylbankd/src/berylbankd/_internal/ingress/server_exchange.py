"""Makes one attempt of a request: sends it to a backend server and receives the response.

Responses of up to ``MAX_BUFFERED_RESPONSE_BYTES`` are received completely before any byte is sent
to the caller, so that another attempt can still replace an incomplete response.
"""

import math
from collections.abc import Callable
from http import HTTPStatus

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
from berylbankd._internal.ingress.attempts import (
    FAILURES_WITHOUT_RUN,
    Attempt,
    AttemptFailure,
    BufferedResponse,
    OutgoingRequest,
)
from berylbankd._internal.ingress.codec import (
    DispatchMetadata,
    HeaderCodec,
    HeaderList,
    ResponseMetadata,
)
from berylbankd._internal.ingress.exchange import CallerDisconnectedError, CallerExchange
from berylbankd._internal.steering.picks import Pick, PickRequest
from berylbankd._internal.steering.steering import Steering

# Longer responses are relayed while they arrive, and can't be replaced by another attempt.
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
MIN_SERVER_ERROR_STATUS = 500
# A server's timeout this long before the deadline that it was told counts as one at the deadline.
DEADLINE_TOLERANCE_MS = 10
# The attempt fails after this much of late responses to earlier requests on the same connection; a
# faulty server may send them without end.
MAX_STALE_BYTES = 131_072
# Shortest status line of a response, which may have no headers and no body.
STATUS_LINE_BYTES = 17
REUSABLE_FAILURES = frozenset({None, AttemptFailure.NOT_RUN, AttemptFailure.SERVER_ERROR})


class ServerExchange:
    """Makes attempts of requests; ``total_buffered_bytes`` counts the responses in memory."""

    def __init__(self, steering: Steering, codec: HeaderCodec, clock: Clock) -> None:
        self.steering = steering
        self.codec = codec
        self.clock = clock
        self.connection_pool = ConnectionPool()
        self.total_buffered_bytes = 0

    async def run(
        self,
        request: OutgoingRequest,
        attempt: Attempt,
        notify: Callable[[Attempt], None],
    ) -> None:
        """Send a request to the server of an attempt, and set the attempt's response or failure.

        ``notify`` is called when the wait for the server begins, and when it becomes doubtful
        whether the server will answer.

        :raises CallerDisconnectedError: when the caller closes its connection during its body, or
            has closed it before the request is sent.
        """
        try:
            await self._connect_and_exchange(request, attempt, notify)
        finally:
            self.record_end(attempt)

    def record_end(self, attempt: Attempt) -> None:
        """Count an attempt as ended, once; its task may have been cancelled before it started."""
        if not attempt.ended:
            attempt.ended = True
            self.steering.record_end(attempt.pick)

    def is_key_valid(self, exchange: CallerExchange) -> bool:
        """Tell whether the key still belongs to the admitted organisation.

        It may have been withdrawn while the request waited for a token or during earlier attempts.
        """
        admitted_organisation = exchange.organisation
        if admitted_organisation is None:
            return True
        owner = self.steering.routing_state.organisations.get(exchange.metadata.key)
        return owner is not None and owner.name == admitted_organisation.name

    def free_buffer(self, attempt: Attempt) -> None:
        """Stop counting the response of an attempt, as it has been sent or dropped."""
        self.total_buffered_bytes -= attempt.buffered_bytes
        attempt.buffered_bytes = 0

    async def drop_response(self, attempt: Attempt) -> None:
        """Free what an attempt's response still holds."""
        self.free_buffer(attempt)
        if attempt.response is not None and attempt.response.remainder is not None:
            await attempt.response.remainder.aclose()

    async def record_silence(self, pick_request: PickRequest, attempt: Attempt) -> None:
        """Record that the server of a pending attempt is silent; call it once for an attempt."""
        attempt.silence_recorded = True
        now_ms = self.clock.now_ms()
        silent_ms = int((anyio.current_time() - attempt.progress_s) * 1000)
        self.steering.record_response(
            pick_request, attempt.pick, failed=True, latency_ms=silent_ms, now_ms=now_ms
        )
        # The server may have dropped its idle connections too.
        await self.connection_pool.close_idle_to(attempt.pick.server.registration.address)

    def record_unanswered(self, pick_request: PickRequest, attempt: Attempt) -> None:
        """Record that a request ended while its server had it, unless silence was recorded."""
        if attempt.silence_recorded or math.isinf(attempt.progress_s):
            return
        self.steering.record_unanswered(
            pick_request,
            attempt.pick,
            waited_ms=(anyio.current_time() - attempt.progress_s) * 1000,
            now_ms=self.clock.now_ms(),
        )

    async def _connect_and_exchange(
        self,
        request: OutgoingRequest,
        attempt: Attempt,
        notify: Callable[[Attempt], None],
    ) -> None:
        pick, exchange = attempt.pick, request.exchange
        address, started_ms = pick.server.registration.address, self.clock.now_ms()
        idempotent = request.pick_request.route.kind.idempotent
        try:
            connection = await self.connection_pool.acquire(
                address,
                started_ms,
                force_new=False,
                max_idle_ms=IDEMPOTENT_MAX_IDLE_MS if idempotent else UNSAFE_MAX_IDLE_MS,
                timeout_s=CONNECT_TIMEOUT_S,
            )
        except BackendConnectionError as failure:
            logger.info(
                "cannot connect to backend server {}: {}",
                pick.server.registration.id,
                failure.reason,
            )
            self.steering.record_unreachable(pick, self.clock.now_ms())
            attempt.failure = AttemptFailure.NOT_SENT
            return
        if connection.request_count == 0:
            self.steering.record_connected(pick, connection.connect_ms)
        reusable = False
        try:
            if not self._is_still_usable(pick) or not self.is_key_valid(exchange):
                # The connection carried nothing; the next attempt checks the key again.
                reusable = True
                attempt.failure = AttemptFailure.NOT_SENT
                return
            if not exchange.is_connected():
                reusable = True
                raise CallerDisconnectedError
            request.attempts.server_entries.append(
                f"{pick.server.registration.id} rank {pick.rank} load {pick.load}"
            )
            # If the attempt is ended from outside, the request may have run.
            attempt.may_have_run = True
            await self._send_and_receive(request, attempt, connection, notify)
            attempt.may_have_run = attempt.failure not in FAILURES_WITHOUT_RUN
            reusable = attempt.failure in REUSABLE_FAILURES
        finally:
            if reusable and not attempt.has_remainder:
                await self.connection_pool.release(address, connection, self.clock.now_ms())
            elif not attempt.has_remainder:
                await connection.aclose()

    def _is_still_usable(self, pick: Pick) -> bool:
        """Tell whether the server may still get requests, which can change while connecting."""
        routing_state = self.steering.routing_state
        routing_state.remove_missing_servers(self.clock.now_ms())
        current = routing_state.servers.get(pick.server.registration.id)
        return (
            current is pick.server
            and routing_state.is_usable(current)
            and not current.is_paused(self.clock.now_ms())
        )

    async def _send_and_receive(
        self,
        request: OutgoingRequest,
        attempt: Attempt,
        connection: BackendConnection,
        notify: Callable[[Attempt], None],
    ) -> None:
        """Set the attempt's response or failure, without any wait after the last byte was read."""
        exchange, pick, started_ms = request.exchange, attempt.pick, self.clock.now_ms()
        try:
            await self._send_request(request, attempt, connection, notify)
            head, response_metadata = await self._receive_matching_head(
                request, attempt, connection, notify
            )
            attempt.progress_s, attempt.doubtful = anyio.current_time(), False
            self._apply_response_metadata(pick, connection, response_metadata, started_ms)
            if response_metadata.not_run:
                attempt.failure = await self._handle_not_run(pick, connection, response_metadata)
                return
            response = await self._receive_response(exchange, connection, head, attempt)
        except BackendConnectionError as failure:
            if failure.reason == "connect" or not connection.request_started:
                attempt.failure = AttemptFailure.NOT_SENT
                return
            if connection.reused and not connection.response_parser.responses:
                self.connection_pool.record_stale_connection(
                    pick.server.registration.address, connection.idle_before_reuse_ms
                )
            reason = failure.reason
            if connection.reused:
                reason += f" on a connection that was idle for {connection.idle_before_reuse_ms} ms"
            attempt.failure = AttemptFailure.BROKEN
            self._record_broken(request.pick_request, attempt, reason, started_ms)
            return
        except TimeoutError:
            # The caller stopped sending its body, which is not the server's fault.
            attempt.failure = AttemptFailure.BROKEN
            return
        if connection.reused:
            self.connection_pool.record_live_connection(pick.server.registration.address)
        self._classify_response(request, attempt, response_metadata, response, started_ms)

    def _classify_response(
        self,
        request: OutgoingRequest,
        attempt: Attempt,
        response_metadata: ResponseMetadata,
        response: BufferedResponse,
        started_ms: int,
    ) -> None:
        server_id = attempt.pick.server.registration.id
        failed = response.status >= MIN_SERVER_ERROR_STATUS
        valid = response_metadata.signed and not any(
            name == b"content-encoding" for name, _ in response.headers
        )
        remaining_ms = request.server_deadline_ms - self.clock.now_ms()
        self._record_response(
            request.pick_request,
            attempt,
            failed=failed or not valid,
            started_ms=started_ms,
            timed_out=response.status == HTTPStatus.GATEWAY_TIMEOUT
            and remaining_ms <= DEADLINE_TOLERANCE_MS,
        )
        if not valid:
            logger.warning(
                "discarding response with status {} from backend server {}:"
                " it has no signature, or a content encoding",
                response.status,
                server_id,
            )
            attempt.failure = AttemptFailure.BROKEN
            return
        attempt.response = response
        if failed:
            attempt.failure = AttemptFailure.SERVER_ERROR

    def _record_broken(
        self, pick_request: PickRequest, attempt: Attempt, reason: str, started_ms: int
    ) -> None:
        logger.info(
            "request to backend server {} failed: {} after {} ms",
            attempt.pick.server.registration.id,
            reason,
            self.clock.now_ms() - started_ms,
        )
        self._record_response(pick_request, attempt, failed=True, started_ms=started_ms)

    def _record_response(
        self,
        pick_request: PickRequest,
        attempt: Attempt,
        *,
        failed: bool,
        started_ms: int,
        timed_out: bool = False,
    ) -> None:
        """Record the end of an attempt, whose silence may have been recorded as a failure."""
        latency_ms = self.clock.now_ms() - started_ms
        if attempt.silence_recorded:
            # The silence was evidence of its own; a late success only shows that the server works.
            if not failed:
                attempt.pick.server.record_success(latency_ms)
            return
        self.steering.record_response(
            pick_request,
            attempt.pick,
            failed=failed,
            latency_ms=latency_ms,
            now_ms=self.clock.now_ms(),
            timed_out=timed_out,
        )

    async def _send_request(
        self,
        request: OutgoingRequest,
        attempt: Attempt,
        connection: BackendConnection,
        notify: Callable[[Attempt], None],
    ) -> None:
        exchange = request.exchange
        organisation = exchange.organisation.name if exchange.organisation else None
        headers = self.codec.encode_request(
            exchange.headers,
            DispatchMetadata(
                attempt.pick.server.registration.id,
                request.server_deadline_ms - self.clock.now_ms(),
                organisation,
            ),
        )
        body = None
        if exchange.body or not exchange.body_complete:
            body = exchange.stream_body()
        headers.extend(_body_headers(exchange))
        # While the caller still sends its body, the server need not send anything.
        body_known = exchange.body_complete
        if body_known:
            attempt.progress_s = anyio.current_time()
            notify(attempt)

        def record_send() -> None:
            attempt.pick.server.last_sent_ms = self.clock.now_ms()

        await connection.send_request(
            exchange.method, exchange.target, headers, body, on_send=record_send
        )
        if not body_known:
            attempt.progress_s = anyio.current_time()
            notify(attempt)

    async def _receive_matching_head(
        self,
        request: OutgoingRequest,
        attempt: Attempt,
        connection: BackendConnection,
        notify: Callable[[Attempt], None],
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Return the head of the response to this request, discarding those to earlier requests."""
        request_id = request.exchange.metadata.request_id
        stale_bytes = 0
        while True:
            head = await connection.receive_head()
            response_metadata = self.codec.decode_response(head.status, list(head.headers))
            if response_metadata.request_id == request_id:
                return head, response_metadata
            if not response_metadata.request_id and response_metadata.not_run:
                if not connection.reused:
                    return head, response_metadata
                # It may be the repeated refusal of an earlier request, or the one of this request.
                attempt.doubtful = True
                notify(attempt)
            if not stale_bytes:
                logger.warning(
                    "discarding late response of backend server {} to earlier request {}",
                    attempt.pick.server.registration.id,
                    response_metadata.request_id.decode("latin-1") or "without an id",
                )
            stale_bytes += STATUS_LINE_BYTES
            stale_bytes += sum(len(name) + len(value) for name, value in head.headers)
            stale_bytes += await _discard_response(connection, MAX_STALE_BYTES - stale_bytes)

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
    ) -> AttemptFailure:
        await connection.discard_body(MAX_DISCARDED_BODY_BYTES)
        if response_metadata.misdirected:
            logger.info(
                "backend server {} is no longer at its address; ejecting it permanently",
                pick.server.registration.id,
            )
            pick.server.eject_replaced(self.clock.now_ms())
            return AttemptFailure.MISDIRECTED
        return AttemptFailure.NOT_RUN

    async def _receive_response(
        self,
        exchange: CallerExchange,
        connection: BackendConnection,
        head: ResponseHead,
        attempt: Attempt,
    ) -> BufferedResponse:
        chunks: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await connection.receive_chunk()
            if chunk is None:
                return self._make_response(exchange, head, b"".join(chunks))
            attempt.progress_s = anyio.current_time()
            chunks.append(chunk)
            size += len(chunk)
            attempt.buffered_bytes += len(chunk)
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


async def _discard_response(connection: BackendConnection, max_bytes: int) -> int:
    """Read and discard a response to an earlier request, and return the size of its body.

    :raises BackendConnectionError: when it has more than ``max_bytes``, or the server closes the
        connection after it.
    """
    size = 0
    while (chunk := await connection.receive_chunk()) is not None:
        size += len(chunk)
        if size > max_bytes:
            break
    if size > max_bytes or max_bytes < 0:
        raise BackendConnectionError("crossed")
    await connection.discard_response(0)
    return size


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
