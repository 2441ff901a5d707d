"""The checks that a request must pass before it is dispatched.

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

ENCODED_KEY_PREFIX = API_KEY_PREFIX.encode()
BEARER_PREFIX = b"bearer "
TOKEN_WAIT_MS = 250
MAX_HEADERS = 100
UNIQUE_HEADERS = frozenset({b"content-length", b"host", b"authorization", b"transfer-encoding"})


class RequestFilters:
    """The filters of one VM, and the routing table that they use."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.routing_table = RoutingTable(coordinator.lease_state.configuration)

    def get_routing_table(self) -> RoutingTable:
        """Return the routing table of the current configuration; rebuild it after a change."""
        configuration = self.coordinator.lease_state.configuration
        if self.routing_table.configuration is not configuration:
            self.routing_table = RoutingTable(configuration)
        return self.routing_table

    def may_still_run(self, exchange: Exchange) -> bool:
        """Tell whether an admitted request may still run.

        While the request waits, the VM may lose its authority or the key may be withdrawn.
        """
        if exchange.key_grant is None:
            return True
        now_ms = self.coordinator.clock.now_ms()
        if not self.coordinator.lease_state.may_act(now_ms):
            return False
        return self.get_routing_table().is_grant_valid(exchange.key_grant)

    async def check(self, exchange: Exchange) -> Refusal | None:
        """Run all filters in order and return the first refusal."""
        for request_filter in (self.check_syntax, self.find_service, self.authenticate):
            refusal = request_filter(exchange)
            if refusal is not None:
                return refusal
        return await self.take_rate_token(exchange)

    def check_syntax(self, exchange: Exchange) -> Refusal | None:
        """Refuse ambiguous requests (request smuggling), and keys outside ``Authorization``."""
        seen: set[bytes] = set()
        for name, value in exchange.headers:
            if name in UNIQUE_HEADERS and name in seen:
                return Refusal(RefusalKind.MALFORMED)
            seen.add(name)
            if ENCODED_KEY_PREFIX in value and name != b"authorization":
                return Refusal(RefusalKind.KEY_IN_WRONG_PLACE)
        if len(exchange.headers) > MAX_HEADERS or {b"content-length", b"transfer-encoding"} <= seen:
            return Refusal(RefusalKind.MALFORMED)
        if ENCODED_KEY_PREFIX in exchange.target:
            return Refusal(RefusalKind.KEY_IN_WRONG_PLACE)
        return None

    def find_service(self, exchange: Exchange) -> Refusal | None:
        """Find the service for the path; refuse paths with ``..`` segments."""
        if "/../" in exchange.path or exchange.path.endswith("/.."):
            return Refusal(RefusalKind.MALFORMED)
        exchange.service = self.get_routing_table().find_service(exchange.path)
        return None if exchange.service is not None else Refusal(RefusalKind.UNKNOWN_SERVICE)

    def authenticate(self, exchange: Exchange) -> Refusal | None:
        """Look up the organisation of the API key; open routes need no key."""
        assert exchange.service is not None
        authorization = next(
            (value for name, value in exchange.headers if name == b"authorization"), None
        )
        if authorization is None:
            if is_open_path(exchange.service, exchange.path):
                return None
            return Refusal(RefusalKind.NO_KEY)
        if not self.coordinator.lease_state.may_act(self.coordinator.clock.now_ms()):
            return Refusal(RefusalKind.NO_AUTHORITY)
        if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
            return Refusal(RefusalKind.NO_KEY)
        key = authorization[len(BEARER_PREFIX) :].strip().decode("latin-1")
        exchange.key_grant = self.get_routing_table().find_grant(key)
        return None if exchange.key_grant is not None else Refusal(RefusalKind.UNKNOWN_KEY)

    async def take_rate_token(self, exchange: Exchange) -> Refusal | None:
        """Take a rate limit token of the organisation, waiting briefly for one if necessary."""
        if exchange.key_grant is None:
            return None
        assert exchange.service is not None
        rate_limiter = self.coordinator.node.rate_limiter
        bucket = rate_limiter.find(exchange.key_grant.organisation, exchange.service.name)
        if bucket is None:
            return Refusal(RefusalKind.NOT_ENTITLED)
        exchange.bucket = bucket
        now_ms = self.coordinator.clock.now_ms()
        bucket.record_arrival(now_ms)
        if rate_limiter.take_token(bucket, now_ms):
            return None
        queue_full = len(bucket.waiters) >= max_token_waiters(bucket)
        if queue_full or rate_limiter.is_wait_too_long(bucket, TOKEN_WAIT_MS, now_ms):
            return Refusal(RefusalKind.OVER_RATE)
        return await self._wait_and_recheck(exchange, bucket)

    async def _wait_and_recheck(self, exchange: Exchange, bucket: Bucket) -> Refusal | None:
        if not await self._wait_for_token(bucket):
            return Refusal(RefusalKind.OVER_RATE)
        if not self.may_still_run(exchange):
            bucket.return_token(self.coordinator.clock.now_ms())
            return self.make_revocation_refusal(exchange)
        return None

    def make_revocation_refusal(self, exchange: Exchange) -> Refusal:
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


def max_token_waiters(bucket: Bucket) -> int:
    """Return how many requests may wait for a token: as many as the bucket can serve in time."""
    return math.ceil(bucket.burst + bucket.rate * TOKEN_WAIT_MS / 1000)
