"""Chooses backend servers for the attempts of a request, and the result if none succeeds.

A request that is not idempotent is retried on another server only if no byte of it was sent or if
the first server states that it did not run the request.
"""

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.ingress.attempts import (
    Attempt,
    AttemptFailure,
    BufferedResponse,
    OutgoingRequest,
    RequestAttempts,
    RetryDenial,
)
from berylbankd._internal.ingress.codec import HeaderCodec
from berylbankd._internal.ingress.request_log import RequestLog
from berylbankd._internal.ingress.server_exchange import ServerExchange
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind
from berylbankd._internal.steering.picks import Pick
from berylbankd._internal.steering.steering import Steering

# A server counts as silent when it has sent nothing for both this multiple of the expected latency
# and this multiple of the route's latency objective.
HANG_LATENCY_FACTOR = 6.0
HANG_OBJECTIVE_FACTOR = 2.5
# A retry is made only while at least this fraction of the route's latency objective remains.
MIN_RETRY_TIME_FRACTION = 0.1


class Dispatcher:
    """Chooses servers for requests; ``server_exchange`` makes the attempts."""

    def __init__(
        self, steering: Steering, codec: HeaderCodec, clock: Clock, request_log: RequestLog
    ) -> None:
        self.steering = steering
        self.clock = clock
        self.request_log = request_log
        self.server_exchange = ServerExchange(steering, codec, clock)

    @property
    def connection_pool(self) -> ConnectionPool:
        """The connections to backend servers."""
        return self.server_exchange.connection_pool

    @property
    def total_buffered_bytes(self) -> int:
        """The size of all responses that are kept in memory."""
        return self.server_exchange.total_buffered_bytes

    def choose_server(self, request: OutgoingRequest, failed: Attempt | None) -> Pick | RetryDenial:
        """Choose the server of the next attempt, and spend retry credit for it.

        ``failed`` is the attempt that it follows, None for a first one or one beside others.
        """
        pick_request, attempts = request.pick_request, request.attempts
        if not self.server_exchange.is_key_valid(request.exchange):
            return RetryDenial.KEY_WITHDRAWN
        retry_budget = self.steering.retry_budget(pick_request.service)
        remaining_ms = request.server_deadline_ms - self.clock.now_ms()
        costs_credit = bool(attempts.started) and (
            failed is None or failed.failure is not AttemptFailure.NOT_SENT
        )
        if attempts.started:
            denial = self._find_denial(request, remaining_ms)
            if denial is not None:
                return denial
            if costs_credit and not retry_budget.has_credit():
                return RetryDenial.NO_CREDIT
        pick = self.steering.pick(
            pick_request._replace(tried=attempts.tried_server_ids, remaining_ms=remaining_ms),
            self.clock.now_ms(),
        )
        if pick is None:
            return RetryDenial.NO_SERVER
        if costs_credit:
            retry_budget.take()
        return pick

    def _find_denial(self, request: OutgoingRequest, remaining_ms: int) -> RetryDenial | None:
        """Return why a request must not be sent again at all."""
        route, attempts = request.pick_request.route, request.attempts
        if attempts.may_have_run and not route.kind.idempotent:
            return RetryDenial.MAY_HAVE_RUN
        if len(attempts.started) >= route.max_attempts:
            return RetryDenial.ATTEMPTS_USED
        if not request.exchange.body_replayable:
            return RetryDenial.BODY_NOT_KEPT
        if remaining_ms < route.objective_ms * MIN_RETRY_TIME_FRACTION:
            return RetryDenial.NO_TIME
        return None

    def make_attempt(self, request: OutgoingRequest, pick: Pick) -> Attempt:
        """Add an attempt at a chosen server to those of a request, which the server counts."""
        route, started = request.pick_request.route, request.attempts.started
        silence_ms = max(
            HANG_LATENCY_FACTOR * self.steering.expected_service_ms(request.pick_request.service),
            HANG_OBJECTIVE_FACTOR * route.objective_ms,
        )
        remaining_ms = request.server_deadline_ms - self.clock.now_ms()
        attempt = Attempt(
            pick,
            silence_ms / 1000,
            retried_on_silence=route.kind.idempotent and len(started) + 1 < route.max_attempts
            # If too little time would remain for another attempt, this one gets all of it.
            and remaining_ms - silence_ms >= route.objective_ms,
        )
        started.append(attempt)
        self.steering.record_dispatch(pick)
        return attempt

    def make_final_result(self, request: OutgoingRequest) -> BufferedResponse | Refusal:
        """Return the response or the refusal for a request of which every attempt has failed."""
        attempts = request.attempts
        if attempts.server_error_response is not None:
            return attempts.server_error_response
        if attempts.may_have_run:
            return Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN)
        if not self.server_exchange.is_key_valid(request.exchange):
            return Refusal(RefusalKind.KEY_WITHDRAWN)
        kind = (
            RefusalKind.NO_BACKEND
            if attempts.last_failure is AttemptFailure.NOT_SENT
            else RefusalKind.NO_SLOT
        )
        retry_after_s = self.steering.retry_after_s(
            request.pick_request.service, self.clock.now_ms()
        )
        return Refusal(kind, retry_after_s=retry_after_s)

    def free_buffer(self, attempts: RequestAttempts) -> None:
        """Stop counting the buffered responses of a request, as they have been sent or dropped."""
        for attempt in attempts.started:
            self.server_exchange.free_buffer(attempt)

    async def finish(self, attempts: RequestAttempts) -> None:
        """Free what the attempts of a request still hold when it has been answered or given up."""
        for attempt in attempts.started:
            await self.server_exchange.drop_response(attempt)

    async def drop_responses_except(
        self, attempts: RequestAttempts, kept: BufferedResponse | Refusal | None
    ) -> None:
        """Free what all responses but one of a request hold."""
        for attempt in attempts.started:
            if attempt.response is None or attempt.response is not kept:
                await self.server_exchange.drop_response(attempt)

    async def drop_long_server_errors(self, attempts: RequestAttempts) -> None:
        """Drop server errors that were too long to buffer, before the request is sent again."""
        for attempt in attempts.started:
            if attempt.failure is AttemptFailure.SERVER_ERROR and attempt.has_remainder:
                await self.server_exchange.drop_response(attempt)
                attempt.response = None


def make_result_after_deadline(attempts: RequestAttempts) -> Refusal | BufferedResponse:
    """Return the response or the refusal for a request whose deadline has expired."""
    if attempts.server_error_response is not None:
        return attempts.server_error_response
    if attempts.may_have_run:
        return Refusal(RefusalKind.DEADLINE, Ran.UNKNOWN)
    return Refusal(RefusalKind.NO_SLOT)
