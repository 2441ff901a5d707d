"""Steps on what a server's application gets of the requests of a connection, over real sockets."""

import asyncio
import json

import anyio
from behave import then, when
from fleet import HOST, free_port
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from slow_links import SlowCaller

from berylbankd._internal.connections.budget import FILE_DESCRIPTORS, ConnectionBudget
from berylbankd._internal.http_server import MAX_REPLAYABLE_BODY_BYTES, HttpServer
from berylbankd._internal.models.types import CallerLimits

FAST = 1e9
MOMENT_S = 0.05
TEST_LIMIT_S = 20
EXAMPLES = 60
MAX_BODY_BYTES = 1_000_000
EMPTY = (b"content-length", b"0")
BODY = b"a\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n"
OFFERS = {
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEA\r\n",
    "websocket": b"Connection: upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n",
}


class RecordingApp:
    """Keeps each request with its body, and responds with the request's number."""

    def __init__(self):
        self.requests = []

    async def __call__(self, scope, receive, send):
        """Read the body, then respond."""
        body, more = b"", True
        while more:
            event = await receive()
            if event["type"] == "http.disconnect":
                return
            body, more = body + event.get("body", b""), event.get("more_body", False)
        self.requests.append((scope["method"], scope["raw_path"], scope["headers"], body))
        answer = str(len(self.requests)).encode()
        headers = [(b"content-length", str(len(answer)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": answer})


class EarlyApp:
    """Responds to each request before it has read the body."""

    async def __call__(self, scope, receive, send):
        """Respond, and leave the body."""
        await send({"type": "http.response.start", "status": 200, "headers": [EMPTY]})
        await send({"type": "http.response.body", "body": b""})


def exchange(parts, answers, pause_s=0.0, app=None, limits=None):
    """Send parts of a connection's bytes; return the requests that arrived, and the answers."""
    app = app or RecordingApp()
    budget = ConnectionBudget()
    budget.limits = limits or budget.limits

    async def run():
        server = HttpServer(app, f"{HOST}:{free_port()}", budget)
        await server.start()
        caller = SlowCaller(server.address.host, server.address.port, FAST)
        await caller.connect()
        with anyio.fail_after(TEST_LIMIT_S):
            for part in parts:
                await caller.send(part)
                await asyncio.sleep(pause_s)
            received = [await caller.read_response() for _ in range(answers)]
        caller.close()
        await server.stop(0)
        return received

    received = anyio.run(run, backend_options={"use_uvloop": True})
    return getattr(app, "requests", []), received


def frame(body, chunk_sizes=None):
    """Return the framing header and the framed body; with a length if there are no chunk sizes."""
    if chunk_sizes is None:
        return b"Content-Length: %d\r\n" % len(body), body
    framed, rest = b"", body
    for size in [*chunk_sizes, len(body)]:
        chunk, rest = rest[:size], rest[size:]
        if chunk:
            framed += b"%x\r\n%b\r\n" % (len(chunk), chunk)
    return b"Transfer-Encoding: chunked\r\n", framed + b"0\r\n\r\n"


@when(
    "a caller sends a request that offers {offer}, with a body {framing}, and another one after it"
)
def step_offer(context, offer, framing):
    header, framed = frame(BODY, [3, 9] if "chunks" in framing else None)
    head = b"POST /first HTTP/1.1\r\nHost: a\r\n" + OFFERS[offer] + header + b"\r\n"
    second = b"POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nbb"
    parts = [head, framed, second] if "later" in framing else [head + framed + second]
    context.arrived, context.received = exchange(parts, 2, MOMENT_S)


@then("both arrived with their bodies, and both were answered in order")
def step_both(context):
    arrived = [(method, path, body) for method, path, _, body in context.arrived]
    assert arrived == [("POST", b"/first", BODY), ("POST", b"/second", b"bb")], arrived
    assert [answer.body for answer in context.received] == [b"1", b"2"], context.received


@when('a caller sends "{line}"')
def step_line(context, line):
    head = line.encode() + b"\r\nHost: a\r\n\r\n"
    context.arrived, context.received = exchange([head], 1)


@when('a request has the target "{target}"')
def step_target(context, target):
    step_line(context, f"GET {target} HTTP/1.1")


@then('it arrived with the path "{path}"')
def step_path(context, path):
    ((_, raw_path, _, _),) = context.arrived
    assert raw_path == path.encode(), context.arrived


@then("it is refused with status {status:d}, and nothing arrived")
def step_nothing(context, status):
    assert context.received[0].status == status, context.received
    assert not context.arrived, context.arrived


@when("a caller sends a chunked request whose trailer section has the name of a header")
def step_trailer(context):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
    request = head + b"1\r\nx\r\n0\r\nX-Request-Id: other\r\n\r\n"
    context.arrived, context.received = exchange([request], 1)


@then("the header arrived as it was in the head")
def step_header(context):
    ((_, _, headers, body),) = context.arrived
    found = [value for name, value in headers if name == b"x-request-id"]
    assert (found, body) == ([b"mine"], b"x"), context.arrived


chunkings = st.none() | st.lists(st.integers(1, 40), max_size=6)
bodies = st.binary(max_size=200) | st.sampled_from([BODY, b"\r\n\r\n", b"0\r\n\r\n", b"\n\n\n"])
requests = st.lists(st.tuples(st.integers(0, 3), bodies, chunkings), min_size=1, max_size=5)


@then("any requests, sent in any parts, arrive unchanged and are answered in order")
def step_any(context):
    @settings(max_examples=EXAMPLES, deadline=None)
    @for_any(requests, st.data())
    def check(sent, data):
        stream, expected = b"", []
        for number, (empty_lines, body, chunk_sizes) in enumerate(sent):
            header, framed = frame(body, chunk_sizes)
            path = b"/%d" % number
            stream += b"\r\n" * empty_lines + b"POST " + path + b" HTTP/1.1\r\nHost: a\r\n"
            stream += header + b"\r\n" + framed
            expected.append(("POST", path, body))
        cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=8).map(sorted))
        ends = [*cuts, len(stream)]
        parts = [stream[start:end] for start, end in zip([0, *cuts], ends, strict=True)]
        arrived, received = exchange([part for part in parts if part], len(sent))
        assert [(method, path, body) for method, path, _, body in arrived] == expected
        assert [answer.body for answer in received] == [
            str(number + 1).encode() for number in range(len(sent))
        ]

    check()


@when("a caller sends more of a body than is allowed after the response to its request")
def step_too_much_after(context):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n" % MAX_BODY_BYTES + b"x" * MAX_BODY_BYTES + b"\r\n"
    limits = CallerLimits(max_body_bytes=MAX_BODY_BYTES)
    _, context.received = exchange([head, chunk, chunk], 2, MOMENT_S, EarlyApp(), limits)


@then("its connection ends without another response")
def step_no_second(context):
    first, second = context.received
    assert (first.status, first.end) == (200, "whole"), first
    assert (second.status, second.end) != (413, "whole") and not second.status, second


@when("a caller sends a long body, and a malformed head after the response")
def step_malformed_after(context):
    header, body = frame(b"x" * (MAX_REPLAYABLE_BODY_BYTES + 1))
    first = b"POST / HTTP/1.1\r\nHost: a\r\n" + header + b"\r\n" + body
    _, context.received = exchange([first, b"GET / HTTP/1.1\r\n: \r\n\r\n"], 2, MOMENT_S)


@then("the refusal says that the request did not run")
def step_not_run(context):
    refusal = context.received[1]
    assert (refusal.status, json.loads(refusal.body)["ran"]) == (400, "no"), refusal


@when("a caller with half a body gives way to a new connection")
def step_half_body_gives_way(context):
    context.reported = []
    budget = ConnectionBudget(max_descriptors=FILE_DESCRIPTORS + 2)
    budget.on_refusal = lambda cause, _: context.reported.append(cause)

    async def run():
        server = HttpServer(RecordingApp(), f"{HOST}:{free_port()}", budget)
        await server.start()
        first, second = (
            SlowCaller(server.address.host, server.address.port, FAST) for _ in range(2)
        )
        with anyio.fail_after(TEST_LIMIT_S):
            await first.connect()
            await first.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
            await asyncio.sleep(MOMENT_S)
            await second.connect()
            context.received = [await first.read_response()]
        first.close()
        second.close()
        await server.stop(0)

    anyio.run(run, backend_options={"use_uvloop": True})


@then("it was refused with status {status:d}, and reported once")
def step_reported_once(context, status):
    assert context.received[0].status == status, context.received
    assert len(context.reported) == 1, context.reported
