"""Steps on request bodies that are longer than what is kept for a retry."""

import random
import time

import anyio
import httptools
from behave import given, then, when

from berylbankd._internal.models.types import RequestKind
from tests.steps.faulty_server_steps import (
    CountingRequestLog,
    make_answer,
    make_app,
    make_refusal,
    make_scope,
    make_steering,
)
from tests.steps.steering_steps import ROUTE
from tests.support.steering import server_row

READ_BYTES = 65_536
DEADLINE_MS = 5_000
KINDS = {"POST": RequestKind.UNSAFE, "PUT": RequestKind.SAFE}
SERVER_ERROR = "HTTP/1.1 500 Failed\r\nx-request-id: {id}\r\nx-server-signature: s\r\n"


class RequestReader:
    """Reads the requests of one connection whole."""

    def __init__(self):
        self.parser = httptools.HttpRequestParser(self)
        self.body = b""
        self.headers = {}
        self.complete = False

    def on_header(self, name, value):
        self.headers[name.lower()] = value.decode()

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.complete = True


class BodyServer:
    """A backend server that records the bodies that it ran, and fails its first request."""

    def __init__(self, failure):
        self.failure = failure
        self.bodies = []
        self.requests = 0
        self.closed_s = None

    async def handle(self, stream):
        try:
            async with stream:
                while True:
                    reader = RequestReader()
                    while not reader.complete:
                        reader.parser.feed_data(await stream.receive())
                    await self.respond(stream, reader)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed_s = time.monotonic()

    async def respond(self, stream, reader):
        request_id = reader.headers[b"x-request-id"]
        self.requests += 1
        failure = self.failure if self.requests == 1 else ""
        if failure == "a refusal":
            await stream.send(make_refusal(request_id).encode())
            return
        if failure == "another server":
            text = make_refusal(request_id).replace("503 Full", "421 Misdirected Request")
            await stream.send(text.encode())
            return
        self.bodies.append(reader.body)
        if failure == "a reset":
            await stream.aclose()
        if failure == "a server error":
            text = SERVER_ERROR.format(id=request_id) + "content-length: 0\r\n\r\n"
            await stream.send(text.encode())
            return
        await stream.send(make_answer(request_id).encode())


class Caller:
    """Sends a body in reads of a usual size; leaves after its body if it has been told to."""

    def __init__(self, body, leave_after_s=None):
        self.parts = [body[start : start + READ_BYTES] for start in range(0, len(body), READ_BYTES)]
        self.leave_after_s = leave_after_s
        self.left_s = None
        self.events = []

    async def receive(self):
        if self.parts:
            part = self.parts.pop(0)
            return {"type": "http.request", "body": part, "more_body": bool(self.parts)}
        if self.leave_after_s is None:
            await anyio.sleep_forever()
        await anyio.sleep(self.leave_after_s)
        self.left_s = self.left_s or time.monotonic()
        return {"type": "http.disconnect"}

    async def send(self, event):
        self.events.append(event)


async def send_request(server, caller, method, encoding, size, *, accepts=True):
    """Send a request to a VM with two backend servers, one of which may accept no connection."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    steering = make_steering(f"127.0.0.1:{port}", KINDS[method])
    steering.routing_state.apply_row(server_row("s1", 2, address=f"127.0.0.1:{port}"), 0)
    route = ROUTE._replace(kind=KINDS[method], timeout_ms=DEADLINE_MS, max_attempts=2)
    steering.routing_state.routes = {ROUTE.host: [route]}
    steering.tick(250, 500)
    pick = steering.pick

    def pick_unreachable_first(request, now_ms):
        found = pick(request, now_ms)
        state = found.server
        if not accepts and not request.tried:
            state.registration = state.registration._replace(address="127.0.0.1:1")
        return found

    steering.pick = pick_unreachable_first
    app = make_app(steering, CountingRequestLog())
    scope = make_scope("r0", method, deadline_ms=DEADLINE_MS)
    framing = (b"content-length", str(size).encode())
    if encoding == "in chunks":
        framing = (b"transfer-encoding", b"chunked")
    scope["headers"].append(framing)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, server.handle)
        await app(scope, caller.receive, caller.send)
        await anyio.sleep(0.1)
        await app.dispatcher.connection_pool.aclose()
        group.cancel_scope.cancel()


@given("two servers of which the first to get a request answers with {failure}")
def step_failing_first(context, failure):
    context.server, context.accepts = BodyServer(failure), True


@given("two servers of which the first to get a request accepts no connection")
def step_unreachable_first(context):
    context.server, context.accepts = BodyServer(""), False


@when("a {method} with a body of {size:d} bytes {encoding} is sent")
def step_send(context, method, size, encoding):
    context.body = random.Random(size).randbytes(size)
    context.caller = Caller(context.body)

    async def run():
        await send_request(
            context.server, context.caller, method, encoding, size, accepts=context.accepts
        )

    anyio.run(run)


@then("every request that ran had the whole body")
def step_whole(context):
    lengths = [len(body) for body in context.server.bodies]
    assert all(body == context.body for body in context.server.bodies), lengths


@then("the caller gets {status:d}")
def step_status(context, status):
    assert context.caller.events[0]["status"] == status, context.caller.events


class SlowBodyServer(BodyServer):
    """A backend server that works on each request for some time, as long as it is connected."""

    def __init__(self, work_s):
        super().__init__("")
        self.work_s = work_s

    async def respond(self, stream, reader):
        with anyio.move_on_after(self.work_s):
            await stream.receive()
        await super().respond(stream, reader)


@given("a server that works on each request for {seconds:d} s")
def step_slow_server(context, seconds):
    context.server = SlowBodyServer(seconds)


@when("a caller sends a body of {size:d} bytes and leaves {ms:d} ms later")
def step_leave(context, size, ms):
    context.caller = Caller(bytes(size), leave_after_s=ms / 1000)

    async def run():
        await send_request(context.server, context.caller, "POST", "with a length", size)

    anyio.run(run)


@then("the server's connection is closed within {ms:d} ms")
def step_closed(context, ms):
    assert context.caller.left_s is not None and context.server.closed_s is not None
    assert context.server.closed_s - context.caller.left_s <= ms / 1000
