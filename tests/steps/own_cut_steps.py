"""Steps on servers of the own interface that are broken off by what happens beside them."""

import re

import anyio
from behave import given, then, when

from berylbankd._internal.backends.deadlines import DeadlineMonitor
from tests.steps.entry_silent_server_steps import Server

NOW_MS = 10_000


class HeadServer(Server):
    """Sends the head of a response, and closes the connection after ``pause_s``."""

    pause_s = 0.0

    async def respond(self, stream):
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
        await anyio.sleep(self.pause_s)
        return False


class LateHeadServer(Server):
    """As :class:`Server`; once "sends a late head", it does so and then closes the connection."""

    def __init__(self, name, wait_ms, pause_ms):
        super().__init__(name)
        self.wait_ms, self.pause_ms = wait_ms, pause_ms

    async def respond(self, stream):
        if self.behaviour != "sends a late head":
            return await super().respond(stream)
        await anyio.sleep(self.wait_ms / 1000)
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
        await anyio.sleep(self.pause_ms / 1000)
        return False


class TwoPartServer(Server):
    """Sends a response in two equal parts of ``part_bytes``, ``pause_ms`` apart."""

    def __init__(self, name, part_bytes, pause_ms):
        super().__init__(name)
        self.part_bytes, self.pause_ms = part_bytes, pause_ms

    async def respond(self, stream):
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {2 * self.part_bytes}\r\n\r\n"
        await stream.send(head.encode() + bytes(self.part_bytes))
        await anyio.sleep(self.pause_ms / 1000)
        await stream.send(bytes(self.part_bytes))
        return True


class ExpiredConnection:
    """A connection whose deadline has passed; closing it takes a pass of the event loop."""

    def __init__(self, on_close=None):
        self.deadline_ms = NOW_MS - 1
        self.response_started = False
        self.timed_out = self.closed = False
        self.on_close = on_close

    async def aclose(self):
        await anyio.sleep(0)
        if self.on_close is not None:
            self.on_close()
        self.closed = True


class FixedClock:
    """A clock that stands still."""

    def now_ms(self):
        return NOW_MS


@given("the other server sends the head of a response and {behaviour}")
def step_head(context, behaviour):
    server = context.run.other = HeadServer("other")
    if found := re.search(r"(\d+) ms", behaviour):
        server.pause_s = int(found[1]) / 1000


@given(
    "the first server sends the head of a response after {wait_ms:d} ms, and closes after {ms:d} ms"
)
def step_late_head(context, wait_ms, ms):
    context.run.first = LateHeadServer("first", wait_ms, ms)
    context.run.first_behaviour = "sends a late head"


@given("the other server sends {size:d} bytes, and as many after {ms:d} ms")
def step_two_parts(context, size, ms):
    context.run.other = TwoPartServer("other", size, ms)


@given("two connections whose deadlines have expired")
def step_expired(context):
    context.connections = [ExpiredConnection(), ExpiredConnection()]


def close_both(context, change, method_name):
    """Close both connections, and ``change`` the one that is not closed first meanwhile."""
    first, second = context.connections
    monitor = DeadlineMonitor(FixedClock())
    # A set has no order, so each one may be the first.
    monitor.active_connections.update(context.connections)
    context.reused = []

    def change_open(other):
        if not other.closed:
            change(monitor, other)
            context.reused.append(other)

    first.on_close = lambda: change_open(second)
    second.on_close = lambda: change_open(first)
    anyio.run(getattr(monitor, method_name))


@when("the second one carries another request before the first one is closed")
def step_reuse(context):
    def reuse(_, other):
        # As when its response has ended, and the next request is sent on it.
        other.deadline_ms = NOW_MS + 1_000

    close_both(context, reuse, "close_expired")


@when("the second one is released before the first one is closed")
def step_release(context):
    def release(monitor, other):
        monitor.active_connections.discard(other)

    close_both(context, release, "close_expired")


@when("the second one's response begins before the first one is closed for a stop")
def step_respond(context):
    def respond(_, other):
        other.response_started = True

    close_both(context, respond, "expire_unanswered")


@then("only the first one was closed")
def step_one_closed(context):
    (reused,) = context.reused
    assert not reused.closed and not reused.timed_out


@then("the caller gets {size:d} bytes and an end")
def step_whole_body(context, size):
    bodies = [message for message in context.run.messages if "body" in message]
    received = sum(len(message["body"]) for message in bodies)
    assert context.run.result is None and received == size, (context.run.result, received)
    assert not bodies[-1].get("more_body")
