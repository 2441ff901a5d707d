"""Steps on the dispatcher, with attempts that end with given outcomes."""

from functools import partial
from types import SimpleNamespace

import anyio
from behave import given, then, when

from berylbank._internal.models.configuration import Backend
from berylbankd._internal.backends.connection import BackendConnection, BackendConnectionError
from berylbankd._internal.backends.health import BackendHealth
from berylbankd._internal.backends.slots import SlotPool
from berylbankd._internal.entry.attempts import (
    Attempt,
    AttemptOutcome,
    RequestAttempts,
    RetryBudget,
)
from berylbankd._internal.entry.dispatch import Dispatcher
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

ATTEMPTS = {
    "failed": AttemptOutcome(Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN), retryable=True),
    "unreachable": AttemptOutcome(Refusal(RefusalKind.NO_BACKEND), retryable=True),
    "shed": AttemptOutcome(Refusal(RefusalKind.NO_SLOT), retryable=True),
    "withdrawn": AttemptOutcome(Refusal(RefusalKind.KEY_WITHDRAWN)),
}


class FakeSlotPool:
    """A slot pool that only has the name of its backend server."""

    def __init__(self, name):
        self.backend = self
        self.name = name


class ScriptedDispatcher(Dispatcher):
    """A dispatcher whose attempts end with given outcomes, without any backend server."""

    def __init__(self, outcomes):
        self.retry_budget = RetryBudget()
        self.outcomes = list(outcomes)

    async def _acquire_slot(self, _exchange, tried_backends):
        return FakeSlotPool(f"server-{len(tried_backends)}") if self.outcomes else None

    async def _attempt(self, _exchange, _attempts, _pool):
        return ATTEMPTS[self.outcomes.pop(0)]


@when("the attempts of an idempotent request end as {outcomes}")
def step_attempts(context, outcomes):
    dispatcher = ScriptedDispatcher(outcome.strip() for outcome in outcomes.split(","))
    context.refusal = anyio.run(dispatcher.dispatch, None)


@then('the refusal has "ran" set to "{ran}"')
def step_ran(context, ran):
    assert context.refusal.ran.value == ran, context.refusal


@then('the refusal is "{kind}" with status {status:d}, and "ran" set to "{ran}"')
def step_refusal(context, kind, status, ran):
    refusal = context.refusal
    found = refusal.kind.value, refusal.template.status, refusal.ran.value
    assert found == (kind, status, ran), found
    assert "retry-after" not in {name.decode() for name, _ in refusal.make_headers(0)}


READ_BYTES = 65_536


class AnsweredConnection:
    """A connection whose request was sent and whose response has no body."""

    request_started = True

    async def discard_body(self, max_bytes):
        pass


class FakeCoordinator:
    """A coordinator that only has a clock, which is this object too."""

    def __init__(self):
        self.clock = self

    def now_ms(self):
        return 0


class SentRequest:
    """A request whose body was buffered and then sent to a server."""

    def __init__(self, size):
        self.parts = [bytes(min(READ_BYTES, size - start)) for start in range(0, size, READ_BYTES)]
        self.dispatcher = ScriptedDispatcher([])
        self.dispatcher.coordinator = FakeCoordinator()
        headers = [(b"content-length", str(size).encode())]
        scope = {"method": "PUT", "path": "/x", "raw_path": b"/x", "query_string": b""}
        self.exchange = Exchange({**scope, "headers": headers}, self.receive, None, 0)
        anyio.run(self.send)

    async def receive(self):
        part = self.parts.pop(0)
        return {"type": "http.request", "body": part, "more_body": bool(self.parts)}

    async def send(self):
        await self.dispatcher.buffer_body(self.exchange)
        async for _ in self.dispatcher._stream_body(self.exchange):
            pass


@given("a PUT with a body of {size:d} bytes that was sent to a server")
def step_sent(context, size):
    context.request = SentRequest(size)


@when("the server refuses it")
def step_refuses(context):
    pool = FakeSlotPool("server-0")
    pool.health = BackendHealth()
    request = context.request
    context.outcome = anyio.run(
        request.dispatcher._handle_shed, request.exchange, pool, AnsweredConnection()
    )


class EndlessConnection(AnsweredConnection):
    """A connection whose response has a body without end; fails once far too much was read."""

    discard_body = BackendConnection.discard_body

    def __init__(self):
        self.read_bytes = 0
        self.closed = False

    async def receive_chunk(self):
        self.read_bytes += 1_024
        assert self.read_bytes < 1_048_576, "read without end"
        return bytes(1_024)

    async def aclose(self):
        self.closed = True


@when("the server refuses it with a body without end")
def step_refuses_without_end(context):
    pool, request = FakeSlotPool("server-0"), context.request
    pool.health = BackendHealth()
    context.connection = EndlessConnection()
    context.outcome = anyio.run(
        request.dispatcher._handle_shed, request.exchange, pool, context.connection
    )


@then("at most {size:d} KiB were read before the connection was closed")
def step_read_limit(context, size):
    assert context.connection.closed
    assert context.connection.read_bytes <= size * 1_024, context.connection.read_bytes


@when("the server closes the connection")
def step_closes(context):
    request = context.request
    context.outcome = request.dispatcher._make_failed_outcome(
        request.exchange, AnsweredConnection(), BackendConnectionError("closed")
    )


@then("the attempt is {repeated}")
def step_repeated(context, repeated):
    assert context.outcome.retryable == (repeated == "repeated"), context.outcome


class UnusedConnection:
    """A connection that must carry no request."""

    def __init__(self):
        self.sent = 0

    async def send_request(self, *_):
        self.sent += 1
        raise BackendConnectionError("send")


class ConnectingDispatcher(Dispatcher):
    """A dispatcher with one server, to which a connection is opened while ``change`` happens."""

    def __init__(self):
        backend = Backend("server-0", "desk", "127.0.0.1:1", "one", "a", 1)
        self.slot_pool = SlotPool(backend, 1_000)
        self.coordinator = FakeCoordinator()
        self.pools = {backend.name: self.slot_pool}
        self.coordinator.node = SimpleNamespace(slots=SimpleNamespace(pools=self.pools))
        self.request_filters = SimpleNamespace(may_still_run=lambda _: True)
        self.deadline_monitor = SimpleNamespace(active_connections=set())
        self.connection_pool = self
        self.connection = UnusedConnection()
        self.change = lambda: None

    async def acquire(self, *_, **__):
        self.change()
        return self.connection

    def replace(self, **fields):
        self.slot_pool.backend = self.slot_pool.backend._replace(**fields)


@given("a request that gets a slot of a server of the own interface")
def step_slot(context):
    context.dispatcher = ConnectingDispatcher()


@when("the server {change} while the connection to it is opened")
def step_change_while_connecting(context, change):
    dispatcher = context.dispatcher
    changes = {
        "is drained": partial(dispatcher.replace, draining=True),
        "gets another address": partial(dispatcher.replace, address="127.0.0.1:2"),
        "leaves the configuration": dispatcher.pools.clear,
    }
    dispatcher.change = changes[change]
    scope = {"method": "GET", "path": "/x", "raw_path": b"/x", "query_string": b"", "headers": []}
    exchange = Exchange(scope, None, None, 0)
    exchange.service = SimpleNamespace(timeout_ms=1_000)
    attempt = Attempt(dispatcher.slot_pool)
    context.outcome = anyio.run(dispatcher._connect_and_send, exchange, RequestAttempts(), attempt)


@then("nothing is sent, and another server may be tried")
def step_nothing_sent(context):
    assert context.dispatcher.connection.sent == 0
    assert context.outcome.retryable and context.outcome.refusal.ran is Ran.NO
