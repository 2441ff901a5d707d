"""Steps for a fleet of daemon processes with a stand-in store and stand-in backend servers."""

import json
import os
import signal
import time

import anyio
import httpx
from behave import given, then, when
from steering_fleet import API_KEY, make_configuration

from berylbank_standins._internal.steered_backend import SteeredBehaviour

WAIT_LIMIT_S = 20.0
FAULTS = {
    "truncates its responses": {"truncate": True},
    "sheds every request": {"shed": True},
    "answers as another server": {"wrong_server": True},
    "fails every request": {"status": 500},
    "hangs": {"hang": True},
    "works for 1700 ms": {"work_ms": 1700, "warm_factor": 1.0},
}


def run_in_fleet(context, function, *arguments):
    """Run a coroutine function in the event loop of the fleet."""
    return context.portal.call(function, *arguments)


def make_headers(context, object_key, **changes):
    context.steering.request_count += 1
    context.request_id = f"request{context.steering.request_count:08d}"
    headers = {
        "host": "a.example",
        "x-key": API_KEY,
        "x-request-id": context.request_id,
        "x-deadline-ms": "3000",
        "cookie": f"X-Affinity-Key={object_key}",
    }
    headers.update({name.replace("_", "-"): value for name, value in changes.items()})
    return {name: value for name, value in headers.items() if value is not None}


def send_request(context, method, path, headers, vm=None, timeout=10):
    url = context.steering.url(vm or context.steering.vms[0], path)
    content = b"a booking" if method == "POST" else None
    context.response = context.steering.client.request(
        method, url, headers=headers, content=content, timeout=timeout
    )
    return context.response


def find_server(context, object_key):
    """Return the id of the server that handles an object."""
    headers = make_headers(context, object_key)
    return send_request(context, "GET", "/reads/x", headers).json()["server"]


def wait_until(condition, limit_s=WAIT_LIMIT_S):
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f"condition not met within {limit_s} s")


@given("the first server of object {object_key} {fault}")
def step_fault(context, object_key, fault):
    context.first_server = find_server(context, object_key)
    server = context.steering.servers[context.first_server]
    if fault == "is no longer reachable":
        # The registration stays in the store, but its address refuses connections.
        entry = context.steering.registrations[context.first_server]
        context.steering.registrations[context.first_server] = {
            **entry,
            "address": "127.0.0.1:1",
            "born": 2,
        }
        run_in_fleet(context, put_entry, context, context.first_server)
        context.steering.moved_server = (context.first_server, entry)
        time.sleep(1)
        return
    server.behaviour = server.behaviour._replace(**FAULTS[fault])


@given("a VM got SIGTERM and has just started again")
def step_stop_and_start(context):
    vm = context.steering.vms[0]
    os.kill(vm.process.pid, signal.SIGTERM)
    assert run_in_fleet(context, vm.process.wait) == 0
    run_in_fleet(context, context.steering.start_vm, vm)
    run_in_fleet(context, context.steering.wait_ready, vm)


@when("a caller downloads object {object_key}")
def step_download(context, object_key):
    send_request(context, "GET", "/files/x", make_headers(context, object_key))


@then("the caller gets the answer of the server that got the request first")
def step_served_by_first(context):
    records = [
        (record.arrived_s, server_id, record.state)
        for server_id, server in context.steering.servers.items()
        for record in server.work_records
        if record.request_id == context.request_id
    ]
    assert context.response.status_code == 200, (context.response.text, records)
    _, server_id, state = min(records)
    assert context.response.headers["x-server-signature"] == f"signed-{server_id}"
    assert state == "done", records


async def put_entry(context, server_id):
    steering = context.steering
    steering.store.put("servers", server_id, steering.registrations[server_id])


async def put_row(context, table, key, document):
    context.steering.store.put(table, key, document)


@given("every server sheds every request")
def step_all_shed(context):
    for server in context.steering.servers.values():
        server.behaviour = server.behaviour._replace(shed=True)


@given("every other server sheds every request")
def step_others_shed(context):
    for server_id, server in context.steering.servers.items():
        if server_id != context.first_server:
            server.behaviour = server.behaviour._replace(shed=True)


@when("a caller reads object {object_key}")
def step_read(context, object_key):
    send_request(context, "GET", "/reads/x", make_headers(context, object_key))


@when("a caller books object {object_key:d}")
def step_book(context, object_key):
    send_request(context, "POST", "/books/x", make_headers(context, object_key))


@when("a caller books object {object_key:d} with {ms} ms to wait")
def step_book_deadline(context, object_key, ms):
    send_request(context, "POST", "/books/x", make_headers(context, object_key, x_deadline_ms=ms))


@when("a caller books object {object_key:d} and disconnects after {ms:d} ms")
def step_book_leave(context, object_key, ms):
    server = context.steering.servers[context.first_server]
    context.cancelled_before = server.cancelled
    try:
        send_request(
            context, "POST", "/books/x", make_headers(context, object_key), timeout=ms / 1000
        )
    except httpx.ReadTimeout:
        return
    raise AssertionError("the caller got a response before it disconnected")


@then("the request is cancelled at the server")
def step_cancelled(context):
    server = context.steering.servers[context.first_server]
    wait_until(lambda: server.cancelled > context.cancelled_before)


CASES = {
    "a path without a route": ("/nothing/x", {}),
    "a host without a route": ("/reads/x", {"host": "b.example"}),
    "an unknown key": ("/reads/x", {"x_key": "nobody"}),
    "a request without an id": ("/reads/x", {"x_request_id": None}),
}


@when("a caller sends {case}")
def step_send_refused_case(context, case):
    context.arrived = {
        server_id: server.arrived for server_id, server in context.steering.servers.items()
    }
    path, changes = CASES[case]
    send_request(context, "GET", path, make_headers(context, 1, **changes))


@then("no backend server received the request")
def step_not_received(context):
    assert context.arrived == {
        server_id: server.arrived for server_id, server in context.steering.servers.items()
    }


@then("the caller gets {status:d} with the signature of a server")
@then("the caller gets {status:d} with the signature of another server")
def step_served(context, status):
    assert context.response.status_code == status, context.response.text
    signature = context.response.headers["x-server-signature"]
    server = context.response.json()["server"]
    assert signature == f"signed-{server}"
    assert server != getattr(context, "first_server", None)
    assert context.response.headers["x-request-id"] == context.request_id


@then("the caller gets {status:d} without a signature")
def step_refused(context, status):
    assert context.response.status_code == status, context.response.text
    assert "x-server-signature" not in context.response.headers


@then("the caller is told when to retry")
def step_retry_after(context):
    assert float(context.response.headers["retry-after"]) > 0
    assert context.response.json()["ran"] == "no"


@then(
    'the server received organisation "{name}", a deadline no later than the caller\'s and no key'
)
def step_received(context, name):
    server = context.steering.servers[context.response.json()["server"]]
    received = server.received_headers[-1]
    assert received["x-tenant"] == name and 0 < int(received["x-deadline-ms"]) <= 3000
    assert "x-key" not in received and API_KEY not in json.dumps(received)
    assert received["path"] == "/reads/x" and received["host"] == "a.example"


@then("the booking ran once")
def step_ran_once(context):
    ran = [server.run_counts[context.request_id] for server in context.steering.servers.values()]
    assert sum(ran) == 1, ran


# Changes of servers, evacuations and configuration


def find_servers(context, vm):
    """Return the ids of the servers to which a VM sends the requests for some objects."""
    return {
        send_request(context, "GET", "/reads/x", make_headers(context, n), vm).json()["server"]
        for n in range(12)
    }


@when("the first server of object {object_key} drains")
def step_drain(context, object_key):
    context.first_server = find_server(context, object_key)
    context.portal.call(context.steering.set_state, context.first_server, "draining")


@then("eventually no VM sends requests to that server")
def step_gets_no_requests(context):
    vms = context.steering.vms
    wait_until(lambda: all(context.first_server not in find_servers(context, vm) for vm in vms))


def find_server_ids(context, domain):
    registrations = context.steering.registrations
    return {
        server_id for server_id, entry in registrations.items() if entry["info"]["zone"] == domain
    }


@when('failure domain "{domain}" is evacuated')
def step_evacuate(context, domain):
    context.domain = domain
    run_in_fleet(context, put_row, context, "op", f"evacuate/{domain}", {})


@when('the evacuation of failure domain "{domain}" ends')
def step_end_evacuation(context, domain):
    run_in_fleet(context, put_row, context, "op", f"evacuate/{domain}", None)


@then("eventually no VM sends requests to its servers")
def step_domain_empty(context):
    evacuated, vms = find_server_ids(context, context.domain), context.steering.vms
    wait_until(lambda: not any(evacuated & find_servers(context, vm) for vm in vms))


@then("eventually every VM in its region sends requests to its servers again")
def step_domain_in_use(context):
    domain_servers = find_server_ids(context, context.domain)
    vms_in_region = [vm for vm in context.steering.vms if vm.failure_domain.startswith("one")]
    wait_until(lambda: all(domain_servers & find_servers(context, vm) for vm in vms_in_region))


@when("the operator withdraws the key")
def step_withdraw(context):
    configuration = make_configuration(2)
    configuration["tenants"]["rows"][0][1] = ["another-key"]
    context.calls_before = sum(context.steering.store.calls.values())
    context.steering.key_withdrawn = True
    run_in_fleet(context, put_row, context, "op", "config", configuration)


@then("eventually every VM refuses the key with {status:d}")
def step_refuses(context, status):
    def refused(vm):
        return (
            send_request(context, "GET", "/reads/x", make_headers(context, 1), vm).status_code
            == status
        )

    wait_until(lambda: all(refused(vm) for vm in context.steering.vms))
    context.calls_used = sum(context.steering.store.calls.values()) - context.calls_before


@then("the store had at most {count:d} calls for this change")
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
    run_in_fleet(context, vm.process.wait)
    run_in_fleet(context, context.steering.start_vm, vm)


@then("that VM becomes ready and serves requests")
def step_ready_serves(context):
    vm = context.steering.vms[1]
    run_in_fleet(context, context.steering.wait_ready, vm)
    response = send_request(context, "GET", "/reads/x", make_headers(context, 1), vm)
    assert response.status_code == 200, (response.status_code, response.text)


@when("a VM gets SIGTERM while a caller keeps sending requests over one connection")
def step_term_open_connection(context):
    vm = context.steering.vms[2]
    context.outcomes = []
    with httpx.Client(timeout=5, verify=False) as client:
        url = context.steering.url(vm, "/reads/x")
        for number in range(400):
            if number == 10:
                os.kill(vm.process.pid, signal.SIGTERM)
            try:
                response = client.get(url, headers=make_headers(context, number))
                context.outcomes.append(response.status_code)
            except httpx.HTTPError:
                # The VM has closed its listener. A request that it never read does not count as
                # interrupted.
                context.unread_request_id = context.request_id
                break
            if number == 30:
                context.ready_after = run_in_fleet(context, context.steering.is_ready, vm)
                context.lookup_addresses = run_in_fleet(
                    context, context.steering.resolve, context.steering.vms[0], vm.failure_domain
                )
            time.sleep(0.01)


@given("every server takes {ms:d} ms for a request")
def step_all_slow(context, ms):
    for server in context.steering.servers.values():
        server.behaviour = server.behaviour._replace(work_ms=ms, warm_factor=1.0)


@when("a VM gets SIGTERM while callers keep opening new connections")
def step_term_new_connections(context):
    vm = context.steering.vms[2]
    context.results = run_in_fleet(context, send_until_exit, context, vm)


async def send_until_exit(context, vm):
    """Send a request every 50 ms until the VM's process has exited.

    Return for each request id the status of the response, or the name of the error.
    """
    results = {}
    url = context.steering.url(vm, "/reads/x")

    async def send(client, headers):
        try:
            response = await client.get(url, headers=headers)
            results[headers["x-request-id"]] = response.status_code
        except httpx.HTTPError as error:
            results[headers["x-request-id"]] = type(error).__name__

    limits = httpx.Limits(max_keepalive_connections=0)
    async with (
        httpx.AsyncClient(limits=limits, verify=False, timeout=5) as client,
        anyio.create_task_group() as group,
    ):
        os.kill(vm.process.pid, signal.SIGTERM)
        number = 0
        while vm.process.returncode is None:
            group.start_soon(send, client, make_headers(context, number))
            number += 1
            await anyio.sleep(0.05)
    return results


@given("every server takes {ms:d} ms for a request, which the VMs know")
def step_all_slow_known(context, ms):
    step_all_slow(context, ms)
    for vm in context.steering.vms:
        headers = make_headers(context, 1)
        assert send_request(context, "POST", "/books/x", headers, vm).status_code == 200


@when("a VM gets SIGTERM while callers send {kind} on open and new connections until it has exited")
def step_term_all_connections(context, kind):
    vm = context.steering.vms[2]
    context.results = run_in_fleet(context, send_on_all_until_exit, context, vm, kind)


async def send_on_all_until_exit(context, vm, kind):
    """Send requests on 6 open connections, and one on a new connection every 50 ms."""
    results = {}
    method, path = ("GET", "/reads/x") if kind == "reads" else ("POST", "/books/x")
    url = context.steering.url(vm, path)

    async def send(client, headers):
        try:
            response = await client.request(
                method, url, headers=headers, content=None if method == "GET" else b"a booking"
            )
            results[headers["x-request-id"]] = (response.status_code, response.text)
        except httpx.HTTPError as error:
            results[headers["x-request-id"]] = (type(error).__name__, "")

    async def keep_sending(number):
        async with httpx.AsyncClient(verify=False, timeout=5) as client:
            while vm.process.returncode is None:
                await send(client, make_headers(context, number))
                await anyio.sleep(0.02 * (number + 1))

    async with anyio.create_task_group() as group:
        for number in range(6):
            group.start_soon(keep_sending, number)
        await anyio.sleep(0.3)
        os.kill(vm.process.pid, signal.SIGTERM)
        async with (
            httpx.AsyncClient(
                limits=httpx.Limits(max_keepalive_connections=0), verify=False, timeout=5
            ) as client,
            anyio.create_task_group() as new_connections,
        ):
            number = 10
            while vm.process.returncode is None:
                new_connections.start_soon(send, client, make_headers(context, number))
                number += 1
                await anyio.sleep(0.05)
    return results


def count_runs(context, request_id):
    return sum(server.run_counts[request_id] for server in context.steering.servers.values())


@then("each of them was served, refused as not run, or never read by the VM")
def step_served_or_refused(context):
    log = context.steering.read_log(context.steering.vms[2])
    for request_id, (status, body) in context.results.items():
        if status == 503:
            assert json.loads(body)["ran"] == "no", body
        elif status != 200:
            assert isinstance(status, str) and request_id not in log, (request_id, status, body)


@then("no server ran a request whose caller got no whole response")
def step_no_run_unanswered(context):
    served = [name for name, (status, _) in context.results.items() if status == 200]
    assert len(served) > 5, context.results
    unanswered = [
        (request_id, status)
        for request_id, (status, _) in context.results.items()
        if status != 200 and count_runs(context, request_id)
    ]
    assert not unanswered, unanswered


@then("every request that the VM read was served")
def step_read_served(context):
    ran = {
        request_id
        for server in context.steering.servers.values()
        for request_id, count in server.run_counts.items()
        if count
    }
    statuses = {status for status in context.results.values() if isinstance(status, int)}
    interrupted = {
        request_id
        for request_id, status in context.results.items()
        if not isinstance(status, int) and request_id in ran
    }
    assert statuses == {200} and not interrupted, (statuses, interrupted)
    assert len([status for status in context.results.values() if status == 200]) > 5


@then("no request of the caller was interrupted")
def step_uninterrupted(context):
    assert len(context.outcomes) > 30
    assert set(context.outcomes) == {200}, context.outcomes
    assert context.unread_request_id not in context.steering.read_log(context.steering.vms[2])
    received = {
        server.run_counts[context.unread_request_id] for server in context.steering.servers.values()
    }
    assert received == {0}


@then("the VM is not ready, and no look-up names it")
def step_not_in_lookups(context):
    vm = context.steering.vms[2]
    assert not context.ready_after
    assert context.lookup_addresses and not any(
        address.startswith(vm.ip) for address in context.lookup_addresses
    )


@then("the VM exits with code {code:d}")
def step_exit(context, code):
    vm = context.steering.vms[2]
    assert run_in_fleet(context, vm.process.wait) == code


@then('the VM\'s log has a line for that request with cause "{cause}"')
def step_log_line(context, cause):
    def found():
        lines = context.steering.read_log(context.steering.vms[0]).splitlines()
        documents = [json.loads(line) for line in lines if context.request_id in line]
        return any(
            document["event"] == "request" and document["cause"] == cause for document in documents
        )

    wait_until(found)


def restore(context):
    """Undo what a scenario changed, so that every VM serves requests in the next one."""
    steering = context.steering
    steering.store.faults = steering.store.faults._replace(refuse=False)
    for server_id, server in steering.servers.items():
        server.behaviour = SteeredBehaviour()
        entry = steering.registrations[server_id]
        if entry["status"]["state"] != "ready":
            context.portal.call(steering.set_state, server_id, "ready")
    if context.steering.moved_server:
        server_id, entry = context.steering.moved_server
        steering.registrations[server_id] = {**entry, "born": 3}
        run_in_fleet(context, put_entry, context, server_id)
        steering.moved_server = None
    if context.steering.key_withdrawn:
        run_in_fleet(context, put_row, context, "op", "config", make_configuration(3))
        steering.key_withdrawn = False
    for vm in steering.vms:
        if vm.process.returncode is not None:
            run_in_fleet(context, steering.start_vm, vm)
    for vm in steering.vms:
        run_in_fleet(context, steering.wait_ready, vm)
    wait_until(lambda: every_vm_serves(context))


def every_vm_serves(context):
    """Tell whether every VM serves requests for all of some objects."""
    for vm in context.steering.vms:
        for number in range(12):
            if (
                send_request(
                    context, "GET", "/reads/x", make_headers(context, number), vm
                ).status_code
                != 200
            ):
                return False
    return True


@when("a VM gets SIGTERM and a booking {ms:d} ms later")
def step_term_before_booking(context, ms):
    vm = context.steering.vms[2]

    async def book():
        async with httpx.AsyncClient(verify=False, timeout=6) as client:
            url = context.steering.url(vm, "/books/x")
            response = await client.post(
                url, headers=make_headers(context, 5), content=b"a booking"
            )
            context.response = response

    async def stop():
        async with anyio.create_task_group() as group:
            os.kill(vm.process.pid, signal.SIGTERM)
            await anyio.sleep(ms / 1000)
            group.start_soon(book)

    run_in_fleet(context, stop)


@then("the booking is answered with {status:d}")
def step_booking_answered(context, status):
    assert context.response.status_code == status, context.response.status_code
    assert "x-server-signature" not in context.response.headers
