"""Steps on the callers' application, with a rate gate that lets things happen while it is asked."""

import socket

import anyio
from behave import given, then, when

from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.backends.connection import BackendFailure
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.ingress.app import CallerApp
from berylbankd._internal.ingress.rate_gate import RateGate
from berylbankd._internal.models.types import CallerLimits, Configuration, Organisation, Service
from berylbankd._internal.peers.messages import TokenGrant
from berylbankd._internal.platform.headers import PlatformHeaders
from berylbankd._internal.steering.steering import Steering
from tests.steps.steering_steps import ROUTE
from tests.support.steering import ROW_CODEC, make_deployment, server_row

NOW_MS = 10_000
# Nothing listens there.
ADDRESS = "127.0.0.1:1"
KEY = "key-of-alder"
HOLDERS = {"is withdrawn": None, "goes to another organisation": "birch"}


class Journal:
    """Forgets every record."""

    def record(self, record):
        pass


class ChangingGate:
    """Admits a request after the keys have changed."""

    def __init__(self, steering, holder):
        self.steering = steering
        self.holder = holder

    async def admit(self, organisation):
        install_keys(self.steering, self.holder)
        return True


def install_keys(steering, holder):
    """Put a configuration in force in which an organisation holds the key, or none."""
    organisations = tuple(
        Organisation(name, (KEY,) if name == holder else (), 0, 100.0, 100.0, frozenset())
        for name in ("alder", "birch")
    )
    world = steering.routing_state
    service = Service("desk", "", 100, 0, 0.0)
    world.configuration = Configuration(
        1, (ROUTE,), {"desk": service}, organisations, True, CallerLimits()
    )
    world.routes = {ROUTE.host: [ROUTE]}
    world.organisations = {key: item for item in organisations for key in item.keys}


class ScriptedChannel:
    """Answers token asks as told, by host."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    async def ask_tokens(self, host, ask, timeout_s):
        self.asked.append(host)
        return self.answers[host]


@given("a VM that asks two owners for tokens")
def step_owners(context):
    context.steering = Steering(make_deployment("vm-0", "a"), ROW_CODEC, 1, 0)
    context.steering.quotas.owners = lambda name: ["vm-1", "vm-2"]
    context.steering.host_of = {"vm-1": "first", "vm-2": "second"}.get


@when("the first owner {behaviour} and the second one grants a token")
def step_first_owner(context, behaviour):
    unknown = TokenGrant(0, 0, known=False)
    answers = {"does not know the organisation": unknown, "does not answer": None}
    channel = ScriptedChannel({"first": answers[behaviour], "second": TokenGrant(0, 1)})
    gate = RateGate(context.steering, channel, BootClock())
    organisation = Organisation("alder", (), 0, 100.0, 100.0, frozenset())
    context.admitted = [anyio.run(gate.admit, organisation)]
    context.asked_first, channel.asked = channel.asked, []
    context.admitted.append(anyio.run(gate.admit, organisation))
    context.asked_next = channel.asked


@then("the request is admitted, and the first owner is {word} for the next one")
def step_admitted_both(context, word):
    assert context.admitted == [True, True]
    assert "first" in context.asked_first
    assert ("first" in context.asked_next) == (word == "asked again"), context.asked_next


class Rested:
    """An idle connection whose other end is still open."""

    def __init__(self, rested_ms):
        self.ends = socket.socketpair()
        self.descriptor = self.ends[0].fileno()
        self.opened_ms = 0
        self.idle_since_ms = NOW_MS - rested_ms
        self.max_idle_ms = None

    async def aclose(self):
        for end in self.ends:
            end.close()


def is_reused(context, rested_ms):
    """Tell whether the pool hands out a connection that has rested, in place of a new one."""
    connection = Rested(rested_ms)
    context.pool.idle[ADDRESS] = [connection]

    async def acquire():
        try:
            return await context.pool.acquire(ADDRESS, NOW_MS, fresh=False, max_idle_ms=8_000)
        except BackendFailure:
            return None

    reused = anyio.run(acquire) is connection
    anyio.run(connection.aclose)
    return reused


@given("a pool with a connection that has rested for {ms:d} ms")
def step_pool(context, ms):
    context.pool = ConnectionPool()
    context.rested = ms


@then("it is used again")
def step_used_again(context):
    assert is_reused(context, context.rested)


@when("a connection was gone after a rest of {ms:d} ms")
def step_forgotten(context, ms):
    context.pool.note_forgotten(ADDRESS, ms)


@when("{count:d} connections were still there after their rest")
def step_held(context, count):
    for _ in range(count):
        context.pool.note_held(ADDRESS)


@then("a connection that has rested for {ms:d} ms is not used again")
def step_not_reused(context, ms):
    assert not is_reused(context, ms)


@then("a connection that has rested for {ms:d} ms is used again")
def step_reused(context, ms):
    assert is_reused(context, ms)


@given("a VM whose organisation alder holds the key of a request")
def step_vm(context):
    context.steering = Steering(make_deployment("vm-0", "a"), ROW_CODEC, 1, 0)
    context.steering.routing_state.apply(server_row("s0", 1, address="127.0.0.1:1"), 0)
    install_keys(context.steering, "alder")
    context.steering.tick(250, 250)


@when("the key {change} while the request waits for a token")
def step_change(context, change):
    steering, context.sent = context.steering, []
    gate = ChangingGate(steering, HOLDERS[change])
    app = CallerApp(steering, PlatformHeaders(), BootClock(), Journal(), gate)
    context.picked = []
    pick = steering.pick
    steering.pick = lambda ask, now_ms: context.picked.append(ask) or pick(ask, now_ms)
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


@then("the caller gets 401 and no server was asked for")
def step_refused(context):
    assert context.sent[0]["status"] == 401, context.sent[0]
    assert context.picked == []
