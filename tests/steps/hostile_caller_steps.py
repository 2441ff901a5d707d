"""Steps on callers that send or hold too much, against a VM of their own."""

import re
import resource
import time
from contextlib import ExitStack
from pathlib import Path

import httpx
from anyio.from_thread import start_blocking_portal
from behave import given, then, when
from steering_fleet import (
    API_KEY,
    SMALL_BUFFERS_ENVIRONMENT,
    VmResources,
    open_steering_fleet,
)

from berylbank_standins._internal.steered_backend import SteeredBehaviour
from tests.support.crowd import Crowd, Sending, start_crowd_process

MAX_HEADER_BYTES = 4_096
MAX_BODY_BYTES = 1_000_000
CALLER_LIMITS = (
    ("maxHeaderBytes", MAX_HEADER_BYTES),
    ("maxBodyBytes", MAX_BODY_BYTES),
    ("headerTimeoutS", 3),
    ("idleTimeoutS", 15),
)
SHORT_LIMITS = {"headerTimeoutS": 1, "idleTimeoutS": 1}
ROUTE_TIMEOUT_S = 30
RESPONSE_BYTES = 900_000
# Only ends a scenario that has failed already.
GIVE_UP_S = 40.0
REFUSED_STATUSES = (b"400", b"408", b"413", b"431")
MEGABYTE = 1_000_000

GET = b"GET /open/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: hostile\r\n"
POST = b"POST /open/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: hostile\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LONG_BODY = b"Content-Length: %d\r\n\r\n"
CHUNK = b"400\r\n" + b"x" * 0x400 + b"\r\n"

# What is sent without end. Small pieces grow most in memory, so less of them is sent.
ENDLESS = {
    "head lines": Sending(GET, b"a: b\r\n", 4 * MEGABYTE),
    "a header name": Sending(GET, b"n" * 1_024, 32 * MEGABYTE),
    "a header value": Sending(GET + b"a: ", b"v" * 1_024, 32 * MEGABYTE),
    "a request target": Sending(b"GET /open/", b"t" * 1_024, 32 * MEGABYTE),
    "empty lines": Sending(b"", b"\r\n", 32 * MEGABYTE),
    "trailer lines": Sending(CHUNKED + b"1\r\nx\r\n0\r\n", b"a: b\r\n", 4 * MEGABYTE),
    "a trailer value": Sending(CHUNKED + b"1\r\nx\r\n0\r\na: ", b"v" * 1_024, 32 * MEGABYTE),
    "a chunk extension": Sending(CHUNKED + b"1;", b"e" * 1_024, 32 * MEGABYTE),
    "a body in chunks": Sending(CHUNKED, CHUNK, 32 * MEGABYTE),
    "a body by length": Sending(POST + LONG_BODY % 10**12, b"x" * 1_024, 32 * MEGABYTE),
    "a body for one": Sending(
        b"GET /v1/resolve HTTP/1.1\r\n" + LONG_BODY % 10**12, b"x" * 1_024, 32 * MEGABYTE
    ),
}
# What is sent ahead: whole requests, one behind the other.
AHEAD = {
    "bare request lines": b"GET / HTTP/1.1\r\n\r\n",
    "requests with a host": b"GET /open/x HTTP/1.1\r\nHost: a.example\r\n\r\n",
    "posts without headers": b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "complete requests": GET + b"X-Deadline-Ms: 1000\r\n\r\n",
}
AHEAD_BYTES = 131_072
MANY_AHEAD_BYTES = 262_144
ENDLESS_BYTES = 10**9
ORDINARY_REQUESTS = 5
# What is sent once, after which the connection is held.
HELD = {
    "half a head": GET,
    "no byte": b"",
    "half a body": POST + LONG_BODY % 1_000 + b"x" * 500,
    "most of a body": POST + LONG_BODY % 256_000 + b"x" * 240_000,
    "one request answered": GET + b"\r\n",
    "a long answer not read": GET + b"\r\n",
    "a body of a byte a while": POST + b"X-Deadline-Ms: 1000\r\n" + LONG_BODY % 1_000,
}


# Requests that fill the limits, as a head's lines and a body.
KEYED = [b"Host: a.example", b"X-Request-Id: full", b"X-Key: " + API_KEY.encode()]
GET_LINES = [b"GET /reads/x HTTP/1.1", *KEYED]
POST_LINES = [b"POST /reads/x HTTP/1.1", *KEYED]
CHUNKED_LINES = [*POST_LINES, b"Transfer-Encoding: chunked"]
ONE_BYTE_CHUNKS = 20_000


def join_head(lines):
    return b"\r\n".join([*lines, b"", b""])


def fill_head(line):
    """Return the lines of a head of the largest allowed size, made of one line or many."""
    missing = MAX_HEADER_BYTES - len(join_head(GET_LINES))
    if not line:
        return [*GET_LINES, b"a: " + b"v" * (missing - len(b"a: \r\n"))]
    count = missing // len(line + b"\r\n") - 1
    rest = missing - count * len(line + b"\r\n") - len(b"a: \r\n")
    return [*GET_LINES, *[line] * count, b"a: " + b"v" * rest]


FULL_REQUESTS = {
    "a head of short lines": join_head(fill_head(b"a: b")),
    "a head with one long value": join_head(fill_head(b"")),
    "a body by length": join_head([*POST_LINES, b"Content-Length: %d" % MAX_BODY_BYTES])
    + b"x" * MAX_BODY_BYTES,
    "a body in chunks of one byte": join_head(CHUNKED_LINES)
    + b"1\r\nx\r\n" * ONE_BYTE_CHUNKS
    + b"0\r\n\r\n",
    "a body in chunks and trailers": join_head(CHUNKED_LINES)
    + b"%x\r\n" % MAX_BODY_BYTES
    + b"x" * MAX_BODY_BYTES
    + b"\r\n0\r\n"
    + b"X-Request-Id: other\r\n"
    + b"a: b\r\n" * (MAX_HEADER_BYTES // 8)
    + b"\r\n",
}


def open_vm(context, resources, behaviour=None, environment=None):
    """Start a VM with two backend servers, for the rest of the scenario."""
    close_vm(context)
    context.hostile_stack = stack = ExitStack()
    portal = context.hostile_portal = stack.enter_context(start_blocking_portal())
    manager = portal.wrap_async_context_manager(
        open_steering_fleet(
            vms=1,
            servers=2,
            behaviour=behaviour,
            environment=environment,
            resources=resources._replace(route_timeout_s=ROUTE_TIMEOUT_S),
        )
    )
    context.hostile_fleet = stack.enter_context(manager)
    context.hostile_resources = resources
    vm = context.hostile_fleet.vms[0]
    # As on a VM of the platform, the kernel enforces the number of descriptors.
    limit = resources.max_descriptors
    resource.prlimit(vm.process.pid, resource.RLIMIT_NOFILE, (limit, limit))


def close_vm(context):
    stack = getattr(context, "hostile_stack", None)
    if stack is not None:
        context.hostile_stack = None
        stack.close()


def find_address(context, port):
    fleet = context.hostile_fleet
    ports = {
        "callers": fleet.http_port,
        "look-up": fleet.directory_port,
        "readiness": fleet.readiness_port,
        "rows": fleet.peer_port,
        "metrics": fleet.peer_port + 1,
    }
    return fleet.vms[0].ip, ports[port]


def start_crowd(context, count, port, sending, reads=False):
    context.crowd = Crowd(find_address(context, port), count, sending, reads)
    context.hostile_stack.callback(context.crowd.close)
    context.crowd.send()


def send_ordinary(context, path="/reads/x", **changes):
    """Send a request that is within all limits, on a connection of its own."""
    fleet = context.hostile_fleet
    headers = {"host": "a.example", "x-key": API_KEY, "x-request-id": "ordinary", **changes}
    with httpx.Client(verify=False, trust_env=False) as client:
        return client.get(fleet.url(fleet.vms[0], path), headers=headers, timeout=GIVE_UP_S)


def read_process_status(context, name):
    """Return a field of the process' status, as the kernel gives it."""
    path = Path(f"/proc/{context.hostile_fleet.vms[0].process.pid}/status")
    fields = dict(line.split(":", 1) for line in path.read_text().splitlines())
    return fields[name].split()[0]


@given(
    "a VM with {memory_mb:d} MB of memory and {descriptors:d} descriptors,"
    " whose callers have low limits"
)
def step_vm(context, memory_mb, descriptors):
    open_vm(context, VmResources(memory_mb, descriptors, CALLER_LIMITS))
    context.add_cleanup(close_vm, context)


@when("{count:d} callers send {what} without end to the {port} port")
def step_send_endless(context, count, what, port):
    start_crowd(context, count, port, ENDLESS[what])


@when("{count:d} callers send {what} ahead to the {port} port and read {reading}")
def step_send_ahead(context, count, what, port, reading):
    request = AHEAD[what.removeprefix("many ")]
    sending = Sending(b"", request, MANY_AHEAD_BYTES if "many" in what else AHEAD_BYTES)
    start_crowd(context, count, port, sending, reads=reading == "all")


@when("{count:d} callers go on to send {what} to the {port} port and read {reading}")
def step_go_on(context, count, what, port, reading):
    sending = Sending(b"", AHEAD[what], ENDLESS_BYTES)
    process = start_crowd_process(find_address(context, port), count, sending, reading == "all")
    context.hostile_stack.callback(process.wait)
    context.hostile_stack.callback(process.kill)


@then("ordinary requests are answered while they send")
def step_ordinary_meanwhile(context):
    for _ in range(ORDINARY_REQUESTS):
        step_ordinary(context)


@when("{count:d} callers hold connections to the {port} port with {what}")
def step_hold(context, count, port, what):
    if what == "a long answer not read":
        # Small send buffers leave the answer to the process.
        resources = context.hostile_resources
        behaviour = SteeredBehaviour(body_bytes=RESPONSE_BYTES)
        open_vm(context, resources, behaviour, SMALL_BUFFERS_ENVIRONMENT)
    context.held = what
    start_crowd(context, count, port, Sending(HELD[what]))


@then("an ordinary request is answered")
@then("an ordinary request is answered while they stay connected")
def step_ordinary(context):
    response = send_ordinary(context)
    assert response.status_code == 200, response.text
    assert response.headers["x-server-signature"], response.headers


@then("an ordinary look-up is answered while they stay connected")
def step_lookup(context):
    fleet = context.hostile_fleet
    vm = fleet.vms[0]
    addresses = context.hostile_portal.call(fleet.resolve, vm, vm.failure_domain)
    assert addresses == [f"{vm.ip}:{fleet.http_port}"], addresses


@when("a caller sends a request with {what} that fills the limits")
@given("a caller has had a request with {what} answered on its connection")
def step_send_full(context, what):
    start_crowd(context, 1, "callers", Sending(FULL_REQUESTS[what]))
    context.full = what
    context.answer = read_answer(context)
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer


def read_answer(context):
    """Return the next answer of the crowd's only caller, which is a short one."""
    caller = context.crowd.callers[0]
    deadline_s = time.monotonic() + GIVE_UP_S
    caller.received = b""
    while not caller.ended and not is_whole(caller.received):
        assert time.monotonic() < deadline_s, "no answer"
        if not caller.read():
            time.sleep(0.01)
    return caller.received


def is_whole(answer):
    head, separator, body = answer.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    return bool(separator) and (length is None or len(body) >= int(length.group(1)))


@then("it is answered as an ordinary one")
def step_full_answered(context):
    head = context.answer.split(b"\r\n\r\n")[0].lower()
    assert b"x-server-signature" in head and b"x-request-id: full" in head, head


@when("a caller asks for rows after a digit that is no decimal")
def step_ask_for_rows(context):
    request = b"GET /rows?table=op&after=%C2%B2 HTTP/1.1\r\nHost: a\r\n\r\n"
    start_crowd(context, 1, "rows", Sending(request))
    context.answer = read_answer(context)


@then("the log of the VM has no traceback")
def step_no_traceback(context):
    fleet = context.hostile_fleet
    assert "Traceback" not in fleet.read_log(fleet.vms[0])


@when("a configuration allows heads of half that size, and the caller sends the same again")
def step_halve(context):
    limits = {**dict(CALLER_LIMITS), "maxHeaderBytes": MAX_HEADER_BYTES // 2}
    context.hostile_fleet.put_configuration(2, tuple(limits.items()))
    deadline_s = time.monotonic() + GIVE_UP_S
    caller = context.crowd.callers[0]
    context.answer = b"HTTP/1.1 200 "
    while context.answer.startswith(b"HTTP/1.1 200 ") and time.monotonic() < deadline_s:
        caller.unsent = memoryview(FULL_REQUESTS[context.full])
        caller.send()
        context.answer = read_answer(context)


@then("it is refused with status {status}")
def step_refused_with(context, status):
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode()), context.answer


@then("the VM has refused each of them")
def step_refused(context):
    context.crowd.read_to_end(GIVE_UP_S)
    still_open = [caller for caller in context.crowd.callers if not caller.ended]
    assert not still_open, f"{len(still_open)} connections are still open"
    for caller in context.crowd.callers:
        # A caller that sends on may lose its answer to the reset of its connection.
        status = caller.received.split(b" ")[1] if caller.received else None
        assert status is None or status in REFUSED_STATUSES, caller.received


@then("the VM closes the connection of each of them")
def step_closed(context):
    # Small connections close one after the other; a body is sent on, a byte at a time.
    deadline_s = time.monotonic() + GIVE_UP_S
    version = 2
    fleet = context.hostile_fleet
    limits = {**dict(CALLER_LIMITS), **SHORT_LIMITS}
    fleet.put_configuration(version, tuple(limits.items()))
    reads = context.held != "a long answer not read"
    while time.monotonic() < deadline_s and count_caller_connections(context):
        for caller in context.crowd.callers:
            if context.held == "a body of a byte a while" and not caller.ended:
                caller.unsent = memoryview(b"x")
                caller.send()
            if reads and not caller.ended:
                caller.read()
        time.sleep(0.2)
    left = count_caller_connections(context)
    assert not left, f"the VM still holds {left} connections"


def count_caller_connections(context):
    """Return how many connections the VM has open on the port for callers."""
    fleet = context.hostile_fleet
    vm = fleet.vms[0]
    octets = vm.ip.split(".")
    local = "".join(f"{int(octet):02X}" for octet in reversed(octets)) + f":{fleet.http_port:04X}"
    established, close_wait = "01", "08"
    rows = Path(f"/proc/{vm.process.pid}/net/tcp").read_text().splitlines()[1:]
    states = [row.split()[3] for row in rows if row.split()[1] == local]
    return sum(state in (established, close_wait) for state in states)


@then("the VM lives, within its memory and descriptors")
def step_within(context):
    vm, resources = context.hostile_fleet.vms[0], context.hostile_resources
    assert vm.process.returncode is None, f"the process ended: {vm.process.returncode}"
    peak_mb = int(read_process_status(context, "VmHWM")) / 1_024
    assert peak_mb <= resources.memory_mb, f"peak of {peak_mb:.0f} MB"
    descriptors = len(list(Path(f"/proc/{vm.process.pid}/fd").iterdir()))
    assert descriptors <= resources.max_descriptors, f"{descriptors} descriptors"
