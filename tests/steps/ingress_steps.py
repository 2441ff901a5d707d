"""Steps on the connection pool, the rate limiter and the ASGI application for callers."""

import socket

import anyio
from behave import given, then, when

from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.backends.connection import BackendConnectionError
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.ingress.app import CallerApp
from berylbankd._internal.ingress.rate_limiter import RateLimiter
from berylbankd._internal.models.types import CallerLimits, Configuration, Organisation, Service
from berylbankd._internal.peers.messages import TokenGrant
from berylbankd._internal.platform.headers import PlatformHeaderCodec
from berylbankd._internal.steering.steering import Steering
from tests.steps.steering_steps import ROUTE
from tests.support.steering import ROW_CODEC, make_deployment, server_row

NOW_MS = 10_000
# Nothing listens on this port, so that opening a connection fails.
ADDRESS = "127.0.0.1:1"
KEY = "key-of-alder"
KEY_OWNERS = {"is withdrawn": None, "is given to another organisation": "birch"}


class NullRequestLog:
    """Discards every record."""

    def record(self, record):
        pass


class KeyChangingRateLimiter:
    """Changes the owner of the key, then admits the request."""

    def __init__(self, steering, owner):
        self.steering = steering
        self.owner = owner

    async def admit(self, organisation):
        install_keys(self.steering, self.owner)
        return True


def install_keys(steering, owner):
    """Apply a configuration in which ``owner`` has the key; None if no organisation has it."""
    organisations = tuple(
        Organisation(name, (KEY,) if name == owner else (), 0, 100.0, 100.0, frozenset())
        for name in ("alder", "birch")
    )
    routing_state = steering.routing_state
    service = Service("desk", "", 100, 0, 0.0)
    routing_state.configuration = Configuration(
        1, (ROUTE,), {"desk": service}, organisations, True, CallerLimits()
    )
    routing_state.routes = {ROUTE.host: [ROUTE]}
    routing_state.organisations = {
        key: organisation for organisation in organisations for key in organisation.keys
    }


class ScriptedChannel:
    """Replies to token requests with a fixed reply for each host."""

    def __init__(self, replies):
        self.replies = replies
        self.asked = []

    async def ask_tokens(self, host, request, timeout_s):
        self.asked.append(host)
        return self.replies[host]


@given("a VM that asks two owners for tokens")
def step_owners(context):
    context.steering = Steering(make_deployment("vm-0", "a"), ROW_CODEC, 1, 0)
    context.steering.quotas.owners = lambda name: ["vm-1", "vm-2"]
    context.steering.host_of = {"vm-1": "first", "vm-2": "second"}.get


@when("the first owner {behaviour} and the second one grants a token")
def step_first_owner(context, behaviour):
    unknown = TokenGrant(0, 0, known=False)
    replies = {"does not know the organisation": unknown, "does not reply": None}
    channel = ScriptedChannel({"first": replies[behaviour], "second": TokenGrant(0, 1)})
    rate_limiter = RateLimiter(context.steering, channel, BootClock())
    organisation = Organisation("alder", (), 0, 100.0, 100.0, frozenset())
    context.admitted = [anyio.run(rate_limiter.admit, organisation)]
    context.asked_first, channel.asked = channel.asked, []
    context.admitted.append(anyio.run(rate_limiter.admit, organisation))
    context.asked_next = channel.asked


@then("the request is admitted, and the first owner is {word} for the next one")
def step_admitted_both(context, word):
    assert context.admitted == [True, True]
    assert "first" in context.asked_first
    assert ("first" in context.asked_next) == (word == "asked again"), context.asked_next


class FakeIdleConnection:
    """An idle connection that the server has not closed."""

    def __init__(self, idle_ms):
        self.sockets = socket.socketpair()
        self.file_descriptor = self.sockets[0].fileno()
        self.opened_ms = 0
        self.idle_since_ms = NOW_MS - idle_ms
        self.max_idle_ms = None

    async def aclose(self):
        for end in self.sockets:
            end.close()


def is_reused(context, idle_ms):
    """Tell whether the pool returns the idle connection rather than a new one."""
    connection = FakeIdleConnection(idle_ms)
    context.pool.idle[ADDRESS] = [connection]

    async def acquire():
        try:
            return await context.pool.acquire(ADDRESS, NOW_MS, force_new=False, max_idle_ms=8_000)
        except BackendConnectionError:
            return None

    reused = anyio.run(acquire) is connection
    anyio.run(connection.aclose)
    return reused


@given("a pool with a connection that has been idle for {ms:d} ms")
def step_pool(context, ms):
    context.pool = ConnectionPool()
    context.idle_ms = ms


@then("it is reused")
def step_pool_reuses(context):
    assert is_reused(context, context.idle_ms)


@when("a connection turned out to be stale after {ms:d} ms of idling")
def step_stale(context, ms):
    context.pool.record_stale_connection(ADDRESS, ms)


@when("{count:d} connections turned out to be live after idling")
def step_live(context, count):
    for _ in range(count):
        context.pool.record_live_connection(ADDRESS)


@then("a connection that has been idle for {ms:d} ms is not reused")
def step_not_reused(context, ms):
    assert not is_reused(context, ms)


@then("a connection that has been idle for {ms:d} ms is reused")
def step_reused(context, ms):
    assert is_reused(context, ms)


@given("a VM on which organisation alder owns the key of a request")
def step_vm(context):
    context.steering = Steering(make_deployment("vm-0", "a"), ROW_CODEC, 1, 0)
    context.steering.routing_state.apply_row(server_row("s0", 1, address="127.0.0.1:1"), 0)
    install_keys(context.steering, "alder")
    context.steering.tick(250, 250)


@when("the key {change} while the request waits for a token")
def step_change(context, change):
    steering, context.sent = context.steering, []
    rate_limiter = KeyChangingRateLimiter(steering, KEY_OWNERS[change])
    app = CallerApp(steering, PlatformHeaderCodec(), BootClock(), NullRequestLog(), rate_limiter)
    context.picked = []
    pick = steering.pick
    steering.pick = lambda request, now_ms: context.picked.append(request) or pick(request, now_ms)
    headers = [(b"host", b"a.example"), (b"x-key", KEY.encode()), (b"x-request-id", b"r1")]
    scope = {
        "type": "http",
        "method": "GET",
        "raw_path": b"/x",
        "query_string": b"",
        "headers": [*headers, (b"x-deadline-ms", b"500")],
    }

    async def send(event):
        context.sent.append(event)

    anyio.run(app, scope, anyio.sleep_forever, send)


@then("the caller gets 401 and no backend server was picked")
def step_refused(context):
    assert context.sent[0]["status"] == 401, context.sent[0]
    assert context.picked == []
