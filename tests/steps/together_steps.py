"""Steps on requests and attempts beside each other while backend servers are silent."""

import anyio
from behave import given, then, when

from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.types import ReleaseOrder, RequestKind
from berylbankd._internal.steering.releases import Release
from tests.steps.faulty_server_steps import OK_HEAD, make_scope
from tests.steps.silent_server_steps import Caller, SilentScene, SlowServer, find_answer
from tests.steps.steering_steps import ROUTE
from tests.support.steering import server_row

MANY_SLOTS = 100
# Later than the revisions of the rows that the scene has applied.
ROW_REVISION = 100
RETRY_CREDIT = 1_000_000.0


class TogetherServer(SlowServer):
    """A server that counts the requests it has at a time, or sends unusual headers and bodies."""

    def __init__(self, name, behaviour):
        super().__init__(name, behaviour)
        self.running = self.most_running = 0

    async def act(self, stream, request_id):
        self.running += 1
        self.most_running = max(self.running, self.most_running)
        try:
            if self.behaviour.startswith("digits in "):
                name = self.behaviour.removeprefix("digits in ")
                value = {"keep-alive": "timeout={}", "x-server-load": "1,{},4"}[name]
                head = OK_HEAD.format(id=request_id) + f"{name}: {value.format('9' * 5_000)}\r\n"
                await self.send(stream, head + "content-length: 2\r\n\r\nno")
            elif self.behaviour.startswith("times out after "):
                await anyio.sleep(int(self.behaviour.split()[3]) / 1000)
                await self.send(stream, self.make_response(request_id, 504))
            elif self.behaviour == "late bytes":
                head = OK_HEAD.format(id="earlier") + "content-length: 70000\r\n\r\n"
                await self.send(stream, head + "x" * 70_000)
                await anyio.sleep(0.3)
                await self.send(stream, self.make_response(request_id, 200))
            else:
                await super().act(stream, request_id)
        finally:
            self.running -= 1


class TogetherScene(SilentScene):
    """Several requests at once; ``rows`` are the slots and the version of each server."""

    def __init__(self):
        super().__init__()
        self.callers = 1
        self.rows = []
        self.release = None
        self.reported_load = None
        self.usual_ms = None
        self.extra_headers = []

    def add(self, behaviour, slots=4, version="v1"):
        self.servers.append(TogetherServer(f"server {len(self.servers)}", behaviour))
        self.rows.append((slots, version))

    async def _start_servers(self, group):
        await super()._start_servers(group)
        for number, (server, (slots, version)) in enumerate(
            zip(self.servers, self.rows, strict=True)
        ):
            registration = server.state.registration
            info = {"service": "desk", "version": version, "zone": "a", "capacity": slots}
            row = server_row(
                registration.id, ROW_REVISION + number, address=registration.address, info=info
            )
            self.steering.routing_state.apply_row(row, 0)
            server.state = self.steering.routing_state.servers[registration.id]
        if self.release is not None:
            self.steering.routing_state.stable_version = lambda _: "v1"

    async def _send(self, wait_ms, budget):
        budget.slack = budget.credit = RETRY_CREDIT
        if self.release is not None:
            self.steering.releases["desk"] = self.release
        if self.usual_ms is not None:
            self.steering.baseline_latency.record(ROUTE.name, self.usual_ms, self.usual_ms)
        await anyio.sleep(0.1)
        async with anyio.create_task_group() as group:
            if self.room_after_s is not None:
                group.start_soon(self._make_room)
            for number in range(self.callers):
                scope = make_scope(f"r{number}", "GET", wait_ms)
                scope["headers"] = [*self.extra_headers, *scope["headers"]]
                group.start_soon(self.app, scope, self.caller.receive, self.caller.send)
            if self.reported_load is not None:
                await anyio.sleep(0.1)
                state = self.servers[1].state
                state.record_load_report(self.reported_load, 0, BootClock().now_ms())
        await self.app.dispatcher.connection_pool.aclose()


@given("two servers, of which the first never answers and the second has one slot after {ms:d} ms")
def step_one_slot(context, ms):
    scene = context.scene = TogetherScene()
    scene.add("never answers", MANY_SLOTS)
    scene.add("answers after 300 ms", 1)
    scene.room_after_s = ms / 1000


@given("two servers, of which the first never answers and the second has the new version")
def step_new_version(context):
    scene = context.scene = TogetherScene()
    scene.add("never answers", MANY_SLOTS)
    scene.add("answers", MANY_SLOTS, "v2")
    scene.release = Release(ReleaseOrder("desk", "v2", 600_000, 1), Bounds(), 0)


@given("a server of a service that is being released, which never answers bookings")
def step_released_server(context):
    scene = context.scene = TogetherScene()
    scene.kind = RequestKind.UNSAFE
    scene.add("never answers", MANY_SLOTS)
    scene.release = Release(ReleaseOrder("desk", "v2", 600_000, 1), Bounds(), 0)


@when("it is given {ms:d} ms")
def step_book(context, ms):
    context.scene.run(ms)


@when("it is given {ms:d} ms and its caller leaves after {leave_ms:d}")
def step_book_and_leave(context, ms, leave_ms):
    context.scene.caller = Caller(leave_ms / 1000)
    context.scene.run(ms)


@given("a server of a service that is being released, which answers 504 after {ms:d} ms")
def step_server_timeout(context, ms):
    scene = context.scene = TogetherScene()
    scene.kind = RequestKind.UNSAFE
    scene.add(f"times out after {ms} ms", MANY_SLOTS)
    scene.release = Release(ReleaseOrder("desk", "v2", 600_000, 1), Bounds(), 0)


@given("the old version usually responds within {ms:d} ms")
def step_usual_latency(context, ms):
    context.scene.usual_ms = ms


@when("its caller gives it {ms:d} ms of a timeout of {timeout_ms:d}")
def step_book_shortly(context, ms, timeout_ms):
    context.scene.route_timeout_ms = timeout_ms
    context.scene.run(ms)


@then("{count:d} bad responses count against its version")
def step_bad_responses_alone(context, count):
    counts = context.scene.release.route_counts.values()
    assert sum(item.old_bad for item in counts) == count, [vars(item) for item in counts]


@then("{count:d} bad responses count against its version, and none against the server")
def step_bad_responses(context, count):
    step_bad_responses_alone(context, count)
    assert context.scene.servers[0].request_ids, "no request was sent to the server"
    assert context.scene.servers[0].state.failures == 0


@given("a server that answers after {ms:d} ms, and one that sends a {header} of 5000 digits")
def step_digits(context, ms, header):
    scene = context.scene = TogetherScene()
    scene.add(f"answers after {ms} ms")
    scene.add(f"digits in {header}")


@given("a server that answers after {ms:d} ms, and one that reports a load of {digits:d} digits")
def step_load(context, ms, digits):
    scene = context.scene = TogetherScene()
    scene.add(f"answers after {ms} ms")
    scene.add("answers")
    scene.reported_load = int("9" * digits)


@given("a server with an idle connection that sends 70000 late bytes before it answers")
def step_late_bytes(context):
    scene = context.scene = TogetherScene()
    scene.add("late bytes")
    scene.has_idle_connection = True


@when("{count:d} callers who wait {ms:d} ms read at once")
def step_read_at_once(context, count, ms):
    context.scene.callers = count
    context.scene.caller = Caller()
    context.scene.run(ms)


@when("a caller who waits {ms:d} ms reads from one of them")
def step_read_one(context, ms):
    context.scene.run(ms)


@then("the second server had no more than {count:d} requests at a time")
def step_most_running(context, count):
    server = context.scene.servers[1]
    assert server.request_ids, "no request was sent to the second server"
    assert server.most_running <= count, server.most_running


@then("the second server got no more than its share of {count:d} attempts and one")
def step_share(context, count):
    server, share = context.scene.servers[1], context.scene.release.current_share()
    assert len(server.request_ids) <= share * count + 1, (len(server.request_ids), share)


@when("a request has a second {name}, which says {value}")
def step_repeated_field(context, name, value):
    context.scene = TogetherScene()
    context.scene.add("answers")
    context.scene.extra_headers = [(name.encode(), value.encode())]
    context.scene.run(1_000)


@then("it is refused as malformed, and no server gets it")
def step_malformed(context):
    status, body = find_answer(context.scene)
    assert status == 400, (status, body)
    assert not context.scene.servers[0].request_ids


@then("the caller has the answer of the server at work")
def step_answer_at_work(context):
    status, body = find_answer(context.scene)
    assert (status, body) == (200, b"server 0"), (status, body)


@then("the caller has the whole answer of a server")
def step_whole_answer(context):
    status, body = find_answer(context.scene)
    # Which one is first depends on what the VM makes of the header.
    assert status == 200 and body in (b"server 0", b"server 1", b"no"), (status, body)
