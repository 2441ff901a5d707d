"""The checks that a request passes before it is dispatched.

Each filter takes an exchange and returns None to let the request pass, or a refusal.
"""

import math

import anyio

from berylbank._internal.utils.api_keys import API_KEY_PREFIX
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.entry.routes import RoutingTable, is_open_path
from berylbankd._internal.rates.bucket import Bucket, Waiter
from berylbankd._internal.refusals import Refusal, RefusalKind

KEY_PREFIX_BYTES = API_KEY_PREFIX.encode()
BEARER_PREFIX = b"bearer "
TOKEN_WAIT_MS = 250
MAX_HEADERS = 100
UNIQUE_HEADERS = frozenset({b"content-length", b"host", b"authorization", b"transfer-encoding"})


class Filters:
    """The filters of one VM."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.routes = RoutingTable(coordinator.lease_state.configuration)

    def current_routes(self) -> RoutingTable:
        """Return the routing table of the configuration that is applied now."""
        configuration = self.coordinator.lease_state.configuration
        if self.routes.configuration is not configuration:
            self.routes = RoutingTable(configuration)
        return self.routes

    def may_run(self, exchange: Exchange) -> bool:
        """Tell whether an admitted request may still run.

        The VM may lose its authority, or the key may be withdrawn, during any wait.
        """
        if exchange.grant is None:
            return True
        now_ms = self.coordinator.clock.now_ms()
        if not self.coordinator.lease_state.may_act(now_ms):
            return False
        return self.current_routes().still_grants(exchange.grant)

    async def run(self, exchange: Exchange) -> Refusal | None:
        """Run all filters in order and return the first refusal."""
        for check in (self.check_syntax, self.find_route, self.authenticate):
            refusal = check(exchange)
            if refusal is not None:
                return refusal
        return await self.take_rate_token(exchange)

    def check_syntax(self, exchange: Exchange) -> Refusal | None:
        """Refuse ambiguous requests (request smuggling), and keys outside their header."""
        seen: set[bytes] = set()
        for name, value in exchange.headers:
            if name in UNIQUE_HEADERS and name in seen:
                return Refusal(RefusalKind.MALFORMED)
            seen.add(name)
            if KEY_PREFIX_BYTES in value and name != b"authorization":
                return Refusal(RefusalKind.KEY_IN_WRONG_PLACE)
        if len(exchange.headers) > MAX_HEADERS or {b"content-length", b"transfer-encoding"} <= seen:
            return Refusal(RefusalKind.MALFORMED)
        if KEY_PREFIX_BYTES in exchange.target:
            return Refusal(RefusalKind.KEY_IN_WRONG_PLACE)
        return None

    def find_route(self, exchange: Exchange) -> Refusal | None:
        """Find the service for the path."""
        if "/../" in exchange.path or exchange.path.endswith("/.."):
            return Refusal(RefusalKind.MALFORMED)
        exchange.service = self.current_routes().find_service(exchange.path)
        return None if exchange.service is not None else Refusal(RefusalKind.UNKNOWN_SERVICE)

    def authenticate(self, exchange: Exchange) -> Refusal | None:
        """Look up the organisation of the API key; open routes need no key."""
        assert exchange.service is not None
        authorization = next((v for n, v in exchange.headers if n == b"authorization"), None)
        if authorization is None:
            if is_open_path(exchange.service, exchange.path):
                return None
            return Refusal(RefusalKind.NO_KEY)
        if not self.coordinator.lease_state.may_act(self.coordinator.clock.now_ms()):
            return Refusal(RefusalKind.NO_AUTHORITY)
        if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
            return Refusal(RefusalKind.NO_KEY)
        key = authorization[len(BEARER_PREFIX) :].strip().decode("latin-1")
        exchange.grant = self.current_routes().find_grant(key)
        return None if exchange.grant is not None else Refusal(RefusalKind.UNKNOWN_KEY)

    async def take_rate_token(self, exchange: Exchange) -> Refusal | None:
        """Take a rate limit token of the organisation, waiting briefly for one if necessary."""
        if exchange.grant is None:
            return None
        assert exchange.service is not None
        rates = self.coordinator.node.rate_limiter
        bucket = rates.find(exchange.grant.organisation, exchange.service.name)
        if bucket is None:
            return Refusal(RefusalKind.NOT_ENTITLED)
        exchange.bucket = bucket
        now_ms = self.coordinator.clock.now_ms()
        bucket.record_arrival(now_ms)
        if rates.take_token(bucket, now_ms):
            return None
        full = len(bucket.waiters) >= max_waiters(bucket)
        if full or rates.is_wait_too_long(bucket, TOKEN_WAIT_MS, now_ms):
            return Refusal(RefusalKind.OVER_RATE)
        return await self._wait_and_recheck(exchange, bucket)

    async def _wait_and_recheck(self, exchange: Exchange, bucket: Bucket) -> Refusal | None:
        if not await self._wait_for_token(bucket):
            return Refusal(RefusalKind.OVER_RATE)
        if not self.may_run(exchange):
            bucket.return_token(self.coordinator.clock.now_ms())
            return self.revocation_refusal(exchange)
        return None

    def revocation_refusal(self, exchange: Exchange) -> Refusal:
        """Return the refusal of a request that was admitted but may not run any more."""
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


def max_waiters(bucket: Bucket) -> int:
    """Return how many requests may wait: the most that can get a token before the timeout."""
    return math.ceil(bucket.burst + bucket.rate * TOKEN_WAIT_MS / 1000)
