"""Steps on requests whose deadline passes after a backend server's response was read."""

import json
import time

import anyio
from behave import given, then, when

from berylbankd._internal.backends import pool as pool_module
from berylbankd._internal.backends.connection import BackendConnection
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.models.types import RequestKind
from tests.steps.faulty_server_steps import (
    DEADLINE_MS,
    OK_HEAD,
    REFUSAL_HEAD,
    CountingRequestLog,
    ScriptedServer,
    make_answer,
    make_app,
    make_scope,
    make_steering,
)

FAILURE_HEAD = "HTTP/1.1 500 Failed\r\nx-request-id: {id}\r\nx-server-signature: s\r\n"
CLOSED_BODY = "connection: close\r\ncontent-length: 2\r\n\r\nok"
RESPONSES = {
    "one that closes the connection": OK_HEAD + CLOSED_BODY,
    "followed by a second one": "",
    "on one of too many connections": "",
    "one that ends with its connection": OK_HEAD + "\r\nok",
    "a failure that closes": FAILURE_HEAD + CLOSED_BODY,
    "a refusal that closes": REFUSAL_HEAD + "x-request-id: {id}\r\n" + CLOSED_BODY,
}
KINDS = {"POST": RequestKind.UNSAFE, "GET": RequestKind.SAFE}


def make_response(kind, request_id):
    if kind == "followed by a second one":
        return make_answer(request_id) + make_answer(request_id)
    if kind == "on one of too many connections":
        return make_answer(request_id)
    return RESPONSES[kind].format(id=request_id)


@given("a server whose response is {kind}")
def step_server(context, kind):
    async def respond(server, stream, _number, request_id):
        await server.send(stream, make_response(kind, request_id))
        if kind == "one that ends with its connection":
            await stream.aclose()

    context.server = ScriptedServer(respond)
    context.is_refusal = kind == "a refusal that closes"
    context.idle_limit = 0 if kind == "on one of too many connections" else None


@when("a {method} is sent, and {event} as soon as the response was read")
def step_send(context, method, event):
    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        steering = make_steering(f"127.0.0.1:{port}", KINDS[method])
        app = make_app(steering, CountingRequestLog())
        act = {
            "the deadline passes": lambda: time.sleep(DEADLINE_MS / 1000),
            "the VM ends its stop": app.expire_deadlines,
            "the VM's code fails": fail,
        }[event]
        # The last one of these that is called for a response of this kind.
        name = "record_notices" if context.is_refusal else "record_response"
        setattr(steering, name, act_after(getattr(steering, name), act))
        context.events = []

        async def send(item):
            context.events.append(item)

        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, context.server.handle)
            await app(make_scope("r1", method), anyio.sleep_forever, send)
            group.cancel_scope.cancel()

    limit = pool_module.MAX_IDLE_CONNECTIONS_PER_BACKEND
    pool_module.MAX_IDLE_CONNECTIONS_PER_BACKEND = (
        limit if context.idle_limit is None else context.idle_limit
    )
    try:
        # The daemon's event loop, which handles timers before tasks that only yielded.
        anyio.run(run, backend_options={"use_uvloop": True})
    finally:
        pool_module.MAX_IDLE_CONNECTIONS_PER_BACKEND = limit


def act_after(method, act):
    """Return a method that acts once it has been called."""

    def call(*arguments, **keywords):
        result = method(*arguments, **keywords)
        act()
        return result

    return call


def fail():
    raise RuntimeError("unexpected")


@then("the caller gets {status:d} of the server")
def step_status(context, status):
    assert context.events[0]["status"] == status, context.events
    assert (b"x-server-signature", b"s") in context.events[0]["headers"], context.events
    assert context.events[1]["body"] == b"ok", context.events


@then("the caller is told that the request did not run")
def step_told(context):
    assert context.events[0]["status"] == 503, context.events
    assert json.loads(context.events[1]["body"])["ran"] == "no"


@then("the caller is not told that the request did not run")
def step_not_told(context):
    assert context.events[0]["status"] == 502, context.events
    assert json.loads(context.events[1]["body"])["ran"] == "unknown"


@given("a pool with {count:d} idle connections to a silent server")
def step_pool(context, count):
    context.count = count


@when("the task that closes them is cancelled")
def step_cancel(context):
    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        context.pool = ConnectionPool()
        connections = [await BackendConnection.open(address, 0) for _ in range(context.count)]
        context.pool.idle[address] = list(connections)
        with anyio.CancelScope() as scope:
            scope.cancel()
            await context.pool.close_idle_to(address)
        context.open = [item for item in connections if not item.stream._transport.is_closing()]
        await listener.aclose()

    anyio.run(run)


@then("none of them is left open")
def step_none_open(context):
    assert context.open == [], len(context.open)
