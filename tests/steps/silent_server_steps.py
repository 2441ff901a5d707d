"""Steps on backend servers that send nothing for some time while they work on a request."""

import asyncio
import contextlib

import anyio
from behave import given, then, when

from berylbankd._internal.models.types import RequestKind
from berylbankd._internal.steering.steering import Steering
from tests.steps.faulty_server_steps import (
    OK_HEAD,
    CountingRequestLog,
    ScriptedServer,
    make_app,
    make_refusal,
    make_scope,
)
from tests.steps.ingress_steps import install_keys
from tests.steps.steering_steps import ROUTE
from tests.support.steering import ROW_CODEC, make_deployment, server_row

OBJECTIVE_MS = 100
# With this mean a server counts as silent after 250 ms, without any after 1,200 ms.
MEAN_SERVICE_MS = 30.0
# Longer than every test.
PAUSE_MS = 600_000
SETTLE_S = 0.1
PARTS = 14
PART_BYTES = 1_000
PART_INTERVAL_S = 0.05
LATE_RESPONSES = 8
# Requests that are sent before the one under test, to leave an idle connection.
FIRST_ID = "first"
REQUEST_ID = "r1"


class SlowServer(ScriptedServer):
    """A backend server that counts the requests under test and its open connections."""

    def __init__(self, name, behaviour):
        super().__init__(self.respond)
        self.name = name
        self.behaviour = behaviour
        self.request_ids = []
        self.connections = 0

    async def handle(self, stream):
        self.connections += 1
        try:
            await super().handle(stream)
        finally:
            self.connections -= 1

    async def respond(self, _server, stream, number, request_id):
        if request_id == FIRST_ID:
            await self.send(stream, self.make_response(request_id, 200))
            return
        self.request_ids.append(request_id)
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, stream, group.cancel_scope)
            # The VM may close the connection.
            with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await self.act(stream, request_id)
            group.cancel_scope.cancel()

    async def _watch(self, stream, scope):
        """End the work when the other end closes the connection."""
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()

    async def act(self, stream, request_id):
        verb, *rest = self.behaviour.split(" ")
        if verb in ("answers", "fails", "refuses", "breaks") and rest and rest[0] == "after":
            await anyio.sleep(int(rest[1]) / 1000)
        if self.behaviour.startswith("never"):
            await anyio.sleep_forever()
        elif verb == "answers":
            await self.send(stream, self.make_response(request_id, 200))
        elif verb == "fails":
            await self.send(stream, self.make_response(request_id, 500))
        elif verb == "refuses":
            await self.send(stream, make_refusal(request_id))
        elif verb == "breaks":
            await self.send(stream, OK_HEAD.format(id=request_id) + "content-length: 9\r\n\r\nx")
            await stream.aclose()
        elif self.behaviour == "sends its response in parts":
            await self.send_parts(stream, request_id)
        elif self.behaviour == "stalls in its response":
            await self.send(stream, OK_HEAD.format(id=request_id) + "content-length: 9\r\n\r\nx")
            await anyio.sleep_forever()
        elif self.behaviour == "repeats a refusal without an id before it answers":
            await self.send(stream, make_refusal(""))
            await anyio.sleep(0.1)
            await self.send(stream, self.make_response(request_id, 200))
        elif self.behaviour == "sends a refusal without an id and nothing else":
            await self.send(stream, make_refusal(""))
            await anyio.sleep_forever()
        elif self.behaviour == "sends a refusal without an id and closes":
            await self.send(stream, make_refusal(""))
            await anyio.sleep(0.1)
            await stream.aclose()
        elif self.behaviour == "sends late responses before it answers":
            for _ in range(LATE_RESPONSES):
                await self.send(stream, self.make_response("earlier", 200))
            await self.send(stream, self.make_response(request_id, 200))
        else:
            raise ValueError(f"no behaviour {self.behaviour!r}")

    async def send_parts(self, stream, request_id):
        head = OK_HEAD.format(id=request_id) + f"content-length: {PARTS * PART_BYTES}\r\n\r\n"
        await self.send(stream, head)
        for _ in range(PARTS):
            await self.send(stream, self.name[-1] * PART_BYTES)
            await anyio.sleep(PART_INTERVAL_S)

    def make_response(self, request_id, status):
        head = OK_HEAD.replace("200 OK", f"{status} X").format(id=request_id)
        return head + f"content-length: {len(self.name)}\r\n\r\n{self.name}"


class Caller:
    """Sends a request without a body, and leaves after some time if it has been told to."""

    def __init__(self, leave_after_s=None):
        self.leave_after_s = leave_after_s
        self.events = []

    async def receive(self):
        if self.leave_after_s is None:
            await anyio.sleep_forever()
        await anyio.sleep(self.leave_after_s)
        return {"type": "http.disconnect"}

    async def send(self, event):
        self.events.append(event)


class SilentScene:
    """A VM with backend servers on loopback, the first of which gets a request first."""

    def __init__(self):
        self.servers = []
        self.kind = RequestKind.SAFE
        self.max_attempts = 2
        self.route_timeout_ms = None
        self.mean_service_ms = MEAN_SERVICE_MS
        self.budget_spent_after_s = None
        self.room_after_s = None
        self.has_idle_connection = False
        self.caller = Caller()
        self.request_log = CountingRequestLog()

    def add_server(self, behaviour):
        self.servers.append(SlowServer(f"server {len(self.servers)}", behaviour))

    def run(self, wait_ms):
        anyio.run(self._run, wait_ms)

    async def _run(self, wait_ms):
        steering = self.steering = Steering(make_deployment("vm-0", "a"), ROW_CODEC, 1, 0)
        async with anyio.create_task_group() as group:
            await self._start_servers(group)
            install_keys(steering, "alder")
            route = ROUTE._replace(
                kind=self.kind,
                timeout_ms=self.route_timeout_ms or wait_ms,
                objective_ms=OBJECTIVE_MS,
                max_attempts=self.max_attempts,
            )
            steering.routing_state.routes = {ROUTE.host: [route]}
            steering.tick(250, 250)
            app = self.app = make_app(steering, self.request_log)
            group.start_soon(app.run)
            if self.has_idle_connection:
                await app(make_scope(FIRST_ID, "GET", 1_000), anyio.sleep_forever, Caller().send)
            steering.mean_service_ms.clear()
            if self.mean_service_ms:
                steering.mean_service_ms["desk"] = self.mean_service_ms
            budget = steering.retry_budget("desk")
            budget.ratio, budget.credit = 0.0, 2.0
            await self._send(wait_ms, budget)
            group.cancel_scope.cancel()

    async def _start_servers(self, group):
        for number, server in enumerate(self.servers):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            if server.behaviour == "accepts no connection":
                await listener.aclose()
            else:
                group.start_soon(listener.serve, server.handle)
            # Of idle servers the one with the highest number ranks first.
            server_id = f"s{len(self.servers) - 1 - number}"
            row = server_row(server_id, number + 1, address=f"127.0.0.1:{port}")
            self.steering.routing_state.apply_row(row, 0)
            server.state = self.steering.routing_state.servers[server_id]
            if server.behaviour == "has no room" or (number and self.room_after_s is not None):
                server.state.paused_until_ms = PAUSE_MS + 1_000_000_000_000

    async def _make_room(self):
        await anyio.sleep(self.room_after_s)
        self.servers[1].state.paused_until_ms = 0

    async def _spend_budget(self, budget):
        await anyio.sleep(self.budget_spent_after_s)
        while budget.take():
            pass

    async def _send(self, wait_ms, budget):
        method = "GET" if self.kind is RequestKind.SAFE else "POST"
        # The listeners' own tasks have started after this.
        await anyio.sleep(SETTLE_S)
        tasks_before = len(asyncio.all_tasks())
        started_s = anyio.current_time()
        scope = make_scope(REQUEST_ID, method, wait_ms)
        async with anyio.create_task_group() as group:
            if self.budget_spent_after_s is not None:
                group.start_soon(self._spend_budget, budget)
            if self.room_after_s is not None:
                group.start_soon(self._make_room)
            await self.app(scope, self.caller.receive, self.caller.send)
        self.took_ms = (anyio.current_time() - started_s) * 1000
        await anyio.sleep(SETTLE_S)
        self.connections_after = [server.connections for server in self.servers]
        await self.app.dispatcher.connection_pool.aclose()
        await anyio.sleep(SETTLE_S)
        self.open_connections = [server.connections for server in self.servers]
        self.new_tasks = len(asyncio.all_tasks()) - tasks_before


@given("a {first} server that {behaviour}")
def step_server(context, first, behaviour):
    if first == "first":
        context.scene = SilentScene()
    context.scene.add_server(behaviour)


@given("requests of up to {count:d} attempts")
def step_attempts(context, count):
    context.scene.max_attempts = count


@given("the retry budget is spent by another request after {ms:d} ms")
def step_budget(context, ms):
    context.scene.budget_spent_after_s = ms / 1000


@given("the VM has just started")
def step_no_history(context):
    context.scene.mean_service_ms = None


@given("the second server has room after {ms:d} ms")
def step_room(context, ms):
    context.scene.room_after_s = ms / 1000


@given("the VM has an idle connection to the first server")
def step_idle(context):
    context.scene.has_idle_connection = True


@when("a caller who waits {ms:d} ms {verb}")
def step_read(context, ms, verb):
    if verb == "books":
        context.scene.kind = RequestKind.UNSAFE
    context.scene.run(ms)


@when("a caller who waits {ms:d} ms reads and leaves after {leave_ms:d} ms")
def step_leave(context, ms, leave_ms):
    context.scene.caller = Caller(leave_ms / 1000)
    context.scene.run(ms)


NUMBERS = {"first": 0, "second": 1, "third": 2}


def find_answer(scene):
    events = scene.caller.events
    body = b"".join(event.get("body", b"") for event in events[1:])
    return events[0]["status"], body


@then("the caller gets the {which} server's {response}")
def step_answer(context, which, response):
    scene = context.scene
    name = scene.servers[NUMBERS[which]].name
    status, body = find_answer(scene)
    expected = {"answer": (200, name.encode()), "failure": (500, name.encode())}
    expected["whole response"] = (200, name[-1].encode() * PARTS * PART_BYTES)
    assert (status, body) == expected[response], (status, body[:200], scene.request_log.silences)


@then("the caller gets {status:d} from the VM after {ms:d} ms")
def step_refusal(context, status, ms):
    found, body = find_answer(context.scene)
    assert found == status, (found, body)
    assert (b"x-server-signature", b"s") not in context.scene.caller.events[0]["headers"]
    assert b'"unknown"' in body, body
    assert ms - 50 <= context.scene.took_ms <= ms + 150, context.scene.took_ms


@then("the first server was told to end {ms:d} ms before the caller's answer")
def step_told(context, ms):
    lines = context.scene.servers[0].last_request.lower().split(b"\r\n")
    told_ms = next(int(line.split(b":")[1]) for line in lines if line.startswith(b"x-deadline-ms:"))
    assert told_ms + ms <= context.scene.took_ms, (told_ms, context.scene.took_ms)


@then("the caller waited no longer than {ms:d} ms")
def step_waited(context, ms):
    assert context.scene.took_ms <= ms, context.scene.took_ms


@then("the {which} server got {count:d} request")
@then("the {which} server got {count:d} requests")
def step_requests(context, which, count):
    server = context.scene.servers[NUMBERS[which]]
    assert len(server.request_ids) == count, server.request_ids


@then("nothing of the request is left")
def step_nothing_left(context):
    scene = context.scene
    assert scene.new_tasks <= 0, scene.new_tasks
    assert scene.app.dispatcher.total_buffered_bytes == 0, scene.app.dispatcher.total_buffered_bytes
    assert [server.state.in_flight for server in scene.servers] == [0] * len(scene.servers)
    assert scene.open_connections == [0] * len(scene.servers), scene.open_connections


@then("the connections of all servers were closed at once")
def step_closed(context):
    scene = context.scene
    assert all(server.request_ids for server in scene.servers)
    assert scene.connections_after == [0] * len(scene.servers), scene.connections_after


@then("the {which} server has {count:d} failure on record")
@then("the {which} server has {count:d} failures on record")
def step_failures(context, which, count):
    state = context.scene.servers[NUMBERS[which]].state
    assert state.failures == count, state.failures


@then('the log names the first server once, the time left, and "{next_step}"')
def step_log(context, next_step):
    (record,) = [
        item
        for item in context.scene.request_log.silences
        if item.server == context.scene.servers[0].state.registration.id
    ]
    assert record.request_id == REQUEST_ID and record.next == next_step, record
    assert 200 <= record.waited_ms <= 400 and record.remaining_ms > 500, record


@then("the time of its answer does not count as a service time")
def step_service_time(context):
    scene = context.scene
    assert scene.steering.mean_service_ms.get("desk", 0) == scene.mean_service_ms
    assert "desk" not in scene.steering.longest_recent_ms
