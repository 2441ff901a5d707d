"""Steps on bookings through real processes."""

import signal
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from fleet import HOST, wait_until

from tests.support.callers import BOOKING_SERVERS, port


@when("every booking server goes silent")
def step_silent(context):
    for name in BOOKING_SERVERS:
        context.fleet.backend_state(name, silent=True)


@when("two booking servers shed")
def step_shed(context):
    for name in BOOKING_SERVERS[:2]:
        context.fleet.backend_state(name, shed=True)


@when('a caller books with the token "{token}"')
def step_book(context, token):
    url = f"http://{HOST}:{port(context)}/booking/1"
    headers = {
        "authorization": f"Bearer {context.keys['alder-mill']}",
        "idempotency-key": token,
    }
    context.answer = context.fleet.http.post(url, headers=headers, content=b"{}")
    for name in BOOKING_SERVERS:
        context.fleet.backend_state(name, silent=False, shed=False)


@then('the refusal is "{kind}" and says that it ran "{ran}"')
def step_refusal(context, kind, ran):
    document = context.answer.json()
    assert (document["error"], document["ran"]) == (kind, ran), document


@then('no booking server executed "{token}" more than once')
def step_at_most_once(context, token):
    states = [context.fleet.backend_state(name) for name in BOOKING_SERVERS]
    assert sum(state["executed"].get(token, 0) for state in states) <= 1


@then('exactly one booking server executed "{token}" once')
def step_exactly_once(context, token):
    states = [context.fleet.backend_state(name) for name in BOOKING_SERVERS]
    assert sorted(state["executed"].get(token, 0) for state in states) == [0, 0, 1]


@when('a caller books "{body}" with the token "{token}" on "{name}"')
def step_book_on(context, body, token, name):
    context.answer = book(context, body, token, name)


def book(context, body, token, name):
    url = f"http://{HOST}:{port(context, name)}/booking/1"
    headers = {
        "authorization": f"Bearer {context.keys['alder-mill']}",
        "idempotency-key": token,
        "x-request-id": "same",
    }
    return context.fleet.http.post(url, headers=headers, content=body.encode())


@then("the booking is answered again, marked as replayed")
def step_replayed(context):
    assert context.answer.status_code == 200, context.answer.text
    assert context.answer.headers["idempotency-replayed"] == "true"


@when('callers book with the token "{token}" on every VM at once')
def step_book_everywhere(context, token):
    with ThreadPoolExecutor(9) as pool:
        names = [name for name in context.fleet.ports for _ in range(3)]
        answers = pool.map(lambda name: book(context, "same", token, name), names)
        context.answers = list(answers)


@then("each caller got the one answer or a truthful refusal")
def step_truthful(context):
    for answer in context.answers:
        kind = answer.json().get("error")
        assert answer.status_code == 200 or kind in ("earlier_in_progress",), answer.text
    assert any(answer.status_code == 200 for answer in context.answers)


@when("the store loses the answer to the next write")
def step_lose_next(context):
    context.fleet.platform_state(lose_answers=1)


@when("the store is down for bookings")
def step_down_for_bookings(context):
    context.fleet.platform_state(outage=True)


@when("the store is up for bookings")
def step_up_for_bookings(context):
    context.fleet.platform_state(outage=False)


@when("every booking server takes {ms:d} ms")
def step_slow_bookings(context, ms):
    for name in BOOKING_SERVERS:
        context.fleet.backend_state(name, service_ms=ms)


@when('a VM dies while it books with the token "{token}"')
def step_die_in_booking(context, token):
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(book, context, "die", token, "south-1a")
        wait_until(lambda: executed(context, token), "the booking to start")
        context.fleet.signal("south-1a", signal.SIGKILL)
        context.fleet.wait_exit("south-1a")
        assert pending.exception() is not None
    step_slow_bookings(context, 0)


def executed(context, token):
    states = [context.fleet.backend_state(name) for name in BOOKING_SERVERS]
    return sum(state["executed"].get(token, 0) for state in states)


@then("the booking is answered")
def step_booked(context):
    assert context.answer.status_code == 200, context.answer.text
