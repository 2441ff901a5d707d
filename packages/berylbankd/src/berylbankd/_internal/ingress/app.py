"""The ASGI application for callers: filters, dispatch, answer, and one log line a request."""

from typing import Any, NamedTuple

import anyio

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.backends.connection import BackendFailure
from berylbankd._internal.ingress.codec import HeaderCodec
from berylbankd._internal.ingress.dispatch import Dispatcher, RequestState, WholeAnswer
from berylbankd._internal.ingress.exchange import CallerExchange, CallerGoneError
from berylbankd._internal.ingress.journal import RequestJournal, RequestRecord
from berylbankd._internal.ingress.rate_gate import RateGate
from berylbankd._internal.models.types import Organisation, Route
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind
from berylbankd._internal.steering.picks import PickRequest
from berylbankd._internal.steering.steering import Steering

# Time that the final answer needs to reach the caller before it stops waiting.
ANSWER_MARGIN_MS = 20
# A caller without a deadline of its own waits for the route's timeout.
NO_DEADLINE_MS = 3_600_000
FIRST_RETRY_S = 0.5


class Admitted(NamedTuple):
    """What the filters found out about a request."""

    route: Route
    regions: frozenset[str]


class CallerApp:
    """Serves callers."""

    def __init__(
        self,
        steering: Steering,
        codec: HeaderCodec,
        clock: Clock,
        journal: RequestJournal,
        rates: RateGate,
    ) -> None:
        self.steering = steering
        self.rates = rates
        self.codec = codec
        self.clock = clock
        self.journal = journal
        self.dispatcher = Dispatcher(steering, codec, clock)
        self.running = 0
        self.timers: set[anyio.CancelScope] = set()

    def end_all(self) -> None:
        """End what is still running, with the answer that is true by now."""
        for timer in list(self.timers):
            timer.cancel()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one connection event."""
        if scope["type"] != "http":
            return
        self.running += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.running -= 1

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        now_ms = self.clock.now_ms()
        exchange = CallerExchange(scope, receive, send, self.codec, now_ms)
        exchange.closing = self.steering.leaving
        state = RequestState()
        admitted = await self._admit(exchange)
        if isinstance(admitted, Refusal):
            await self._finish(exchange, state, admitted)
            return
        try:
            await exchange.read_body()
        except CallerGoneError:
            return
        except TimeoutError:
            refusal = Refusal(RefusalKind.CALLER_TOO_SLOW)
            await self._finish(exchange, state, refusal)
            return
        await self._run(exchange, admitted, state)

    # Filters

    async def _admit(self, exchange: CallerExchange) -> Admitted | Refusal:
        world = self.steering.routing_state
        configuration = world.configuration
        if configuration is None:
            return Refusal(RefusalKind.NO_CONFIGURATION, retry_after_s=FIRST_RETRY_S)
        route = world.find_route(exchange.request.host, exchange.path)
        if route is None:
            return Refusal(RefusalKind.UNKNOWN_SERVICE)
        exchange.route = route
        if configuration.keys_required and not route.public:
            exchange.organisation = world.organisations.get(exchange.request.key)
            if exchange.organisation is None:
                return Refusal(RefusalKind.UNKNOWN_KEY)
        return await self._admit_known(exchange, route)

    async def _admit_known(self, exchange: CallerExchange, route: Route) -> Admitted | Refusal:
        """Apply what the route and the organisation allow."""
        if not exchange.request.request_id:
            return Refusal(RefusalKind.MALFORMED)
        organisation = exchange.organisation
        regions = join_regions(route, organisation)
        if regions is None:
            return Refusal(RefusalKind.NO_BACKEND)
        if organisation is not None and not await self.rates.admit(organisation):
            return Refusal(RefusalKind.OVER_RATE)
        return Admitted(route, regions)

    # Dispatch

    async def _run(self, exchange: CallerExchange, admitted: Admitted, state: RequestState) -> None:
        route = admitted.route
        service = self.steering.choose_service(route)
        self.steering.record_arrival(service)
        wanted_ms = exchange.request.deadline_ms or NO_DEADLINE_MS
        patience_ms = min(wanted_ms - ANSWER_MARGIN_MS, route.timeout_ms)
        deadline_ms = exchange.arrived_ms + patience_ms
        ask = PickRequest(
            route,
            service,
            exchange.request.object_key,
            admitted.regions,
            frozenset(),
            patience_ms,
        )
        result = await self._run_watched(exchange, ask, deadline_ms, state)
        if result is not None:
            await self._finish(exchange, state, result)
        else:
            self._record(exchange, state, 0, "caller_gone")

    async def _run_watched(
        self, exchange: CallerExchange, ask: PickRequest, deadline_ms: int, state: RequestState
    ) -> WholeAnswer | Refusal | None:
        """Dispatch until the deadline, or until the caller leaves: then return None."""
        result: WholeAnswer | Refusal | None = None

        async def watch(scope: anyio.CancelScope) -> None:
            await exchange.wait_gone()
            scope.cancel()

        async with anyio.create_task_group() as group:
            if exchange.body_complete:
                group.start_soon(watch, group.cancel_scope)
            left_s = max(0, deadline_ms - self.clock.now_ms()) / 1000
            with anyio.move_on_after(left_s) as timer:
                self.timers.add(timer)
                try:
                    result = await self.dispatcher.run(exchange, ask, deadline_ms, state)
                except CallerGoneError:
                    group.cancel_scope.cancel()
                finally:
                    self.timers.discard(timer)
            if timer.cancelled_caught:
                result = refuse_late(state)
            group.cancel_scope.cancel()
        return result

    # Answers

    async def _finish(
        self,
        exchange: CallerExchange,
        state: RequestState,
        result: WholeAnswer | Refusal,
    ) -> None:
        if isinstance(result, Refusal):
            await exchange.refuse(result)
            self._record(exchange, state, result.text.status, result.kind.value)
            return
        cause = "served"
        if result.rest is None:
            await exchange.start_answer(result.status, result.headers)
            await exchange.send_part(result.body, last=True)
        else:
            cause = await self._relay(exchange, result)
        self._record(exchange, state, result.status, cause)

    async def _relay(self, exchange: CallerExchange, answer: WholeAnswer) -> str:
        """Pass on an answer that is too long to buffer; leave it incomplete if it breaks off."""
        assert answer.rest is not None
        cause = "caller_gone"
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                await exchange.wait_gone()
                group.cancel_scope.cancel()

            group.start_soon(watch)
            try:
                cause = await self._relay_parts(exchange, answer)
            finally:
                with anyio.CancelScope(shield=True):
                    await answer.rest.aclose()
            group.cancel_scope.cancel()
        return cause

    async def _relay_parts(self, exchange: CallerExchange, answer: WholeAnswer) -> str:
        assert answer.rest is not None
        await exchange.start_answer(answer.status, answer.headers)
        await exchange.send_part(answer.body, last=False)
        while True:
            try:
                part = await answer.rest.receive_chunk()
            except BackendFailure:
                return "broke_off"
            if part is None:
                await exchange.send_part(b"", last=True)
                return "served"
            await exchange.send_part(part, last=False)

    def _record(
        self,
        exchange: CallerExchange,
        state: RequestState,
        status: int,
        cause: str,
    ) -> None:
        world = self.steering.routing_state
        organisation, route = exchange.organisation, exchange.route
        self.journal.record(
            RequestRecord(
                request_id=exchange.request.request_id.decode("latin-1"),
                route=route.name if route is not None else "",
                kind=route.kind.value if route is not None else "",
                organisation=organisation.name if organisation is not None else "",
                object_key=exchange.request.object_key,
                servers=tuple(state.servers),
                status=status,
                cause=cause,
                failure=state.last.value if state.last is not None else "",
                duration_ms=self.clock.now_ms() - exchange.arrived_ms,
                configuration=world.configuration.version if world.configuration else 0,
            )
        )


def join_regions(route: Route, organisation: Organisation | None) -> frozenset[str] | None:
    """Return where a request may run, empty for anywhere, None for nowhere."""
    if organisation is None or not organisation.regions:
        return route.regions
    if not route.regions:
        return organisation.regions
    return (route.regions & organisation.regions) or None


def refuse_late(state: RequestState) -> Refusal | WholeAnswer:
    """Return the final answer of a request whose time is over."""
    if state.fallback is not None:
        return state.fallback
    if state.may_have_run:
        return Refusal(RefusalKind.DEADLINE, Ran.UNKNOWN)
    return Refusal(RefusalKind.NO_SLOT)
