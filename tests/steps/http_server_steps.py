"""Steps on the connections of the HTTP server for callers, over real sockets."""

import asyncio
import time
from unittest import mock

import anyio
from behave import given, then, when
from fleet import HOST, free_port
from slow_links import SlowCaller, SlowProxy

from berylbankd._internal.connections import lingering
from berylbankd._internal.http_server import HttpServer

HEADERS = {"host": "a.example"}
LINK_DELAY_S = 0.02
FAST = 1e9
STOP_GRACE_S = 5.0
TEST_LIMIT_S = 20


class FixedApp:
    """Responds to each request with the same body; ``close`` ends the connection with it."""

    def __init__(self, size, close):
        self.body = b"x" * size
        self.close = close

    async def __call__(self, scope, receive, send):
        """Respond without reading the body of the request."""
        headers = [(b"content-length", str(len(self.body)).encode())]
        if self.close:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": self.body})


@given("a server that responds with {size:d} bytes")
def step_server(context, size):
    context.app, context.linger_s = FixedApp(size, False), None


@given("a server that responds with {size:d} bytes and closes, without reading the body")
def step_closing_server(context, size):
    context.app, context.linger_s = FixedApp(size, True), None


@given("connections are kept for their callers' rest of a body for {ms:d} ms")
def step_linger(context, ms):
    context.linger_s = ms / 1000


def run_with_server(context, act):
    """Run a coroutine function with the server, on the event loop of the daemon."""

    async def run():
        server = HttpServer(context.app, f"{HOST}:{free_port()}")
        await server.start()
        with anyio.fail_after(TEST_LIMIT_S):
            await act(server)
        await server.stop(0)

    linger_s = context.linger_s or lingering.LINGER_TIMEOUT_S
    with mock.patch.object(lingering, "LINGER_TIMEOUT_S", linger_s):
        anyio.run(run, backend_options={"use_uvloop": True})


async def open_callers(server, count):
    callers = [SlowCaller(server.address.host, server.address.port, FAST) for _ in range(count)]
    for caller in callers:
        await caller.connect()
    return callers


@when(
    "a caller sends a body of {size:d} bytes and reads {rate:d} bytes per second"
    " through a slow link"
)
def step_send_long_body(context, size, rate):
    async def act(server):
        proxy = SlowProxy((server.address.host, server.address.port), rate, LINK_DELAY_S)
        proxy.start()
        caller = SlowCaller(*proxy.address, rate * 2)
        await caller.connect()
        context.received = [await caller.request("POST", "/", HEADERS, b"b" * size)]
        caller.close()
        proxy.close()

    run_with_server(context, act)


@then("the caller got the whole response")
@then("every caller got the whole response")
def step_whole(context):
    ends = [(got.status, len(got.body), got.end) for got in context.received]
    assert ends and set(ends) == {(200, len(context.app.body), "whole")}, ends


@when("a caller sends a malformed head and {size:d} bytes after it")
def step_send_malformed(context, size):
    async def act(server):
        proxy = SlowProxy((server.address.host, server.address.port), 50_000, LINK_DELAY_S)
        proxy.start()
        caller = SlowCaller(*proxy.address, FAST)
        await caller.connect()
        sending = asyncio.create_task(caller.send(b"GET / HTTP/1.1\r\n: \r\n" + b"b" * size))
        context.received = [await caller.read_response()]
        sending.cancel()
        caller.close()
        proxy.close()

    run_with_server(context, act)


@then("the caller got status {status:d} and its whole body")
def step_refused(context, status):
    got = context.received[0]
    assert (got.status, got.end) == (status, "whole") and got.body, got


@when("{count:d} callers connect, the server stops accepting, and the callers send requests")
def step_backlog(context, count):
    async def act(server):
        callers = [SlowCaller(server.address.host, server.address.port, FAST) for _ in range(count)]
        for caller in callers:
            # The kernel opens the connection while the event loop is held up here.
            caller.socket.setblocking(True)
            caller.socket.connect(caller.address)
            caller.socket.setblocking(False)
        await server.stop_accepting()
        context.received = await asyncio.gather(
            *(caller.request("GET", "/", HEADERS) for caller in callers)
        )
        for caller in callers:
            caller.close()

    run_with_server(context, act)


@when("callers on {count:d} kept connections send requests just before the server stops")
def step_requests_before_stop(context, count):
    async def act(server):
        callers = await open_callers(server, count)
        for caller in callers:
            await caller.request("GET", "/", HEADERS)
        for caller in callers:
            caller.socket.send(b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n")
        responses = [asyncio.create_task(caller.read_response()) for caller in callers]
        await server.stop(STOP_GRACE_S)
        context.received = await asyncio.gather(*responses)
        for caller in callers:
            caller.close()

    run_with_server(context, act)


@when("a caller sends a body without end")
def step_send_without_end(context):
    async def act(server):
        (caller,) = await open_callers(server, 1)
        started_s = time.monotonic()
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_sendall(
                caller.socket, b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 999999999\r\n\r\n"
            )
            while True:
                await loop.sock_sendall(caller.socket, b"b" * 1000)
                await asyncio.sleep(0.01)
        except OSError:
            context.ended_after_s = time.monotonic() - started_s
        caller.close()

    run_with_server(context, act)


@then("its connection ends within {limit_s:d} seconds")
def step_connection_ended(context, limit_s):
    assert context.ended_after_s < limit_s, context.ended_after_s


@when(
    "{count:d} callers have read their responses on kept connections, and the server stops with"
    " a grace time of {grace_s:d} seconds"
)
def step_stop_when_idle(context, count, grace_s):
    async def act(server):
        callers = await open_callers(server, count)
        for caller in callers:
            await caller.request("GET", "/", HEADERS)
        started_s = time.monotonic()
        await server.stop(grace_s)
        context.stop_s = time.monotonic() - started_s
        for caller in callers:
            caller.close()

    run_with_server(context, act)


@then("the stop takes less than {limit_ms:d} ms")
def step_stop_time(context, limit_ms):
    assert context.stop_s * 1000 < limit_ms, context.stop_s
