"""Steps on a fleet of real daemons beside a stand-in store and backend servers."""

import json
import os
import signal
import time

import anyio
import httpx
from behave import given, then, when
from steering_fleet import KEY, make_configuration

from berylbank_standins._internal.steered_backend import SteeredBehaviour

PATIENCE_S = 20.0
FAULTS = {
    "breaks its answers off": {"truncate": True},
    "sheds": {"shed": True},
    "answers for another": {"wrong_server": True},
    "fails every request": {"status": 500},
    "hangs": {"hang": True},
}


def call(context, function, *arguments):
    """Run a coroutine function in the fleet's event loop."""
    return context.portal.call(function, *arguments)


def headers_of(context, object_key, **changes):
    context.steering.numbers += 1
    context.request_id = f"request{context.steering.numbers:08d}"
    found = {
        "host": "a.example",
        "x-key": KEY,
        "x-request-id": context.request_id,
        "x-deadline-ms": "3000",
        "cookie": f"X-Affinity-Key={object_key}",
    }
    found.update({name.replace("_", "-"): value for name, value in changes.items()})
    return {name: value for name, value in found.items() if value is not None}


def ask(context, method, path, headers, vm=None, timeout=10):
    url = context.steering.url(vm or context.steering.vms[0], path)
    content = b"a booking" if method == "POST" else None
    context.answer = context.steering.client.request(
        method, url, headers=headers, content=content, timeout=timeout
    )
    return context.answer


def first_server(context, object_key):
    """Find out which server handles an object."""
    headers = headers_of(context, object_key)
    return ask(context, "GET", "/reads/x", headers).json()["server"]


def until(check, limit_s=PATIENCE_S):
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(0.02)
    raise AssertionError(f"not within {limit_s} s")


@given("the first server of object {object_key} {fault}")
def step_fault(context, object_key, fault):
    context.first = first_server(context, object_key)
    server = context.steering.servers[context.first]
    if fault == "is not there any more":
        # The address is refused; the entry is still there.
        entry = context.steering.entries[context.first]
        context.steering.entries[context.first] = {**entry, "address": "127.0.0.1:1", "born": 2}
        call(context, put_entry, context, context.first)
        context.steering.moved = (context.first, entry)
        time.sleep(1)
        return
    server.behaviour = server.behaviour._replace(**FAULTS[fault])


async def put_entry(context, server_id):
    steering = context.steering
    steering.store.put("servers", server_id, steering.entries[server_id])


async def put_row(context, table, key, document):
    context.steering.store.put(table, key, document)


@given("every server sheds")
def step_all_shed(context):
    for server in context.steering.servers.values():
        server.behaviour = server.behaviour._replace(shed=True)


@given("every other server sheds")
def step_others_shed(context):
    for server_id, server in context.steering.servers.items():
        if server_id != context.first:
            server.behaviour = server.behaviour._replace(shed=True)


@when("a caller reads object {object_key}")
def step_read(context, object_key):
    ask(context, "GET", "/reads/x", headers_of(context, object_key))


@when("a caller books object {object_key:d}")
def step_book(context, object_key):
    ask(context, "POST", "/books/x", headers_of(context, object_key))


@when("a caller books object {object_key:d} with {ms} ms to wait")
def step_book_deadline(context, object_key, ms):
    ask(context, "POST", "/books/x", headers_of(context, object_key, x_deadline_ms=ms))


@when("a caller books object {object_key:d} and leaves after {ms:d} ms")
def step_book_leave(context, object_key, ms):
    server = context.steering.servers[context.first]
    context.cancelled_before = server.cancelled
    try:
        ask(context, "POST", "/books/x", headers_of(context, object_key), timeout=ms / 1000)
    except httpx.ReadTimeout:
        return
    raise AssertionError("the caller was answered before it left")


@then("the server is told")
def step_told(context):
    server = context.steering.servers[context.first]
    until(lambda: server.cancelled > context.cancelled_before)


CASES = {
    "a path of no route": ("/nothing/x", {}),
    "a host of no route": ("/reads/x", {"host": "b.example"}),
    "an unknown key": ("/reads/x", {"x_key": "nobody"}),
    "a request without id": ("/reads/x", {"x_request_id": None}),
}


@when("a caller sends {case}")
def step_case(context, case):
    context.arrived = {i: s.arrived for i, s in context.steering.servers.items()}
    path, changes = CASES[case]
    ask(context, "GET", path, headers_of(context, 1, **changes))


@then("nothing ran")
def step_nothing_ran(context):
    assert context.arrived == {i: s.arrived for i, s in context.steering.servers.items()}


@then("it gets {status:d} with the signature of a server")
@then("it gets {status:d} with the signature of another server")
def step_served(context, status):
    assert context.answer.status_code == status, context.answer.text
    signature = context.answer.headers["x-server-signature"]
    server = context.answer.json()["server"]
    assert signature == f"signed-{server}"
    assert server != getattr(context, "first", None)
    assert context.answer.headers["x-request-id"] == context.request_id


@then("it gets {status:d} without a signature")
def step_refused(context, status):
    assert context.answer.status_code == status, context.answer.text
    assert "x-server-signature" not in context.answer.headers


@then("it is told when to come back")
def step_retry_after(context):
    assert float(context.answer.headers["retry-after"]) > 0
    assert context.answer.json()["ran"] == "no"


@then('the server saw organisation "{name}", a deadline within the caller\'s and no key')
def step_saw(context, name):
    server = context.steering.servers[context.answer.json()["server"]]
    seen = server.received_headers[-1]
    assert seen["x-tenant"] == name and 0 < int(seen["x-deadline-ms"]) <= 3000
    assert "x-key" not in seen and KEY not in json.dumps(seen)
    assert seen["path"] == "/reads/x" and seen["host"] == "a.example"


@then("the booking ran once")
def step_ran_once(context):
    ran = [server.run_counts[context.request_id] for server in context.steering.servers.values()]
    assert sum(ran) == 1, ran


# Facts


def served_by(context, vm):
    """Return the servers that handle some objects at a VM."""
    return {
        ask(context, "GET", "/reads/x", headers_of(context, n), vm).json()["server"]
        for n in range(12)
    }


@when("the first server of object {object_key} drains")
def step_drain(context, object_key):
    context.first = first_server(context, object_key)
    context.portal.call(context.steering.set_state, context.first, "draining")


@then("soon no VM sends to it")
def step_not_sent(context):
    vms = context.steering.vms
    until(lambda: all(context.first not in served_by(context, v) for v in vms))


def servers_in(context, domain):
    entries = context.steering.entries
    return {i for i, entry in entries.items() if entry["info"]["zone"] == domain}


@when('failure domain "{domain}" is evacuated')
def step_evacuate(context, domain):
    context.domain = domain
    call(context, put_row, context, "op", f"evacuate/{domain}", {})


@when('failure domain "{domain}" is taken back')
def step_take_back(context, domain):
    call(context, put_row, context, "op", f"evacuate/{domain}", None)


@then("soon no VM sends to its servers")
def step_domain_empty(context):
    gone, vms = servers_in(context, context.domain), context.steering.vms
    until(lambda: not any(gone & served_by(context, vm) for vm in vms))


@then("soon every VM sends to its servers again")
def step_domain_back(context):
    back = servers_in(context, context.domain)
    near = [vm for vm in context.steering.vms if vm.domain.startswith("one")]
    until(lambda: all(back & served_by(context, vm) for vm in near))


@when("the operator withdraws the key")
def step_withdraw(context):
    configuration = make_configuration(2)
    configuration["tenants"]["rows"][0][1] = ["another-key"]
    context.calls_before = sum(context.steering.store.calls.values())
    context.steering.withdrawn = True
    call(context, put_row, context, "op", "config", configuration)


@then("soon every VM refuses it with {status:d}")
def step_refuses(context, status):
    def refused(vm):
        return ask(context, "GET", "/reads/x", headers_of(context, 1), vm).status_code == status

    until(lambda: all(refused(vm) for vm in context.steering.vms))
    context.calls_used = sum(context.steering.store.calls.values()) - context.calls_before


@then("the store had at most {count:d} calls for that")
def step_few_calls(context, count):
    assert context.calls_used <= count, context.calls_used


@given("the store refuses every call")
def step_store_down(context):
    store = context.steering.store
    store.faults = store.faults._replace(refuse=True)


@when("a VM is killed and started again")
def step_restart(context):
    vm = context.steering.vms[1]
    os.kill(vm.process.pid, signal.SIGKILL)
    call(context, vm.process.wait)
    call(context, context.steering.start_vm, vm)


@then("it becomes ready and serves")
def step_ready_serves(context):
    vm = context.steering.vms[1]
    call(context, context.steering.wait_ready, vm)
    answer = ask(context, "GET", "/reads/x", headers_of(context, 1), vm)
    assert answer.status_code == 200, (answer.status_code, answer.text)


@when("a VM gets SIGTERM while a caller goes on over one connection")
def step_term(context):
    vm = context.steering.vms[2]
    context.outcomes = []
    with httpx.Client(timeout=5, verify=False) as client:
        url = context.steering.url(vm, "/reads/x")
        for number in range(400):
            if number == 10:
                os.kill(vm.process.pid, signal.SIGTERM)
            try:
                answer = client.get(url, headers=headers_of(context, number))
                context.outcomes.append(answer.status_code)
            except httpx.HTTPError:
                # The VM has closed its listener; what it never read was not cut by it.
                context.unread = context.request_id
                break
            if number == 30:
                context.ready_after = call(context, context.steering.is_ready, vm)
                context.named = call(
                    context, context.steering.resolve, context.steering.vms[0], vm.domain
                )
            time.sleep(0.01)


@given("every server works for {ms:d} ms")
def step_all_slow(context, ms):
    for server in context.steering.servers.values():
        server.behaviour = server.behaviour._replace(work_ms=ms, warm_factor=1.0)


@when("a VM gets SIGTERM while callers open new connections all the time")
def step_term_new_connections(context):
    vm = context.steering.vms[2]
    context.ended = call(context, send_until_refused, context, vm)


async def send_until_refused(context, vm):
    """Send a request every 50 ms until the VM's process has ended; return how each ended."""
    ended = {}
    url = context.steering.url(vm, "/reads/x")

    async def send(client, headers):
        try:
            answer = await client.get(url, headers=headers)
            ended[headers["x-request-id"]] = answer.status_code
        except httpx.HTTPError as error:
            ended[headers["x-request-id"]] = type(error).__name__

    limits = httpx.Limits(max_keepalive_connections=0)
    async with (
        httpx.AsyncClient(limits=limits, verify=False, timeout=5) as client,
        anyio.create_task_group() as group,
    ):
        os.kill(vm.process.pid, signal.SIGTERM)
        number = 0
        while vm.process.returncode is None:
            group.start_soon(send, client, headers_of(context, number))
            number += 1
            await anyio.sleep(0.05)
    return ended


@then("every request that the VM read was served")
def step_read_served(context):
    ran = {
        request_id
        for server in context.steering.servers.values()
        for request_id, count in server.run_counts.items()
        if count
    }
    statuses = {status for status in context.ended.values() if isinstance(status, int)}
    cut = {i for i, status in context.ended.items() if not isinstance(status, int) and i in ran}
    assert statuses == {200} and not cut, (statuses, cut)
    assert len([s for s in context.ended.values() if s == 200]) > 5


@then("no request of the caller was cut")
def step_uncut(context):
    assert len(context.outcomes) > 30
    assert set(context.outcomes) == {200}, context.outcomes
    assert context.unread not in context.steering.log_of(context.steering.vms[2])
    seen = {server.run_counts[context.unread] for server in context.steering.servers.values()}
    assert seen == {0}


@then("it is not ready, and no look-up names it")
def step_not_named(context):
    vm = context.steering.vms[2]
    assert not context.ready_after
    assert context.named and not any(address.startswith(vm.ip) for address in context.named)


@then("it ends with exit code {code:d}")
def step_exit(context, code):
    vm = context.steering.vms[2]
    assert call(context, vm.process.wait) == code


@then('the VM\'s log has a line of that request with cause "{cause}"')
def step_log_line(context, cause):
    def found():
        lines = context.steering.log_of(context.steering.vms[0]).splitlines()
        documents = [json.loads(line) for line in lines if context.request_id in line]
        return any(d["event"] == "request" and d["cause"] == cause for d in documents)

    until(found)


def restore(context):
    """Undo what a scenario changed, so that the next one finds a sound fleet."""
    steering = context.steering
    steering.store.faults = steering.store.faults._replace(refuse=False)
    for server_id, server in steering.servers.items():
        server.behaviour = SteeredBehaviour()
        entry = steering.entries[server_id]
        if entry["status"]["state"] != "ready":
            context.portal.call(steering.set_state, server_id, "ready")
    if context.steering.moved:
        server_id, entry = context.steering.moved
        steering.entries[server_id] = {**entry, "born": 3}
        call(context, put_entry, context, server_id)
        steering.moved = None
    if context.steering.withdrawn:
        call(context, put_row, context, "op", "config", make_configuration(3))
        steering.withdrawn = False
    for vm in steering.vms:
        if vm.process.returncode is not None:
            call(context, steering.start_vm, vm)
    for vm in steering.vms:
        call(context, steering.wait_ready, vm)
    until(lambda: is_sound(context))


def is_sound(context):
    """Tell whether every VM serves again."""
    for vm in context.steering.vms:
        for number in range(12):
            if ask(context, "GET", "/reads/x", headers_of(context, number), vm).status_code != 200:
                return False
    return True


@when("a VM gets SIGTERM and a booking {ms:d} ms later")
def step_term_in_work(context, ms):
    vm = context.steering.vms[2]

    async def book():
        async with httpx.AsyncClient(verify=False, timeout=6) as client:
            url = context.steering.url(vm, "/books/x")
            answer = await client.post(url, headers=headers_of(context, 5), content=b"a booking")
            context.answer = answer

    async def stop():
        async with anyio.create_task_group() as group:
            os.kill(vm.process.pid, signal.SIGTERM)
            await anyio.sleep(ms / 1000)
            group.start_soon(book)

    call(context, stop)


@then("the booking is answered with {status:d}")
def step_booking_answered(context, status):
    assert context.answer.status_code == status, context.answer.status_code
    assert "x-server-signature" not in context.answer.headers
