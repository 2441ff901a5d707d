"""Steps on servers of the own interface that respond late or never, on real connections."""

import re
from types import SimpleNamespace

import anyio
from behave import given, then, when

from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.backends.slots import ALL_BACKENDS, ServiceSlots, SlotPool
from berylbankd._internal.entry.dispatch import Dispatcher, IncompleteResponseError
from berylbankd._internal.entry.exchange import Exchange
from berylbankd._internal.refusals import Refusal, RefusalKind
from berylbankd._internal.shifts.controller import SideChoice

TEST_LIMIT_S = 20
SETTLE_S = 2
SLOTS = 4
# Late by the interval of the deadline checks, and by a busy machine.
DEADLINE_MARGIN_MS = 500


class Server:
    """A backend server that treats every request according to ``behaviour``."""

    def __init__(self, name):
        self.name = name
        self.behaviour = "answers in 0 ms"
        self.requests = 0
        self.connections = 0
        self.broken_off = []

    async def start(self, group):
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = f"127.0.0.1:{self.listener.extra(anyio.abc.SocketAttribute.local_port)}"
        group.start_soon(self.serve)

    async def serve(self):
        try:
            await self.listener.serve(self.handle)
        except* anyio.ClosedResourceError:
            pass

    async def handle(self, stream):
        self.connections += 1
        try:
            async with stream:
                await self.serve_requests(stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.connections -= 1

    async def serve_requests(self, stream):
        while True:
            data = b""
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
            self.requests += 1
            if not await self.respond(stream):
                return

    async def respond(self, stream):
        """Return False if the connection must be closed."""
        if self.behaviour == "is silent":
            # Notices when the VM closes the connection.
            await stream.receive()
        elif found := re.fullmatch(r"closes the connection(?: after (\d+) ms)?", self.behaviour):
            await anyio.sleep(int(found[1] or 0) / 1000)
            return False
        elif self.behaviour == "sheds the request":
            await self.send(stream, "503 Busy", "not-run: true\r\n")
        elif self.behaviour == "answers with status 500":
            await self.send(stream, "500 Fault")
        else:
            number = self.requests
            delay_ms = int(re.fullmatch(r"answers in (\d+) ms", self.behaviour)[1])
            with anyio.move_on_after(delay_ms / 1000) as scope:
                try:
                    await stream.receive()
                finally:
                    if not scope.cancel_called:
                        self.broken_off.append(number)
            await self.send(stream, "200 OK")
        return True

    async def send(self, stream, status, headers=""):
        body = self.name
        head = f"HTTP/1.1 {status}\r\n{headers}content-length: {len(body)}\r\n\r\n"
        await stream.send((head + body).encode())


class SilentServerRun:
    """A dispatcher and two servers, of which the first is preferred and has a used connection."""

    def __init__(self, timeout_ms):
        self.service = SimpleNamespace(
            name="desk", prefix="/desk/", timeout_ms=timeout_ms, traffic_class="lookup"
        )
        self.first, self.other = Server("first"), Server("other")
        self.first_behaviour = self.other_behaviour = "answers in 0 ms"
        self.slots_after_ms = None
        self.key_valid = True
        self.usual_latency_ms = 0
        self.messages = []
        self.results = []
        self.left_over = {}

    def run(self, method, cancel_after_ms=None, withdraw_after_ms=None, expire_after_ms=None):
        times = cancel_after_ms, withdraw_after_ms, expire_after_ms
        anyio.run(self._run, method, *times, backend_options={"use_uvloop": True})

    async def _run(self, method, cancel_after_ms, withdraw_after_ms, expire_after_ms):
        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as group:
                await self.first.start(group)
                await self.other.start(group)
                self.make_dispatcher()
                group.start_soon(self.dispatcher.deadline_monitor.run)
                await self.dispatch("GET")
                assert self.result is None, self.result
                assert self.first.requests == 1, "the first server is not the preferred one"
                await self.prepare(group)
                if withdraw_after_ms is not None:
                    group.start_soon(self.withdraw_key, withdraw_after_ms)
                if expire_after_ms is not None:
                    group.start_soon(self.expire_unanswered, expire_after_ms)
                started_ms = self.clock.now_ms()
                with anyio.move_on_after(cancel_after_ms and cancel_after_ms / 1000):
                    await self.dispatch(method)
                self.duration_ms = self.clock.now_ms() - started_ms
                self.record_left_over()
                with anyio.move_on_after(SETTLE_S):
                    while self.count_connections():
                        await anyio.sleep(0.02)
                self.left_over["connections of servers"] = self.count_connections()
                group.cancel_scope.cancel()

    def make_dispatcher(self):
        self.clock = BootClock()
        self.slots = ServiceSlots()
        for distance, server in enumerate((self.first, self.other)):
            backend = SimpleNamespace(name=server.name, address=server.address, draining=False)
            pool = SlotPool(backend, 1_000)
            pool.owned_slots, pool.distance = SLOTS, distance
            self.slots.pools.append(pool)
        controller = SimpleNamespace(
            choose_side=lambda _: SideChoice(ALL_BACKENDS),
            record_result=lambda *result: self.results.append(result),
        )
        coordinator = SimpleNamespace(
            clock=self.clock,
            lease_state=SimpleNamespace(may_act=lambda _: True),
            node=SimpleNamespace(
                leaving=False,
                shift_controller=controller,
                slots=SimpleNamespace(
                    services={self.service.name: self.slots},
                    pools={pool.backend.name: pool for pool in self.slots.pools},
                ),
            ),
            request_loans=lambda: None,
            update_callbacks=[],
        )
        filters = SimpleNamespace(
            may_still_run=lambda _: self.key_valid,
            make_revocation_refusal=lambda _: Refusal(RefusalKind.KEY_WITHDRAWN),
        )
        self.dispatcher = Dispatcher(coordinator, filters)

    async def prepare(self, group):
        self.messages.clear()
        self.results.clear()
        self.first.requests = 0
        self.slots.pools[0].health.latency_ms = self.usual_latency_ms
        self.first.behaviour, self.other.behaviour = self.first_behaviour, self.other_behaviour
        if self.other_behaviour == "gets no retry":
            self.other.behaviour = "answers in 0 ms"
            self.dispatcher.retry_budget.credit = 0
        elif self.other_behaviour == "refuses connections":
            await self.other.listener.aclose()
        elif self.other_behaviour.startswith("has no free slot"):
            self.other.behaviour = "answers in 0 ms"
            # The attempt that runs takes the only slot of the first server.
            self.slots.pools[0].owned_slots, self.slots.pools[1].owned_slots = 1, 0
            if self.slots_after_ms is not None:
                group.start_soon(self.give_slots)

    async def give_slots(self):
        await anyio.sleep(self.slots_after_ms / 1000)
        self.slots.pools[1].owned_slots = SLOTS

    async def withdraw_key(self, after_ms):
        await anyio.sleep(after_ms / 1000)
        self.key_valid = False

    async def expire_unanswered(self, after_ms):
        await anyio.sleep(after_ms / 1000)
        await self.dispatcher.deadline_monitor.expire_unanswered()

    async def dispatch(self, method):
        scope = {"method": method, "path": "/desk/x", "raw_path": b"/desk/x", "query_string": b""}
        exchange = Exchange({**scope, "headers": []}, anyio.sleep_forever, self.send, 0)
        exchange.service = self.service
        self.result = "cancelled"
        try:
            self.result = await self.dispatcher.dispatch(exchange)
        except IncompleteResponseError as error:
            self.result = error

    async def send(self, message):
        self.messages.append(message)

    def count_connections(self):
        """Return how many connections of servers are open that aren't idle ones of the VM."""
        idle = sum(map(len, self.dispatcher.connection_pool.idle.values()))
        return self.first.connections + self.other.connections - idle

    def record_left_over(self):
        own_tasks = [
            task.name
            for task in anyio.get_running_tasks()
            if (task.name or "").startswith("berylbankd")
            and not task.name.endswith("DeadlineMonitor.run")
        ]
        self.left_over = {
            "slots": sum(pool.in_use for pool in self.slots.pools),
            "waiting": self.slots.waiting.total(),
            "connections": len(self.dispatcher.deadline_monitor.active_connections),
            "tasks": len(own_tasks),
        }

    @property
    def answer(self):
        body = b"".join(message.get("body", b"") for message in self.messages)
        status = self.messages[0]["status"] if self.messages else None
        return status, body.decode(), self.result


@given("a service with a timeout of {ms:d} ms and a first server that has answered on a connection")
def step_used_connection(context, ms):
    context.run = SilentServerRun(ms)


@given("the first server {behaviour} from now on")
def step_first_server(context, behaviour):
    context.run.first_behaviour = behaviour


@given("the first server usually answers in {ms:d} ms")
def step_usual_latency(context, ms):
    context.run.usual_latency_ms = ms


@given("another server that has no free slot for {ms:d} ms")
def step_slots_later(context, ms):
    context.run.other_behaviour = "has no free slot"
    context.run.slots_after_ms = ms


@given("another server that {behaviour}")
def step_other_server(context, behaviour):
    context.run.other_behaviour = behaviour


@when("a caller sends a lookup")
def step_request(context):
    context.run.run("GET")


@when("a caller sends a booking once")
def step_booking(context):
    context.run.run("POST")


@when("the grace time of a stop ends {ms:d} ms after a caller has sent a lookup")
def step_grace_ends(context, ms):
    context.run.run("GET", expire_after_ms=ms)


@when("a caller's request is cancelled after {ms:d} ms")
def step_cancel(context, ms):
    context.run.run("GET", cancel_after_ms=ms)


@when("a caller sends a lookup whose key is withdrawn after {ms:d} ms")
def step_withdraw(context, ms):
    context.run.run("GET", withdraw_after_ms=ms)


@then("the caller gets the answer of the first server")
def step_first_answer(context):
    assert context.run.answer == (200, "first", None), context.run.answer


@then("the first server was not broken off while it worked on the caller's first attempt")
def step_not_broken_off(context):
    assert 1 not in context.run.first.broken_off, context.run.first.broken_off


@then("one success of the {name} server is recorded")
def step_recorded(context, name):
    recorded = [failed for backend, _, failed, *_ in context.run.results if backend.name == name]
    assert recorded == [False], context.run.results


@then("the caller gets the answer of the other server within {ms:d} ms")
def step_other_answer(context, ms):
    assert context.run.answer == (200, "other", None), context.run.answer
    assert context.run.duration_ms <= ms, context.run.duration_ms


@then("the caller gets status {status:d} from the other server")
def step_status(context, status):
    assert context.run.answer == (status, "other", None), context.run.answer


def check_refusal(run, kind, ran):
    assert not run.messages, run.messages
    assert isinstance(run.result, Refusal), run.result
    assert (run.result.kind.value, run.result.ran.value) == (kind, ran), run.result


@then('the caller is refused with "{kind}" and "ran" set to "{ran}" after {ms:d} ms')
def step_refused_at(context, kind, ran, ms):
    check_refusal(context.run, kind, ran)
    assert ms <= context.run.duration_ms <= ms + DEADLINE_MARGIN_MS, context.run.duration_ms


@then('the caller is refused with "{kind}" and "ran" set to "{ran}" within {ms:d} ms')
def step_refused_within(context, kind, ran, ms):
    check_refusal(context.run, kind, ran)
    assert context.run.duration_ms <= ms, context.run.duration_ms


@then("the servers got {count:d} request")
def step_request_count(context, count):
    requests = context.run.first.requests + context.run.other.requests
    assert requests == count, requests


@then("no slot, connection or task is left over")
def step_nothing_left(context):
    assert not any(context.run.left_over.values()), context.run.left_over
