"""The ASGI application for callers: admits, dispatches, answers and logs each request."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.backends.connection import BackendConnectionError
from berylbankd._internal.ingress.attempts import (
    BufferedResponse,
    OutgoingRequest,
    RequestAttempts,
)
from berylbankd._internal.ingress.codec import HeaderCodec
from berylbankd._internal.ingress.dispatch import Dispatcher
from berylbankd._internal.ingress.exchange import CallerDisconnectedError, CallerExchange
from berylbankd._internal.ingress.intake import RequestIntake
from berylbankd._internal.ingress.race import AttemptRace
from berylbankd._internal.ingress.rate_limiter import RateLimiter
from berylbankd._internal.ingress.request_faults import RequestFaults
from berylbankd._internal.ingress.request_log import RequestLog, RequestRecord
from berylbankd._internal.ingress.stop_plan import StopPlan
from berylbankd._internal.models.types import Organisation, Route
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind
from berylbankd._internal.steering.picks import PickRequest
from berylbankd._internal.steering.steering import Steering
from berylbankd._internal.supervision import describe_error

# Subtracted from the caller's deadline in what servers are told, so that their response arrives
# before the caller gives up, and before this VM answers in their place.
SERVER_MARGIN_MS = 20
ANSWER_MARGIN_MS = 5
# Used if the caller sent no deadline, so that the route's timeout applies.
DEFAULT_CALLER_DEADLINE_MS = 3_600_000
STARTUP_RETRY_AFTER_S = 0.5
# Callers of a stopping VM may try another one at once.
STOPPING_RETRY_AFTER_S = 0.05
# Time that a stopping VM must have left for a request, as a multiple of what the slowest recent
# ones took.
SERVICE_TIME_MARGIN = 1.25
# Shorter responses leave the process at once, or fit into what a stop leaves for callers to read.
MIN_TRACKED_BYTES = 16_384
# A response is checked after this time, then after this share of the time that it has taken.
MIN_UNSENT_CHECK_MS = 20
UNSENT_CHECK_RATIO = 0.25
# With each long response, the longest recent delivery falls by this factor until one takes longer.
LONGEST_DELIVERY_DECAY = 0.99
# One caller that hardly reads must not keep a stopping VM from starting requests.
MAX_DELIVERY_MS = 1_500
# Scale of the retry delays after a refusal for lack of processor time.
OVERLOAD_RETRY_MS = 500


class AdmittedRequest(NamedTuple):
    """The route of an admitted request, and the regions it may run in (empty: any)."""

    route: Route
    regions: frozenset[str]


class CallerApp:
    """Serves callers' requests. ``stop_plan`` is set while the VM is stopping.

    ``deadline_scopes`` holds the cancel scope of each request that waits for its admission, its
    body or a server; cancelling it has the same effect as the deadline of that wait.
    ``longest_delivery_ms`` is how long the slowest recent caller took to read its response.
    """

    def __init__(
        self,
        steering: Steering,
        codec: HeaderCodec,
        clock: Clock,
        request_log: RequestLog,
        rate_limiter: RateLimiter,
    ) -> None:
        self.steering = steering
        self.rate_limiter = rate_limiter
        self.codec = codec
        self.clock = clock
        self.request_log = request_log
        self.dispatcher = Dispatcher(steering, codec, clock, request_log)
        self.request_faults = RequestFaults()
        self.intake = RequestIntake(clock)
        self.running_requests = 0
        self.deadline_scopes: set[anyio.CancelScope] = set()
        self.stop_plan: StopPlan | None = None
        self.longest_delivery_ms = 0.0

    def start_stopping(self, plan: StopPlan) -> None:
        """Start only requests that can still finish from now on."""
        self.stop_plan = plan

    def expire_deadlines(self) -> None:
        """End the wait of every request for admission or a server now, so that each is answered."""
        for deadline_scope in list(self.deadline_scopes):
            deadline_scope.cancel()

    @contextmanager
    def _end_with_stop(self, scope: anyio.CancelScope) -> Iterator[anyio.CancelScope]:
        """Enter a cancel scope that the end of a stop cancels."""
        with scope:
            self.deadline_scopes.add(scope)
            try:
                yield scope
            finally:
                self.deadline_scopes.discard(scope)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one connection event."""
        if scope["type"] != "http":
            return
        self.running_requests += 1
        try:
            await self._serve_request(scope, receive, send)
        finally:
            self.running_requests -= 1

    async def _serve_request(self, scope: Any, receive: Any, send: Any) -> None:
        now_ms = self.clock.now_ms()
        exchange = CallerExchange(scope, receive, send, self.codec, now_ms)
        attempts = RequestAttempts()
        try:
            await self._serve_exchange(exchange, attempts)
        except Exception as error:  # a fault in the code must not leave the caller without answer
            await self._answer_after_fault(exchange, attempts, error)
        finally:
            await self.dispatcher.finish(attempts)

    async def run(self) -> None:
        """Start requests that wait for processor time, until cancelled."""
        await self.intake.run()

    async def _serve_exchange(self, exchange: CallerExchange, attempts: RequestAttempts) -> None:
        admitted: AdmittedRequest | Refusal | None = None
        try:
            with self._end_with_stop(anyio.CancelScope()) as admission_scope:
                admitted = await self._admit_with_body(exchange)
        except CallerDisconnectedError:
            return
        if admission_scope.cancelled_caught:
            admitted = make_stop_refusal()
        if admitted is None:
            await self._end_without_caller(exchange, attempts)
        elif isinstance(admitted, Refusal):
            await self._send_result(exchange, attempts, admitted)
        else:
            await self._dispatch(exchange, admitted, attempts)

    async def _admit_with_body(self, exchange: CallerExchange) -> AdmittedRequest | Refusal | None:
        """Admit a request and receive its body; return None if its caller has gone.

        :raises CallerDisconnectedError: when the caller closes its connection during its body.
        """
        if self.stop_plan is not None and self.clock.now_ms() > self.stop_plan.last_start_ms:
            return make_stop_refusal()
        caller_deadline_ms = get_caller_deadline_ms(exchange)
        if not await self.intake.admit(
            exchange.arrived_ms, caller_deadline_ms, exchange.served_recently
        ):
            retry_after_s = self.steering.retry_delays.next_delay_ms(OVERLOAD_RETRY_MS) / 1000
            return Refusal(RefusalKind.VM_OVERLOADED, retry_after_s=retry_after_s)
        if not exchange.is_connected():
            return None
        admitted = await self._admit(exchange)
        if isinstance(admitted, Refusal):
            return admitted
        return await self._receive_body(exchange, admitted.route) or admitted

    async def _receive_body(self, exchange: CallerExchange, route: Route) -> Refusal | None:
        """Buffer a request's body until its deadline; return a refusal if it has not come by then.

        :raises CallerDisconnectedError: when the caller closes its connection.
        """
        if exchange.body_complete:
            return None
        remaining_ms = get_deadline_ms(exchange, route) - self.clock.now_ms()
        try:
            with anyio.fail_after(max(0, remaining_ms) / 1000):
                await exchange.buffer_body()
        except TimeoutError:
            return Refusal(RefusalKind.CALLER_TOO_SLOW)
        return None

    async def _answer_after_fault(
        self, exchange: CallerExchange, attempts: RequestAttempts, error: Exception
    ) -> None:
        """Answer and log a request whose handling raised an unexpected error.

        The caller is told that the request did not run only if nothing was sent.
        """
        self.request_faults.record_fault(self.clock.now_ms())
        self.request_log.count_fault()
        logger.bind(request_id=exchange.metadata.request_id.decode("latin-1")).error(
            "request could not be handled because of a fault of this VM: {}; {}",
            describe_error(error),
            "it may have run" if attempts.may_have_run else "it was not sent to a backend server",
        )
        if exchange.response_started:
            # The response is incomplete, which the caller must be able to see.
            raise error
        if attempts.may_have_run:
            refusal = Refusal(RefusalKind.VM_FAULT_AFTER_SEND, Ran.UNKNOWN)
        else:
            refusal = Refusal(RefusalKind.VM_FAULT, retry_after_s=STARTUP_RETRY_AFTER_S)
        await self._send_result(exchange, attempts, refusal)

    # Admission

    async def _admit(self, exchange: CallerExchange) -> AdmittedRequest | Refusal:
        if exchange.metadata.ambiguous:
            return Refusal(RefusalKind.MALFORMED)
        routing_state = self.steering.routing_state
        configuration = routing_state.configuration
        if configuration is None:
            return Refusal(RefusalKind.NO_CONFIGURATION, retry_after_s=STARTUP_RETRY_AFTER_S)
        route = routing_state.find_route(exchange.metadata.host, exchange.path)
        if route is None:
            return Refusal(RefusalKind.UNKNOWN_SERVICE)
        exchange.route = route
        if configuration.keys_required and not route.public:
            exchange.organisation = routing_state.organisations.get(exchange.metadata.key)
            if exchange.organisation is None:
                return Refusal(RefusalKind.UNKNOWN_KEY)
        return await self._check_limits(exchange, route)

    async def _check_limits(
        self, exchange: CallerExchange, route: Route
    ) -> AdmittedRequest | Refusal:
        """Check the request id, the allowed regions and the organisation's rate limit."""
        if not exchange.metadata.request_id:
            return Refusal(RefusalKind.MALFORMED)
        organisation = exchange.organisation
        regions = intersect_regions(route, organisation)
        if regions is None:
            return Refusal(RefusalKind.NO_BACKEND)
        if organisation is not None and not await self.rate_limiter.admit(organisation):
            return Refusal(RefusalKind.OVER_RATE)
        return AdmittedRequest(route, regions)

    # Dispatch

    async def _dispatch(
        self, exchange: CallerExchange, admitted: AdmittedRequest, attempts: RequestAttempts
    ) -> None:
        route = admitted.route
        service = self.steering.choose_service(route)
        self.steering.record_arrival(service)
        caller_wait_ms = get_caller_deadline_ms(exchange)
        deadline_ms = get_deadline_ms(exchange, route)
        server_wait_ms = min(caller_wait_ms - SERVER_MARGIN_MS, route.timeout_ms)
        if not self._can_finish(service, deadline_ms):
            await self._send_result(exchange, attempts, make_stop_refusal())
            return
        pick_request = PickRequest(
            route,
            service,
            exchange.metadata.object_key,
            admitted.regions,
            frozenset(),
            server_wait_ms,
        )
        server_deadline_ms = exchange.arrived_ms + server_wait_ms
        request = OutgoingRequest(exchange, pick_request, deadline_ms, server_deadline_ms, attempts)
        result = await AttemptRace(self.dispatcher, request).run(self.deadline_scopes)
        if result is None:
            await self._end_without_caller(exchange, attempts)
            return
        await self._send_result(exchange, attempts, result)

    def _can_finish(self, service: str, deadline_ms: int) -> bool:
        """Tell whether a request would end before a stopping VM ends what is still running."""
        if self.stop_plan is None:
            return True
        longest_ms = SERVICE_TIME_MARGIN * self.steering.longest_service_ms(service)
        longest_ms += self.longest_delivery_ms
        return self.stop_plan.may_start(self.clock.now_ms(), deadline_ms, longest_ms)

    async def _end_without_caller(
        self, exchange: CallerExchange, attempts: RequestAttempts
    ) -> None:
        self._log_request(exchange, attempts, 0, "caller_gone")
        await exchange.read_close()

    # Responses

    async def _send_result(
        self,
        exchange: CallerExchange,
        attempts: RequestAttempts,
        result: BufferedResponse | Refusal,
    ) -> None:
        exchange.close_connection = self.steering.leaving
        if isinstance(result, Refusal):
            await exchange.send_refusal(result)
            self._log_request(exchange, attempts, result.template.status, result.kind.value)
            return
        cause = "served"
        self.request_faults.record_success()
        if result.remainder is None:
            await exchange.start_response(result.status, result.headers)
            await exchange.send_chunk(result.body, last=True)
        else:
            cause = await self._relay_response(exchange, result, attempts)
        if len(result.body) > MIN_TRACKED_BYTES:
            await self._wait_until_sent(exchange)
        self._log_request(exchange, attempts, result.status, cause)

    async def _wait_until_sent(self, exchange: CallerExchange) -> None:
        """Wait until a long response has left this process, as its caller may read slowly."""
        started_ms = self.clock.now_ms()
        # The event loop sends what was written in its next pass.
        await anyio.sleep(0)
        delivery_ms = 0
        while exchange.count_unsent_bytes():
            delivery_ms = self.clock.now_ms() - started_ms
            wait_ms = max(MIN_UNSENT_CHECK_MS, delivery_ms * UNSENT_CHECK_RATIO)
            await anyio.sleep(wait_ms / 1000)
        longest_ms = self.longest_delivery_ms * LONGEST_DELIVERY_DECAY
        self.longest_delivery_ms = max(min(delivery_ms, MAX_DELIVERY_MS), longest_ms)

    async def _relay_response(
        self, exchange: CallerExchange, response: BufferedResponse, attempts: RequestAttempts
    ) -> str:
        """Relay a response that is too long to buffer, and return the cause for the request log.

        If the backend server's connection fails, or the body has not ended when the caller's
        deadline expires, the caller's response is left incomplete.
        """
        assert response.remainder is not None and exchange.route is not None
        cause = "caller_gone"
        wait_ms = exchange.metadata.deadline_ms or exchange.route.timeout_ms
        remaining_s = max(0, exchange.arrived_ms + wait_ms - self.clock.now_ms()) / 1000
        async with anyio.create_task_group() as group:

            async def cancel_on_disconnect() -> None:
                await exchange.wait_for_disconnect()
                group.cancel_scope.cancel()

            group.start_soon(cancel_on_disconnect)
            try:
                with anyio.move_on_after(remaining_s) as deadline_scope:
                    cause = await self._relay_chunks(exchange, response, attempts)
                if deadline_scope.cancelled_caught:
                    cause = "body_without_end"
            finally:
                await response.remainder.aclose()
            group.cancel_scope.cancel()
        return cause

    async def _relay_chunks(
        self, exchange: CallerExchange, response: BufferedResponse, attempts: RequestAttempts
    ) -> str:
        assert response.remainder is not None
        await exchange.start_response(response.status, response.headers)
        await exchange.send_chunk(response.body, last=False)
        self.dispatcher.free_buffer(attempts)
        while True:
            try:
                chunk = await response.remainder.receive_chunk()
            except BackendConnectionError:
                return "broke_off"
            if chunk is None:
                await exchange.send_chunk(b"", last=True)
                return "served"
            await exchange.send_chunk(chunk, last=False)

    def _log_request(
        self,
        exchange: CallerExchange,
        attempts: RequestAttempts,
        status: int,
        cause: str,
    ) -> None:
        routing_state = self.steering.routing_state
        organisation, route = exchange.organisation, exchange.route
        self.request_log.record(
            RequestRecord(
                request_id=exchange.metadata.request_id.decode("latin-1"),
                route=route.name if route is not None else "",
                kind=route.kind.value if route is not None else "",
                organisation=organisation.name if organisation is not None else "",
                object_key=exchange.metadata.object_key,
                servers=tuple(attempts.server_entries),
                status=status,
                cause=cause,
                failure=attempts.last_failure.value if attempts.last_failure is not None else "",
                duration_ms=self.clock.now_ms() - exchange.arrived_ms,
                configuration=(
                    routing_state.configuration.version if routing_state.configuration else 0
                ),
            )
        )


def make_stop_refusal() -> Refusal:
    """Return the refusal of a request that a stopping VM has not sent to any server."""
    return Refusal(RefusalKind.VM_STOPPING, retry_after_s=STOPPING_RETRY_AFTER_S)


def get_caller_deadline_ms(exchange: CallerExchange) -> int:
    """Return how long the caller waits for the response."""
    return exchange.metadata.deadline_ms or DEFAULT_CALLER_DEADLINE_MS


def get_deadline_ms(exchange: CallerExchange, route: Route) -> int:
    """Return when the caller's deadline or the route's timeout ends a request."""
    caller_wait_ms = get_caller_deadline_ms(exchange) - ANSWER_MARGIN_MS
    return exchange.arrived_ms + min(caller_wait_ms, route.timeout_ms)


def intersect_regions(route: Route, organisation: Organisation | None) -> frozenset[str] | None:
    """Return the regions that both the route and the organisation allow.

    An empty set means that every region is allowed, None that no region is.
    """
    if organisation is None or not organisation.regions:
        return route.regions
    if not route.regions:
        return organisation.regions
    return (route.regions & organisation.regions) or None
