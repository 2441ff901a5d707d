"""Steps on the deadlines of responses, with a server on a real connection."""

from types import SimpleNamespace

import anyio
from behave import given, then, when

from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.backends.deadlines import DeadlineMonitor
from berylbankd._internal.backends.health import BackendHealth
from berylbankd._internal.backends.pool import ConnectionPool
from berylbankd._internal.entry.attempts import RetryBudget
from berylbankd._internal.entry.dispatch import Dispatcher, IncompleteResponseError
from berylbankd._internal.entry.exchange import Exchange

PART = b"p" * 1_000
# The parts come in separate reads.
PART_INTERVAL_S = 0.02
TEST_LIMIT_S = 20


class ResponseRun:
    """A dispatcher, a server on loopback, and a caller that reads its response."""

    def __init__(self, timeout_ms, total_parts, sent_parts):
        self.service = SimpleNamespace(
            name="desk", prefix="/desk/", timeout_ms=timeout_ms, traffic_class="lookup"
        )
        self.total_parts = total_parts
        self.sent_parts = sent_parts
        self.received = []
        self.read_ms = 0
        self.result = None
        self.waiting = anyio.Event()

    def run(self, act=None):
        anyio.run(self._run, act, backend_options={"use_uvloop": True})

    async def _run(self, act):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        clock = BootClock()
        dispatcher = self.dispatcher = Dispatcher.__new__(Dispatcher)
        controller = SimpleNamespace(record_result=lambda *_: None)
        node = SimpleNamespace(leaving=False, shift_controller=controller)
        dispatcher.coordinator = SimpleNamespace(clock=clock, node=node)
        dispatcher.request_filters = SimpleNamespace(may_still_run=lambda _: True)
        dispatcher.connection_pool = ConnectionPool()
        dispatcher.deadline_monitor = DeadlineMonitor(clock)
        backend = SimpleNamespace(address=f"127.0.0.1:{port}", name="server-0", draining=False)
        pool = SimpleNamespace(backend=backend, health=BackendHealth())
        node.slots = SimpleNamespace(pools={backend.name: pool})
        dispatcher.retry_budget = RetryBudget()
        dispatcher.slot_allocator = SimpleNamespace(release_slot=lambda *_: None)

        async def acquire_slot(*_):
            return pool

        dispatcher._acquire_slot = acquire_slot
        scope = {"method": "GET", "path": "/desk/x", "raw_path": b"/desk/x", "query_string": b""}
        exchange = Exchange({**scope, "headers": []}, anyio.sleep_forever, self._send, 0)
        exchange.service = self.service
        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, self._serve)
                group.start_soon(dispatcher.deadline_monitor.run)
                if act is not None:
                    group.start_soon(act)
                try:
                    self.result = await dispatcher.dispatch(exchange)
                except IncompleteResponseError as error:
                    self.result = error
                group.cancel_scope.cancel()

    async def _serve(self, stream):
        async with stream:
            await stream.receive()
            self.waiting.set()
            if self.sent_parts:
                head = f"HTTP/1.1 200 OK\r\ncontent-length: {self.total_parts * len(PART)}\r\n\r\n"
                await stream.send(head.encode())
                for _ in range(self.sent_parts):
                    await stream.send(PART)
                    await anyio.sleep(PART_INTERVAL_S)
            if self.sent_parts < self.total_parts:
                await anyio.sleep_forever()

    async def _send(self, message):
        if message.get("body"):
            await anyio.sleep(self.read_ms / 1000)
        self.received.append(message)


@given("a service with a timeout of {ms:d} ms whose server responds with {parts:d} parts at once")
def step_parts(context, ms, parts):
    context.run = ResponseRun(ms, parts, parts)


@given("a service with a timeout of {ms:d} ms whose server is silent after {parts:d} parts")
def step_silent_after(context, ms, parts):
    context.run = ResponseRun(ms, parts + 1, parts)


@given("a service with a timeout of {ms:d} ms whose server is silent")
def step_silent_server(context, ms):
    context.run = ResponseRun(ms, 1, 0)


@when("a caller takes {ms:d} ms to read each part")
def step_read(context, ms):
    context.run.read_ms = ms
    context.run.run()


@when("the grace time of a stop ends while a caller waits")
def step_end_grace(context):
    async def end_grace():
        await context.run.waiting.wait()
        await context.run.dispatcher.deadline_monitor.expire_unanswered()

    context.run.run(end_grace)


@then("the caller got all {parts:d} parts, and an end")
def step_all_parts(context, parts):
    bodies = [message for message in context.run.received if "body" in message]
    size = sum(len(message["body"]) for message in bodies)
    assert size == parts * len(PART), (size, context.run.result)
    assert not bodies[-1].get("more_body"), bodies[-1]


@then("the response was aborted")
def step_aborted(context):
    assert isinstance(context.run.result, IncompleteResponseError), context.run.result


@then('the request is refused with "{kind}", and "ran" set to "{ran}"')
def step_refused_with(context, kind, ran):
    refusal = context.run.result
    assert (refusal.kind.value, refusal.ran.value) == (kind, ran), refusal
