"""Steps on the timeouts of the HTTP server for callers."""

import json
import socket
from types import SimpleNamespace
from unittest import mock

import anyio
import anyio.to_thread
from behave import given, then, when
from fleet import HOST, free_port

from berylbank_standins._internal.load import CallerConnection
from berylbankd._internal import serving
from berylbankd._internal.entry.app import EntryApp

CHUNK = b"x" * 100
CHUNK_COUNT = 30
CHUNK_INTERVAL_S = 0.1
TEST_TIMEOUT_S = 30
TIMEOUT_CONSTANTS = ("KEEP_ALIVE_S", "READ_TIMEOUT_S")


async def slow_app(scope, _receive, send):
    """Send the body of the response slowly, in many chunks."""
    if scope["type"] != "http":
        return
    content_length = str(len(CHUNK) * CHUNK_COUNT).encode()
    start = {
        "type": "http.response.start",
        "status": 200,
        "headers": [(b"content-length", content_length)],
    }
    await send(start)
    for _ in range(CHUNK_COUNT):
        await anyio.sleep(CHUNK_INTERVAL_S)
        await send({"type": "http.response.body", "body": CHUNK, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


@given("a server whose idle timeouts are 1 second")
def step_server(context):
    context.timeouts = {
        name: 1 for name in TIMEOUT_CONSTANTS if getattr(serving, name, None) is not None
    }


async def with_server(timeouts, run_caller):
    port = free_port()
    stop = anyio.Event()
    with mock.patch.multiple(serving, **timeouts):
        async with anyio.create_task_group() as group:
            group.start_soon(serving.serve_http, slow_app, f"{HOST}:{port}", stop, 100)
            with anyio.fail_after(TEST_TIMEOUT_S):
                result = await run_caller(port)
            stop.set()
    return result


async def connect(port):
    while True:
        try:
            return await anyio.connect_tcp(HOST, port)
        except OSError:
            await anyio.sleep(0.02)


@when("a caller downloads for 3 seconds without sending anything")
def step_download(context):
    async def run_caller(port):
        await anyio.aclose_forcefully(await connect(port))
        return await CallerConnection(HOST, port).request("GET", "/")

    context.response = anyio.run(with_server, context.timeouts, run_caller)


@then("the download is complete")
def step_complete_download(context):
    assert context.response.size == len(CHUNK) * CHUNK_COUNT


@when("a caller sends half of its headers and waits")
def step_send_half_of_headers(context):
    async def run_caller(port):
        stream = await connect(port)
        await stream.send(b"GET / HTTP/1.1\r\nhost:")
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return True

    context.closed = anyio.run(with_server, context.timeouts, run_caller)


@then("its connection is closed")
def step_closed(context):
    assert context.closed


READ_TIMEOUT_S = 5
STOP_GRACE_MS = 2_000
# Requests are sent in this many passes of the event loop after the stop.
SEND_PASSES = 6
SETTLE_S = 0.3
REQUEST = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"
RESPONSE_END = b"whole"


class StoppingServer:
    """A server that stops, and callers on plain sockets whose requests it may get meanwhile."""

    def __init__(self, connections):
        self.idle_connections = connections
        self.port = free_port()
        self.stop = anyio.Event()
        self.passed_on = []
        self.results = {}
        self.serving_s = 0.1
        self.ended = anyio.Event()

    async def app(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await serving.serve_lifespan(receive, send)
            return
        client = scope["client"][1]
        self.passed_on.append(client)
        status = 200
        with anyio.move_on_after(self.serving_s):
            await self.ended.wait()
            status = 504
        headers = [(b"content-length", str(len(RESPONSE_END)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": RESPONSE_END})

    def connect(self):
        caller = socket.create_connection((HOST, self.port))
        caller.settimeout(READ_TIMEOUT_S)
        return caller

    def read(self, caller):
        data = b""
        try:
            while not data.endswith(RESPONSE_END) and (part := caller.recv(65_536)):
                data += part
        except OSError as error:
            return type(error).__name__
        return data.decode() or "closed"

    async def read_all(self, callers):
        for caller in callers:
            port = caller.getsockname()[1]
            self.results[port] = await anyio.to_thread.run_sync(self.read, caller)
            caller.close()

    async def run(self, act, grace_ms=STOP_GRACE_MS, **options):
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                address = f"{HOST}:{self.port}"
                group.start_soon(
                    lambda: serving.serve_http(self.app, address, self.stop, grace_ms, **options)
                )
                await anyio.aclose_forcefully(await connect(self.port))
                callers = [self.connect() for _ in range(self.idle_connections)]
                for caller in callers:
                    caller.sendall(REQUEST)
                await self.read_all_responses(callers)
                self.passed_on.clear()
                await self.read_all(await act(callers))

    async def read_all_responses(self, callers):
        for caller in callers:
            response = await anyio.to_thread.run_sync(self.read, caller)
            assert response.endswith(RESPONSE_END.decode()), response
        await anyio.sleep(SETTLE_S)

    async def stop_while_sending(self, callers):
        for number, caller in enumerate(callers):
            if number % SEND_PASSES == 0:
                caller.sendall(REQUEST)
        self.stop.set()
        for send_pass in range(1, SEND_PASSES):
            for number, caller in enumerate(callers):
                if number % SEND_PASSES == send_pass:
                    try:
                        caller.sendall(REQUEST)
                    except OSError:
                        continue
            await anyio.sleep(0)
        return callers

    async def stop_while_connecting(self, _callers):
        callers = [self.connect() for _ in range(self.new_connections)]
        for caller in callers:
            caller.sendall(REQUEST)
        self.stop.set()
        return callers

    async def stop_while_running(self, callers):
        self.serving_s = TEST_TIMEOUT_S
        callers[0].sendall(REQUEST)
        await anyio.sleep(SETTLE_S)
        self.stop.set()
        return callers

    async def end_requests(self):
        self.ended.set()


def run_stop(server, act, **options):
    anyio.run(lambda: server.run(act, **options), backend_options={"use_uvloop": True})


@given("a server with {count:d} idle connections of callers")
def step_idle_connections(context, count):
    context.server = StoppingServer(count)


@when("the server stops while a request arrives on each of them")
def step_stop_while_sending(context):
    run_stop(context.server, context.server.stop_while_sending)


@when(
    "{count:d} callers connect and send a request, and the server stops before it has accepted them"
)
def step_stop_while_connecting(context, count):
    context.server.new_connections = count
    run_stop(context.server, context.server.stop_while_connecting)


@when("a request runs until the grace time of {ms:d} ms ends")
def step_grace_end(context, ms):
    server = context.server
    run_stop(server, server.stop_while_running, grace_ms=ms, end_requests=server.end_requests)


@then("every request that the application got was answered")
def step_passed_on_answered(context):
    server = context.server
    assert server.passed_on, "the application got no request"
    lost = [
        server.results[port]
        for port in server.passed_on
        if not server.results[port][:12].endswith("200")
    ]
    assert not lost, (len(lost), len(server.passed_on), set(lost))


@then("no connection was reset")
def step_no_reset(context):
    resets = [result for result in context.server.results.values() if "Error" in result]
    assert not resets, resets


@then("every caller got a response")
def step_all_answered(context):
    results = list(context.server.results.values())
    answered = [result for result in results if result.startswith("HTTP/1.1 200")]
    assert len(answered) == context.server.new_connections, results


@then("the caller gets the application's response")
def step_application_response(context):
    results = list(context.server.results.values())
    assert results and results[0].startswith("HTTP/1.1 504"), results


class WaitingEntryApp(EntryApp):
    """The application for callers, whose requests wait for ever in a given state."""

    def __init__(self, state):
        self.tried_backends = ("server-0",) if state == "was sent to a server" else ()
        clock = SimpleNamespace(now_ms=lambda: 0)
        self.coordinator = SimpleNamespace(clock=clock, node=SimpleNamespace(leaving=True))
        self.request_filters = self
        self.running_requests = 0
        self.started = anyio.Event()

    async def check(self, exchange):
        exchange.tried_backends = self.tried_backends
        self.started.set()
        await anyio.sleep_forever()


@when("the process ends while a request of the own interface {state}")
def step_process_ends(context, state):
    server = context.server
    server.app = WaitingEntryApp(state)

    async def stop_while_waiting(_callers):
        caller = server.connect()
        caller.sendall(REQUEST)
        await server.app.started.wait()
        server.stop.set()
        return [caller]

    run_stop(server, stop_while_waiting, grace_ms=100)


@then('the caller is told "{cause}" with "ran" set to "{ran}"')
def step_told(context, cause, ran):
    (response,) = context.server.results.values()
    body = json.loads(response.partition("\r\n\r\n")[2] or "null")
    assert body, response
    assert (body["error"], body["ran"]) == (cause, ran), response
