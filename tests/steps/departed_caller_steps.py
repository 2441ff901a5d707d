"""Steps on callers that close their connections before the VM has handled their requests."""

import socket
import threading
import time

import anyio
import anyio.to_thread
from behave import given, then, when

from berylbankd._internal.http_server import HttpServer
from berylbankd._internal.models.types import RequestKind
from tests.steps.faulty_server_steps import (
    AdmittingRateLimiter,
    CountingRequestLog,
    make_answer,
    make_app,
    make_steering,
)
from tests.steps.ingress_steps import KEY

BUSY_S = 0.4
SETTLE_S = 1.0
CLIENT_TIMEOUT_S = 10


def make_request(number):
    return (
        f"GET /x HTTP/1.1\r\nhost: a.example\r\nx-key: {KEY}\r\nx-request-id: r{number}\r\n"
        "x-deadline-ms: 3000\r\n\r\n"
    ).encode()


class ArrivalServer:
    """A backend server that records when each request arrived."""

    def __init__(self):
        self.arrivals = []

    async def handle(self, stream):
        async with stream:
            try:
                while True:
                    data = b""
                    while b"\r\n\r\n" not in data:
                        data += await stream.receive()
                    lines = data.decode().split("\r\n")
                    request_id = next(
                        line.split(":")[1].strip()
                        for line in lines
                        if line.startswith("x-request-id")
                    )
                    self.arrivals.append((request_id, time.monotonic()))
                    await stream.send(make_answer(request_id).encode())
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return


class WaitingRateLimiter:
    """Admits a request after a wait, in which the event loop is kept busy."""

    async def admit(self, organisation):
        await anyio.sleep(0.05)
        time.sleep(BUSY_S)
        return True


def open_and_send(port, number):
    connection = socket.create_connection(("127.0.0.1", port), timeout=CLIENT_TIMEOUT_S)
    connection.sendall(make_request(number))
    return connection


def read_response(connection):
    data = b""
    while b"\r\n\r\nok" not in data:
        received = connection.recv(65_536)
        if not received:
            break
        data += received
    return data


class Scene:
    """A VM's server for callers in one event loop, with a backend server beside it."""

    def __init__(self, has_idle_connection):
        self.has_idle_connection = has_idle_connection
        self.rate_limiter = AdmittingRateLimiter()
        self.work_ms = 0
        self.server = ArrivalServer()

    def run(self, act):
        anyio.run(self._run, act, backend_options={"use_uvloop": True})

    async def _run(self, act):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        steering = make_steering(f"127.0.0.1:{port}", RequestKind.SAFE)
        for state in steering.routing_state.servers.values():
            state.registration = state.registration._replace(slots=1_000)
        app = make_app(steering, CountingRequestLog())
        app.rate_limiter = self.rate_limiter
        self._add_work(steering)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        http_server = HttpServer(app, f"127.0.0.1:{self.port}")
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, self.server.handle)
            await http_server.start()
            run_app = getattr(app, "run", None)
            if run_app is not None:
                group.start_soon(run_app)
            if self.has_idle_connection:
                await anyio.to_thread.run_sync(self.warm_up)
            self.server.arrivals.clear()
            await act(self)
            await http_server.stop(0.1)
            await app.dispatcher.connection_pool.aclose()
            group.cancel_scope.cancel()

    def _add_work(self, steering):
        pick = steering.pick

        def pick_after_work(request, now_ms):
            time.sleep(self.work_ms / 1000)
            return pick(request, now_ms)

        steering.pick = pick_after_work

    def warm_up(self):
        connection = open_and_send(self.port, 0)
        assert read_response(connection).startswith(b"HTTP/1.1 200")
        connection.close()


@given("a VM with an idle connection to a backend server")
def step_idle_connection(context):
    context.scene = Scene(has_idle_connection=True)


@given("a VM with no connection to a backend server")
def step_no_connection(context):
    context.scene = Scene(has_idle_connection=False)


@given("each request takes the VM {ms:d} ms of work")
def step_work(context, ms):
    context.scene.work_ms = ms


@when("{count:d} callers send a request and leave while the VM is busy")
def step_leave_while_busy(context, count):
    def send_and_leave(port):
        connections = [open_and_send(port, number) for number in range(1, count + 1)]
        for connection in connections:
            connection.close()

    async def act(scene):
        thread = threading.Thread(target=send_and_leave, args=(scene.port,))
        thread.start()
        time.sleep(BUSY_S)
        thread.join()
        await anyio.sleep(SETTLE_S)

    context.scene.run(act)


@when("a caller sends a request and leaves while it waits for a token and the VM is busy")
def step_leave_while_waiting(context):
    def send_and_leave(port):
        connection = open_and_send(port, 1)
        time.sleep(0.2)
        connection.close()

    async def act(scene):
        scene.rate_limiter = None
        thread = threading.Thread(target=send_and_leave, args=(scene.port,))
        thread.start()
        await anyio.sleep(SETTLE_S)
        thread.join()

    context.scene.rate_limiter = SwitchedRateLimiter()
    context.scene.run(act)


class SwitchedRateLimiter(WaitingRateLimiter):
    """Admits the first request at once and the others after a wait."""

    def __init__(self):
        self.admitted = 0

    async def admit(self, organisation):
        self.admitted += 1
        return True if self.admitted == 1 else await super().admit(organisation)


@when("{count:d} callers send a request at once and leave after {ms:d} ms")
def step_burst(context, count, ms):
    def send_and_leave(port):
        connections = [open_and_send(port, number) for number in range(1, count + 1)]
        time.sleep(ms / 1000)
        for connection in connections:
            connection.close()
        context.left_s = time.monotonic()

    async def act(scene):
        await anyio.to_thread.run_sync(send_and_leave, scene.port)
        await anyio.sleep(2 * SETTLE_S)

    context.scene.run(act)


@when("{count:d} callers send a request while the VM is busy and wait for the response")
def step_stay(context, count):
    context.responses = []

    def send_and_wait(port):
        connections = [open_and_send(port, number) for number in range(1, count + 1)]
        for connection in connections:
            context.responses.append(read_response(connection))
            connection.close()

    async def act(scene):
        thread = threading.Thread(target=send_and_wait, args=(scene.port,))
        thread.start()
        time.sleep(BUSY_S)
        await anyio.to_thread.run_sync(thread.join)

    context.scene.run(act)
    context.expected = count


@then("no backend server received their requests")
def step_none_received(context):
    assert context.scene.server.arrivals == [], context.scene.server.arrivals


@then("no backend server received a request later than {ms:d} ms after that")
def step_none_late(context, ms):
    arrivals = context.scene.server.arrivals
    late = [name for name, at_s in arrivals if at_s > context.left_s + ms / 1000]
    assert late == [], (len(late), len(arrivals))


@then("all of them are served")
def step_all_served(context):
    served = [item for item in context.responses if item.startswith(b"HTTP/1.1 200")]
    assert len(served) == context.expected, (len(served), context.responses[:2])
