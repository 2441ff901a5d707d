"""Steps on the timeouts of the HTTP server for callers."""

from unittest import mock

import anyio
from behave import given, then, when
from fleet import HOST, free_port

from berylbank_standins._internal.load import CallerConnection
from berylbankd._internal import serving

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
