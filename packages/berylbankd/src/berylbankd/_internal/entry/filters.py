"""The filters that a request passes before it is dispatched.

Each takes an exchange and returns None to let it pass, or a refusal with its reason.
"""

import math

import anyio

from berylbank._internal.utils.secrets import KEY_PREFIX
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.entry.routes import Routes, is_open
from berylbankd._internal.rates.bucket import Bucket, Waiter
from berylbankd._internal.refusals import Refusal, RefusalKind

KEY_MARK = KEY_PREFIX.encode()
BEARER = b"bearer "
TOKEN_WAIT_MS = 250
MAX_HEADERS = 100
UNIQUE_HEADERS = frozenset({b"content-length", b"host", b"authorization", b"transfer-encoding"})


class Filters:
    """The filters of one VM, in order."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.routes = Routes(coordinator.lease_state.configuration)

    def current_routes(self) -> Routes:
        """Return the tables of the configuration that is applied now."""
        configuration = self.coordinator.lease_state.configuration
        if self.routes.configuration is not configuration:
            self.routes = Routes(configuration)
        return self.routes

    def may_run(self, exchange: Exchange) -> bool:
        """Tell whether an admitted request may still run; asked after every wait."""
        if exchange.grant is None:
            return True
        now_ms = self.coordinator.clock.now_ms()
        if not self.coordinator.lease_state.may_act(now_ms):
            return False
        return self.current_routes().still_grants(exchange.grant)

    async def run(self, exchange: Exchange) -> Refusal | None:
        """Run all filters in order and return the first refusal."""
        for check in (self.check_form, self.find_route, self.authenticate):
            refusal = check(exchange)
            if refusal is not None:
                return refusal
        return await self.admit(exchange)

    def check_form(self, exchange: Exchange) -> Refusal | None:
        """Refuse requests that two readers could understand differently."""
        seen: set[bytes] = set()
        for name, value in exchange.headers:
            if name in UNIQUE_HEADERS and name in seen:
                return Refusal(RefusalKind.MALFORMED)
            seen.add(name)
            if KEY_MARK in value and name != b"authorization":
                return Refusal(RefusalKind.KEY_IN_WRONG_PLACE)
        if len(exchange.headers) > MAX_HEADERS or {b"content-length", b"transfer-encoding"} <= seen:
            return Refusal(RefusalKind.MALFORMED)
        if KEY_MARK in exchange.target:
            return Refusal(RefusalKind.KEY_IN_WRONG_PLACE)
        return None

    def find_route(self, exchange: Exchange) -> Refusal | None:
        """Find the service of the path."""
        if "/../" in exchange.path or exchange.path.endswith("/.."):
            return Refusal(RefusalKind.MALFORMED)
        exchange.service = self.current_routes().find_service(exchange.path)
        return None if exchange.service is not None else Refusal(RefusalKind.UNKNOWN_SERVICE)

    def authenticate(self, exchange: Exchange) -> Refusal | None:
        """Find the organisation of the key; open routes need none."""
        assert exchange.service is not None
        authorization = next((v for n, v in exchange.headers if n == b"authorization"), None)
        if authorization is None:
            if is_open(exchange.service, exchange.path):
                return None
            return Refusal(RefusalKind.NO_KEY)
        if not self.coordinator.lease_state.may_act(self.coordinator.clock.now_ms()):
            return Refusal(RefusalKind.NO_AUTHORITY)
        if authorization[: len(BEARER)].lower() != BEARER:
            return Refusal(RefusalKind.NO_KEY)
        key = authorization[len(BEARER) :].strip().decode("latin-1")
        exchange.grant = self.current_routes().find_grant(key)
        return None if exchange.grant is not None else Refusal(RefusalKind.UNKNOWN_KEY)

    async def admit(self, exchange: Exchange) -> Refusal | None:
        """Take a token of the organisation's rate, waiting a moment for one."""
        if exchange.grant is None:
            return None
        assert exchange.service is not None
        rates = self.coordinator.node.rates
        bucket = rates.find(exchange.grant.organisation, exchange.service.name)
        if bucket is None:
            return Refusal(RefusalKind.NOT_ENTITLED)
        exchange.bucket = bucket
        now_ms = self.coordinator.clock.now_ms()
        bucket.note_arrival(now_ms)
        if rates.take(bucket, now_ms):
            return None
        full = len(bucket.waiters) >= most_waiters(bucket)
        if full or rates.is_hopeless(bucket, TOKEN_WAIT_MS, now_ms):
            return Refusal(RefusalKind.OVER_RATE)
        return await self._admit_after_wait(exchange, bucket)

    async def _admit_after_wait(self, exchange: Exchange, bucket: Bucket) -> Refusal | None:
        if not await self._wait_for_token(bucket):
            return Refusal(RefusalKind.OVER_RATE)
        if not self.may_run(exchange):
            bucket.give_back(self.coordinator.clock.now_ms())
            return self.refuse_late(exchange)
        return None

    def refuse_late(self, exchange: Exchange) -> Refusal:
        """Return why a request that was admitted may not run any more."""
        now_ms = self.coordinator.clock.now_ms()
        if not self.coordinator.lease_state.may_act(now_ms):
            return Refusal(RefusalKind.NO_AUTHORITY)
        return Refusal(RefusalKind.KEY_WITHDRAWN)

    async def _wait_for_token(self, bucket: Bucket) -> bool:
        event = anyio.Event()
        waiter = Waiter(event.set)
        bucket.waiters.append(waiter)
        self.coordinator.request_loans()
        try:
            with anyio.move_on_after(TOKEN_WAIT_MS / 1000):
                await event.wait()
        finally:
            if not waiter.granted:
                bucket.waiters.remove(waiter)
        return waiter.granted


def most_waiters(bucket: Bucket) -> int:
    """Return how many requests may wait: no more than could ever get a token in time."""
    return math.ceil(bucket.burst + bucket.rate * TOKEN_WAIT_MS / 1000)
