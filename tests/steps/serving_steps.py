"""Steps on the HTTP server's limits."""

from unittest import mock

import anyio
from behave import given, then, when
from fleet import HOST, free_port

from berylbank_standins._internal.load import Caller
from berylbankd._internal import serving

CHUNK = b"x" * 100
CHUNKS = 30
CHUNK_EVERY_S = 0.1
LIMIT_S = 30
LIMITS = ("KEEP_ALIVE_S", "READ_TIMEOUT_S")


async def trickle(scope, _receive, send):
    """Answer with a body that takes a while."""
    if scope["type"] != "http":
        return
    length = str(len(CHUNK) * CHUNKS).encode()
    start = {"type": "http.response.start", "status": 200, "headers": [(b"content-length", length)]}
    await send(start)
    for _ in range(CHUNKS):
        await anyio.sleep(CHUNK_EVERY_S)
        await send({"type": "http.response.body", "body": CHUNK, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


@given("a server whose idle limits are 1 second")
def step_server(context):
    context.limits = {name: 1 for name in LIMITS if getattr(serving, name, None) is not None}


async def with_server(limits, act):
    port = free_port()
    stop = anyio.Event()
    with mock.patch.multiple(serving, **limits):
        async with anyio.create_task_group() as group:
            group.start_soon(serving.serve_http, trickle, f"{HOST}:{port}", stop, 100)
            with anyio.fail_after(LIMIT_S):
                result = await act(port)
            stop.set()
    return result


async def connect(port):
    while True:
        try:
            return await anyio.connect_tcp(HOST, port)
        except OSError:
            await anyio.sleep(0.02)


@when("a caller downloads for 3 seconds without a word of its own")
def step_download(context):
    async def act(port):
        await anyio.aclose_forcefully(await connect(port))
        return await Caller(HOST, port).request("GET", "/")

    context.answer = anyio.run(with_server, context.limits, act)


@then("the download is whole")
def step_whole_download(context):
    assert context.answer.size == len(CHUNK) * CHUNKS


@when("a caller sends half of its headers and waits")
def step_half(context):
    async def act(port):
        stream = await connect(port)
        await stream.send(b"GET / HTTP/1.1\r\nhost:")
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return True

    context.closed = anyio.run(with_server, context.limits, act)


@then("its connection is closed")
def step_closed(context):
    assert context.closed
