"""Steps on bookings, requests with an idempotency key, sent to a fleet of real processes."""

import signal
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from fleet import HOST, wait_until

from tests.support.callers import BOOKING_SERVERS, get_caller_port


@when("every booking server stops answering")
def step_servers_stop_answering(context):
    for name in BOOKING_SERVERS:
        context.fleet.backend_state(name, silent=True)


@when("two booking servers shed load")
def step_two_servers_shed(context):
    for name in BOOKING_SERVERS[:2]:
        context.fleet.backend_state(name, shed=True)


@when('a caller books with the idempotency key "{key}"')
def step_book_on_default_vm(context, key):
    url = f"http://{HOST}:{get_caller_port(context)}/booking/1"
    headers = {
        "authorization": f"Bearer {context.keys['alder-mill']}",
        "idempotency-key": key,
    }
    context.response = context.fleet.http.post(url, headers=headers, content=b"{}")
    for name in BOOKING_SERVERS:
        context.fleet.backend_state(name, silent=False, shed=False)


@then('the request is refused as "{kind}" with "ran" set to "{ran}"')
def step_refused_as(context, kind, ran):
    document = context.response.json()
    assert (document["error"], document["ran"]) == (kind, ran), document


@then('no booking server executed "{key}" more than once')
def step_at_most_once(context, key):
    states = [context.fleet.backend_state(name) for name in BOOKING_SERVERS]
    assert sum(state["executed"].get(key, 0) for state in states) <= 1


@then('exactly one booking server executed "{key}" once')
def step_exactly_once(context, key):
    states = [context.fleet.backend_state(name) for name in BOOKING_SERVERS]
    assert sorted(state["executed"].get(key, 0) for state in states) == [0, 0, 1]


@when('a caller books "{body}" with the idempotency key "{key}" on "{name}"')
def step_book_on_vm(context, body, key, name):
    context.response = send_booking(context, body, key, name)


def send_booking(context, body, key, name):
    url = f"http://{HOST}:{get_caller_port(context, name)}/booking/1"
    headers = {
        "authorization": f"Bearer {context.keys['alder-mill']}",
        "idempotency-key": key,
        "x-request-id": "same",
    }
    return context.fleet.http.post(url, headers=headers, content=body.encode())


@then("the booking gets the stored response, marked as replayed")
def step_replayed(context):
    assert context.response.status_code == 200, context.response.text
    assert context.response.headers["idempotency-replayed"] == "true"


@when('callers book with the idempotency key "{key}" on every VM at once')
def step_book_on_all_vms(context, key):
    with ThreadPoolExecutor(9) as pool:
        names = [name for name in context.fleet.ports for _ in range(3)]
        responses = pool.map(lambda name: send_booking(context, "same", key, name), names)
        context.responses = list(responses)


@then("each caller is answered, or refused because the first request is in progress")
def step_answered_or_in_progress(context):
    for response in context.responses:
        kind = response.json().get("error")
        assert response.status_code == 200 or kind in ("earlier_in_progress",), response.text
    assert any(response.status_code == 200 for response in context.responses)


@when("the store does not confirm the next write")
def step_lose_write_confirmation(context):
    context.fleet.platform_state(lose_answers=1)


@when("the store is down for bookings")
def step_store_down(context):
    context.fleet.platform_state(outage=True)


@when("the store is up for bookings")
def step_store_up(context):
    context.fleet.platform_state(outage=False)


@when("every booking server takes {ms:d} ms")
def step_slow_booking_servers(context, ms):
    for name in BOOKING_SERVERS:
        context.fleet.backend_state(name, service_ms=ms)


@when('a VM is killed while it handles a booking with the idempotency key "{key}"')
def step_kill_vm_while_booking(context, key):
    with ThreadPoolExecutor(1) as pool:
        pending_booking = pool.submit(send_booking, context, "die", key, "south-1a")
        wait_until(lambda: count_executions(context, key), "the booking to start")
        context.fleet.send_signal("south-1a", signal.SIGKILL)
        context.fleet.wait_exit("south-1a")
        assert pending_booking.exception() is not None
    step_slow_booking_servers(context, 0)


def count_executions(context, key):
    states = [context.fleet.backend_state(name) for name in BOOKING_SERVERS]
    return sum(state["executed"].get(key, 0) for state in states)


@then("the booking is answered")
def step_booking_answered(context):
    assert context.response.status_code == 200, context.response.text
