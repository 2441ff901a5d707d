"""Steps on what backend servers say of themselves in their responses."""

import json

import anyio
from behave import given, then, when

from berylbankd._internal.models.types import RequestKind
from berylbankd._internal.platform.headers import PlatformHeaderCodec
from berylbankd._internal.steering.picks import PickRequest
from berylbankd._internal.steering.steering import Steering
from tests.steps.faulty_server_steps import (
    CountingRequestLog,
    ScriptedServer,
    call_app,
    make_app,
)
from tests.steps.ingress_steps import install_keys
from tests.steps.steering_steps import ROUTE
from tests.support.steering import ROW_CODEC, make_deployment, server_row

SIGNED_HEAD = "x-request-id: {id}\r\nx-server-signature: s\r\n"
LEAVING_HEADER = "server-leaving: 1\r\n"
RESPONSES = {
    "a success": "HTTP/1.1 200 OK\r\n" + SIGNED_HEAD + LEAVING_HEADER,
    "a refusal": "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nx-request-id: {id}\r\n"
    + LEAVING_HEADER,
    "an error": "HTTP/1.1 500 Error\r\n" + SIGNED_HEAD + LEAVING_HEADER,
}
PAUSE_HEAD = "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nx-request-id: {id}\r\nretry-after: 5\r\n"
OK_RESPONSE = "HTTP/1.1 200 OK\r\n" + SIGNED_HEAD + "content-length: 2\r\n\r\nok"
BODY = "content-length: 2\r\n\r\nno"


class NotingServer(ScriptedServer):
    """A backend server that counts its requests and answers all of them with one response."""

    def __init__(self, response):
        super().__init__(self.answer)
        self.response = response
        self.request_ids = []

    async def answer(self, _server, stream, _number, request_id):
        self.request_ids.append(request_id)
        await self.send(stream, self.response.format(id=request_id))


async def run_against(servers, send_requests):
    """Run ``send_requests`` with an application that prefers the first of the given servers."""
    steering = Steering(make_deployment("vm-0", "a"), ROW_CODEC, 1, 0)
    async with anyio.create_task_group() as group:
        for number, server in enumerate(servers):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            group.start_soon(listener.serve, server.handle)
            # Of two idle servers s1 ranks before s0 for requests without an object.
            server_id = f"s{len(servers) - 1 - number}"
            row = server_row(server_id, number + 1, address=f"127.0.0.1:{port}")
            steering.routing_state.apply_row(row, 0)
        install_keys(steering, "alder")
        steering.routing_state.routes = {
            ROUTE.host: [ROUTE._replace(kind=RequestKind.SAFE, max_attempts=2)]
        }
        steering.tick(250, 250)
        app = make_app(steering, CountingRequestLog())
        group.start_soon(app.run)
        await send_requests(app)
        await app.dispatcher.connection_pool.aclose()
        group.cancel_scope.cancel()


@given("two servers, the first of which says in {response} that it leaves")
def step_two_servers(context, response):
    context.servers = [NotingServer(RESPONSES[response] + BODY), NotingServer(OK_RESPONSE)]


@given("one server, which says in {response} that it leaves")
def step_one_server(context, response):
    context.servers = [NotingServer(RESPONSES[response] + BODY)]


@when("{count:d} callers read one after another")
def step_read_in_turn(context, count):
    context.responses = []

    async def send_requests(app):
        for number in range(count):
            context.responses.append(await call_app(app, f"r{number}"))

    anyio.run(run_against, context.servers, send_requests)


@then("the first server got {count:d} request")
def step_first_got(context, count):
    assert len(context.servers[0].request_ids) == count, context.servers[0].request_ids


@then("every caller was served by the second server or got the first one's response")
def step_all_answered(context):
    first_ids, second_ids = (server.request_ids for server in context.servers)
    for number, events in enumerate(context.responses):
        if f"r{number}" not in first_ids:
            assert f"r{number}" in second_ids and events[0]["status"] == 200, events


@then("the other callers got 503 and were told that their requests did not run")
def step_others_refused(context):
    for events in context.responses[1:]:
        assert events[0]["status"] == 503, events
        assert json.loads(events[1]["body"])["ran"] == "no"


@given("a server that answers 503 with Retry-After 5, and takes connections slowly")
def step_slow_server(context):
    context.servers = [NotingServer(PAUSE_HEAD + BODY)]


@when("10 callers read at once, and 10 more 100 ms later")
def step_two_waves(context):
    async def send_requests(app):
        acquire = app.dispatcher.connection_pool.acquire

        async def acquire_slowly(*arguments, **keywords):
            connection = await acquire(*arguments, **keywords)
            await anyio.sleep(0.2)
            return connection

        app.dispatcher.connection_pool.acquire = acquire_slowly
        async with anyio.create_task_group() as group:
            for number in range(20):
                if number == 10:
                    await anyio.sleep(0.1)
                group.start_soon(call_app, app, f"r{number}")

    anyio.run(run_against, context.servers, send_requests)


@then("the server got at most {count:d} requests")
def step_at_most(context, count):
    assert len(context.servers[0].request_ids) <= count, context.servers[0].request_ids


# With virtual time


def make_pick_request(number):
    return PickRequest(ROUTE, "desk", f"object-{number}", frozenset(), frozenset(), 60_000)


def read_response(context, number, status, headers):
    metadata = PlatformHeaderCodec().decode_response(status, headers)
    state = context.steering.routing_state.servers[f"s{number}"]
    context.steering.record_notices(state, metadata.notices, context.now_ms, context.now_ms)


@given("{count:d} known servers")
def step_known_servers(context, count):
    context.now_ms = 0
    context.steering = Steering(make_deployment("vm-0", "a"), ROW_CODEC, 1, 0)
    for number in range(count):
        row = server_row(f"s{number}", number + 1, address=f"10.0.0.{number + 1}:80")
        context.steering.routing_state.apply_row(row, 0)
    install_keys(context.steering, "alder")
    context.steering.tick(250, 0)


@given("{count:d} known servers, {leaving:d} of which has said that they leave")
@given("{count:d} known servers, {leaving:d} of which have said that they leave")
def step_leaving_servers(context, count, leaving):
    step_known_servers(context, count)
    for number in range(leaving):
        read_response(context, number, 200, [(b"server-leaving", b"1")])


@when("the first one answers 503 with Retry-After {header} at {ms:d} ms")
def step_pause(context, header, ms):
    context.now_ms = ms
    read_response(context, 0, 503, [(b"retry-after", header.encode())])


@when("all of them answer 503 with Retry-After {header} at {ms:d} ms")
def step_all_pause(context, header, ms):
    context.now_ms = ms
    for number in range(len(context.steering.routing_state.servers)):
        read_response(context, number, 503, [(b"retry-after", header.encode())])


@when("the registration of the first one changes without a new start")
def step_changed_registration(context):
    row = server_row("s0", 90, address="10.0.0.1:80")
    context.steering.routing_state.apply_row(row, 0)


@when("the first one registers a new start")
def step_new_start(context):
    row = server_row("s0", 91, address="10.0.0.1:80", born=2)
    context.steering.routing_state.apply_row(row, 0)


def pick_servers(context, count, ms):
    picks = [context.steering.pick(make_pick_request(n), ms) for n in range(count)]
    return {pick.server.registration.id for pick in picks if pick is not None}


@then("{count:d} picks at {ms:d} ms use only the {which} server")
def step_picks_one(context, count, ms, which):
    expected = {"second": "s1", "fifth": "s4"}[which]
    assert pick_servers(context, count, ms) == {expected}, pick_servers(context, count, ms)


@then("{count:d} picks at {ms:d} ms use both servers")
def step_picks_both(context, count, ms):
    assert pick_servers(context, count, ms) == {"s0", "s1"}, pick_servers(context, count, ms)


@then("no pick at {ms:d} ms finds a server")
def step_no_pick(context, ms):
    assert pick_servers(context, 50, ms) == set()


@then("callers refused at {ms:d} ms are told to return after {seconds:d} s or later")
def step_return_later(context, ms, seconds):
    assert context.steering.retry_after_s("desk", ms) >= seconds
