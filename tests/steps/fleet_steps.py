"""Steps on real processes."""

import json
import re
import secrets
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import anyio
from behave import given, then, when
from fleet import HOST, VmPlace, wait_until

from berylbank_standins._internal.load import Caller, CutError, LoadClient, LoadPlan

GOLDEN = Path(__file__).parent.parent / "functional" / "golden"
BOOKING_SERVERS = ("booking-north", "booking-mid", "booking-south")
LOOKUP_SERVERS = ("lookup-north", "lookup-mid", "lookup-south")
CLOSED_WITHOUT_READING = "huge header"
LONG_ID = "x" * 40_000
SCRUBBED = (
    (re.compile(r'("request_id": ")[^"]*'), r"\1ID"),
    (re.compile(r"(x-request-id: )\w+"), r"\1ID"),
    (re.compile(r"bb_[\w-]{20,}"), "KEY"),
    (re.compile(r"operation [0-9a-f]{16}"), "operation ID"),
    (re.compile(r"head \d+"), "head N"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"[ \t]+$", re.MULTILINE), ""),
)


def port(context, name="north-1a"):
    return context.fleet.ports[name].callers


def get(context, path, key, name="north-1a"):
    headers = {"authorization": f"Bearer {key}"} if key else {}
    url = f"http://{HOST}:{port(context, name)}{path}"
    return context.fleet.http.get(url, headers=headers)


def scrub(text):
    for pattern, replacement in SCRUBBED:
        text = pattern.sub(replacement, text)
    return text


def compare_golden(name, text):
    path = GOLDEN / name
    if not path.exists():
        path.write_text(text)
    assert path.read_text() == text, f"{name} differs:\n{text}"


def exchange(context, raw):
    """Send raw bytes on a new connection and return what comes back."""
    with socket.create_connection((HOST, port(context)), timeout=5) as connection:
        connection.sendall(raw)
        answer = b""
        try:
            while part := connection.recv(65_536):
                answer += part
        except (ConnectionResetError, TimeoutError):
            answer += b"(no end)"
        return answer.decode("latin-1")


def raw_request(line, *headers, body=""):
    lines = [f"{line} HTTP/1.1", "host: a", "connection: close", *headers, "", body]
    return "\r\n".join(lines)


def bad_requests(keys):
    alder, birch = keys["alder-mill"], keys["birch-mill"]
    oak, book = "GET /lookup/oak", "POST /booking/1"
    key = f"authorization: Bearer {alder}"
    chunked = "transfer-encoding: chunked"
    return {
        "no key": raw_request(oak),
        "unknown key": raw_request(oak, "authorization: Bearer bb_no"),
        "other scheme": raw_request(oak, "authorization: Basic eDp5"),
        "key in the query": raw_request(f"{oak}?key={alder}"),
        "key in another header": raw_request(oak, f"x-key: {alder}"),
        "unknown service": raw_request("GET /nothing", key),
        "service not in the plan": raw_request("GET /booking/1", f"authorization: Bearer {birch}"),
        "two authorizations": raw_request(oak, key, key),
        "path with dots": raw_request("GET /lookup/../booking/1", key),
        "length and chunks": raw_request(book, key, "content-length: 3", chunked, body="0\r\n\r\n"),
        "two lengths": raw_request(book, key, "content-length: 3", "content-length: 4", body="abc"),
        "huge header": raw_request(oak, f"x-long: {LONG_ID}"),
        "not HTTP": "hello\r\n\r\n",
        "open route": raw_request("GET /lookup/public/oak", "x-answer-bytes: 2"),
    }


@when("the session of bad requests is sent")
def step_bad_session(context):
    parts = []
    for name, raw in bad_requests(context.keys).items():
        answer = exchange(context, raw.encode("latin-1"))
        if name == CLOSED_WITHOUT_READING:
            assert " 200 " not in answer
            answer = "(refused or closed, whichever the caller sees first)"
        parts.append(f"== {name}\n{answer.replace(chr(13), '')}\n")
    context.session = re.sub(r"x-backend: [\w-]+", "x-backend: SERVER", scrub("".join(parts)))


@then('the answers equal the golden file "{name}"')
@then('its output equals the golden file "{name}"')
def step_golden(context, name):
    compare_golden(name, context.session)


@when("the operator's session is run")
def step_operator_session(context):
    lists = [str(context.fleet.folder / name) for name in ("services.toml", "customers.toml")]
    commands = [
        ("keys", "list"),
        ("keys", "grant", "birch-mill", "second"),
        ("keys", "grant", "birch-mill", "second"),
        ("keys", "withdraw", "birch-mill", "second"),
        ("keys", "withdraw", "birch-mill", "never"),
        ("diff", *lists),
        ("apply", *lists, "--dry-run"),
        ("drain", "lookup-mid", "--wait", "20"),
        ("undrain", "lookup-mid"),
        ("drain", "nothing"),
        ("status", "--operation", "0123456789abcdef"),
    ]
    parts = []
    for command in commands:
        done = context.fleet.berylctl(*command, check=False)
        shown = " ".join(Path(word).name if "/" in word else word for word in command)
        parts.append(f"$ berylctl {shown}\n{done.stdout}{done.stderr}exit {done.returncode}\n")
    context.session = scrub("".join(parts))


@when("a request with spoofed identity headers is sent")
def step_spoof(context):
    url = f"http://{HOST}:{port(context)}/lookup/oak"
    headers = {
        "authorization": f"Bearer {context.keys['alder-mill']}",
        "x-berylbank-organisation": "birch-mill",
        "connection": "x-drop-me",
        "x-drop-me": "1",
    }
    context.answer = context.fleet.http.get(url, headers=headers)


@then("the backend server saw the organisation of the key only")
def step_spoof_seen(context):
    assert context.answer.json()["organisation"] == "alder-mill"
    states = [context.fleet.backend_state(name) for name in LOOKUP_SERVERS]
    assert all("birch-mill" not in state["organisations"] for state in states)
    assert all(state["bad_headers"] == 0 for state in states)


@given("a caller with an open connection and a key of its own")
def step_open_connection(context):
    context.own_key = context.fleet.grant_key("alder-mill", "own")
    assert get(context, "/lookup/oak", context.own_key).status_code == 200


@when("the operator withdraws that key")
def step_withdraw_own(context):
    context.fleet.berylctl("keys", "withdraw", "alder-mill", "own")


@then('the next request on that connection is refused as "{kind}"')
def step_refused_as(context, kind):
    assert get(context, "/lookup/oak", context.own_key).json()["error"] == kind


@when("every lookup server truncates its answers")
def step_truncate(context):
    for name in LOOKUP_SERVERS:
        context.fleet.backend_state(name, truncate=True)


@then("the caller's connection breaks before the answer is whole")
def step_breaks(context):
    caller = Caller(HOST, port(context))
    headers = (("authorization", f"Bearer {context.keys['alder-mill']}"),)
    headers += (("x-answer-bytes", "200000"),)
    try:
        anyio.run(caller.request, "GET", "/lookup/oak", headers)
    except CutError:
        return
    finally:
        for name in LOOKUP_SERVERS:
            context.fleet.backend_state(name, truncate=False)
    raise AssertionError("the answer ended cleanly")


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


@when("one lookup server closes its connections after each answer")
def step_close_idle(context):
    context.fleet.backend_state("lookup-north", close_idle=True)


@then("{count:d} lookups in a row are answered")
def step_answered(context, count):
    for _ in range(count):
        answer = get(context, "/lookup/oak", context.keys["alder-mill"])
        assert answer.status_code == 200, answer.text
    context.fleet.backend_state("lookup-north", close_idle=False)


@when("the logs and metrics of every VM are read")
def step_read_logs(context):
    fleet = context.fleet
    headers = {"authorization": f"Bearer {fleet.tokens['operate.token']}"}
    context.texts = [fleet.log(name) for name in fleet.ports]
    for ports in fleet.ports.values():
        url = f"http://{HOST}:{ports.operators}/metrics"
        context.texts.append(fleet.http.get(url, headers=headers).text)


@then("none of them holds a key or an operator's token")
def step_no_secret(context):
    assert any("berylbank_request_duration" in text for text in context.texts)
    for text in context.texts:
        assert "bb_" not in text
        assert all(token not in text for token in context.fleet.tokens.values())


@when("somebody with the look token tries to change something")
def step_look(context):
    fleet = context.fleet
    headers = {"authorization": f"Bearer {fleet.tokens['look.token']}"}
    base = f"http://{HOST}:{fleet.ports['north-1a'].operators}/v1"
    context.change = fleet.http.post(f"{base}/changes", headers=headers, json={})
    context.view = fleet.http.get(f"{base}/status", headers=headers)


@then("the change is forbidden and the status is shown")
def step_forbidden(context):
    assert context.change.status_code == 403
    assert context.view.json()["vm"] == "north-1a"


@when("the store goes down for real")
def step_real_outage(context):
    context.fleet.platform_state(outage=True)


@then("lookups are still answered on every VM after {seconds:d} seconds")
def step_still_answered(context, seconds):
    time.sleep(seconds)
    for name in context.fleet.ports:
        answer = get(context, "/lookup/oak", context.keys["alder-mill"], name)
        assert answer.status_code == 200, (name, answer.text)


def set_draining(context, draining, operation_id=None):
    document = {
        "operation_id": operation_id or secrets.token_hex(8),
        "kind": "set-draining",
        "change": {"backend": "lookup-mid", "draining": draining},
    }
    return context.fleet.operate("north-1a", "POST", "changes?wait_ms=4000", document)


@then("a change is reported as not done")
def step_not_done(context):
    context.operation_id = secrets.token_hex(8)
    assert set_draining(context, True, context.operation_id)["state"] == "not_done"


@when("the store answers again")
def step_store_again(context):
    context.fleet.platform_state(outage=False)


@then("the same change is in force")
def step_same_change(context):
    assert set_draining(context, True, context.operation_id)["state"] == "in_force"
    assert set_draining(context, False)["state"] == "in_force"


@when("the store will lose the answer to the next write")
def step_lose(context):
    context.fleet.platform_state(lose_answers=1)


@then("a change is reported as in force")
def step_in_force(context):
    before = context.fleet.status("north-1a")["head"]
    state = set_draining(context, False)
    assert state["state"] == "in_force", state
    assert state["number"] == before + 1


@given('a second key of "{organisation}"')
def step_second_key(context, organisation):
    context.second_key = context.fleet.grant_key(organisation, "extra")


@when('the VM "{name}" is frozen')
def step_freeze(context, name):
    context.fleet.signal(name, signal.SIGSTOP)


@when("the operator withdraws the second key")
def step_withdraw_second(context):
    context.started = time.monotonic()
    change = {"organisation": "alder-mill", "key_name": "extra"}
    context.state = context.fleet.change("north-1a", "withdraw-key", change)
    context.took_s = time.monotonic() - context.started


@then("the withdrawal is in force within {seconds:d} seconds")
def step_withdrawn(context, seconds):
    assert context.state["state"] == "in_force", context.state
    assert context.took_s <= seconds


@when('the VM "{name}" goes on')
def step_go_on(context, name):
    context.fleet.signal(name, signal.SIGCONT)


@then('the second key is refused on "{name}"')
def step_second_refused(context, name):
    answer = get(context, "/lookup/oak", context.second_key, name)
    assert answer.json()["error"] in ("no_authority", "unknown_key"), answer.text


@then('the key of "{organisation}" works again on "{name}"')
def step_works_again(context, organisation, name):
    key = context.keys[organisation]
    wait_until(lambda: get(context, "/lookup/oak", key, name).status_code == 200, "the VM")


@when('the VM "{name}" is killed')
def step_kill(context, name):
    context.fleet.signal(name, signal.SIGKILL)
    context.fleet.wait_exit(name)


@then('lookups are still answered on "{name}"')
@then('lookups are answered on "{name}" again')
def step_answered_on(context, name):
    key = context.keys["alder-mill"]
    wait_until(lambda: get(context, "/lookup/oak", key, name).status_code == 200, "the VM")


@when('the VM "{name}" starts again')
def step_start_again(context, name):
    context.fleet.start_vm(context.fleet.places[name])


@when("a VM with another fleet key starts")
def step_stranger(context):
    fleet = context.fleet
    key_file = fleet.folder / "fleet.key"
    right = key_file.read_text()
    key_file.write_text(secrets.token_hex(32))
    fleet.start_vm(VmPlace("stranger", "north", "north-1"))
    wait_until(lambda: fleet.status("stranger")["store_answers"], "the stranger")
    key_file.write_text(right)


@then("it is never seated")
def step_never_seated(context):
    fleet = context.fleet
    time.sleep(2)
    try:
        seats = {seat["vm"] for seat in fleet.status("north-1a")["seats"]}
        assert "stranger" not in seats, seats
    finally:
        fleet.signal("stranger", signal.SIGKILL)
        fleet.wait_exit("stranger")
        del fleet.ports["stranger"]


@when('the VM "{name}" stops gracefully under load')
def step_stop(context, name):
    headers = (("authorization", f"Bearer {context.keys['alder-mill']}"),)
    plan = LoadPlan(HOST, port(context, name), "/lookup/oak", headers, 4, 5.0, rate=100)

    async def run():
        client = LoadClient(plan)

        async def stop():
            await anyio.sleep(0.5)
            context.fleet.signal(name, signal.SIGTERM)
            await anyio.sleep(0.4)
            client.stopping = True

        async with anyio.create_task_group() as group:
            group.start_soon(stop)
            return await client.run()

    context.result = anyio.run(run)
    assert context.fleet.wait_exit(name) == 0


@then("no request was cut or refused")
def step_none_cut(context):
    assert (context.result.cut, context.result.failed) == (0, 0), context.result
    assert context.result.requests > 20


@then('the look-up no longer names "{name}"')
def step_not_named(context, name):
    url = f"http://{HOST}:{port(context)}/.well-known/berylbank/lookup"
    named = json.loads(context.fleet.http.get(url).text)["entry_vms"]
    gone = f"{HOST}:{context.fleet.ports[name].callers}"
    assert gone not in [vm["address"] for vm in named]


@when("{count:d} images are asked for")
def step_images(context, count):
    answers = [get(context, "/images/oak", context.keys["alder-mill"]) for _ in range(count)]
    assert all(answer.status_code == 200 for answer in answers), answers[0].text
    context.servers = {answer.json()["backend"] for answer in answers}


@then('all were answered by "{server}"')
def step_answered_by(context, server):
    assert context.servers == {server}, context.servers


@given('the server "{name}" fails')
def step_server_fails(context, name):
    context.fleet.backend_state(name, fail_paths=["/images/"])


@given('the server "{name}" works')
def step_server_works(context, name):
    context.fleet.backend_state(name, fail_paths=[])


@when('a release of images from "{old}" to "{new}" runs under traffic')
def step_release(context, old, new):
    before = {v: context.fleet.backend_state(f"images-{v}")["requests"] for v in (old, new)}
    words = ("release", "images", "--from", old, "--to", new, "--within", "60")
    words += ("--step-time", "1", "--watch")
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(context.fleet.berylctl, *words, check=False)
        anyio.run(send_images, context, running)
    context.done = running.result()
    after = {v: context.fleet.backend_state(f"images-{v}")["requests"] for v in (old, new)}
    context.got = {f"images-{v}": after[v] - before[v] for v in (old, new)}


async def send_images(context, running):
    """Send images to every VM until the operator's command has ended."""
    headers = (("authorization", f"Bearer {context.keys['alder-mill']}"),)
    async with anyio.create_task_group() as group:
        clients = []
        for name in context.fleet.ports:
            plan = LoadPlan(HOST, port(context, name), "/images/oak", headers, 3, 60.0, rate=250)
            clients.append(LoadClient(plan))
            group.start_soon(clients[-1].run)
        while not running.done():
            await anyio.sleep(0.1)
        for client in clients:
            client.stopping = True


@then('the operator is told "{state}" with exit code {code:d}')
def step_operator_told(context, state, code):
    assert context.done.returncode == code, context.done.stdout + context.done.stderr
    assert state in context.done.stdout.splitlines()[-1]


@then('the server "{name}" got at most {percent:d} percent of the traffic')
def step_got(context, name, percent):
    assert context.got[name] * 100 <= percent * sum(context.got.values()), context.got


@when("a refused request and a served one carry ids")
def step_ids(context):
    for key, name in (("birch-mill", "refused1"), ("alder-mill", "served1")):
        url = f"http://{HOST}:{port(context)}/booking/1"
        headers = {"authorization": f"Bearer {context.keys[key]}", "x-request-id": name}
        context.fleet.http.post(url, headers=headers, content=b"{}")


@then('"berylctl explain" tells the cause of the first and the server of the second')
def step_explained(context):
    found = {
        name: json.loads(context.fleet.berylctl("explain", name, "--json").stdout)[0]
        for name in ("refused1", "served1")
    }
    assert found["refused1"]["refusal"] == "not_entitled", found
    assert found["refused1"]["ran"] == "no" and not found["refused1"]["backends"]
    assert found["served1"]["backends"][0].startswith("booking-")


@then('"berylctl doctor" exits with {code:d}')
def step_doctor(context, code):
    def matches():
        context.doctor = context.fleet.berylctl("doctor", check=False)
        return context.doctor.returncode == code

    wait_until(matches, "the doctor")
    assert bool(code) == ("store" in context.doctor.stdout), context.doctor.stdout
    context.fleet.platform_state(outage=False)


@when("the store is out for the doctor")
def step_out_for_doctor(context):
    context.fleet.platform_state(outage=True)
