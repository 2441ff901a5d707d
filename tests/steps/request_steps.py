"""Steps on requests, operator commands and golden files, against real processes."""

import json
import re
import socket
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import anyio
from behave import given, then, when
from fleet import HOST, wait_until

from berylbank_standins._internal.load import CallerConnection, IncompleteResponseError
from tests.support.callers import LOOKUP_SERVERS, get_caller_port, send_get

GOLDEN = Path(__file__).parent.parent / "functional" / "golden"
MAY_CLOSE_WITHOUT_RESPONSE = "huge header"
LONG_ID = "x" * 40_000
VOLATILE_PATTERNS = (
    (re.compile(r'("request_id": ")[^"]*'), r"\1ID"),
    (re.compile(r"(x-request-id: )\w+"), r"\1ID"),
    (re.compile(r"bb_[\w-]{20,}"), "KEY"),
    (re.compile(r"operation [0-9a-f]{16}"), "operation ID"),
    (re.compile(r"head \d+"), "head N"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"[ \t]+$", re.MULTILINE), ""),
)


def mask_volatile(text):
    for pattern, replacement in VOLATILE_PATTERNS:
        text = pattern.sub(replacement, text)
    return text


def compare_golden(name, text):
    path = GOLDEN / name
    if not path.exists():
        path.write_text(text)
    assert path.read_text() == text, f"{name} differs:\n{text}"


def send_raw(context, raw):
    """Send raw bytes on a new connection and return the response up to its end."""
    with socket.create_connection((HOST, get_caller_port(context)), timeout=5) as connection:
        connection.sendall(raw)
        response = b""
        try:
            while chunk := connection.recv(65_536):
                response += chunk
        except (ConnectionResetError, TimeoutError):
            response += b"(no end)"
        return response.decode("latin-1")


def raw_request(line, *headers, body=""):
    lines = [f"{line} HTTP/1.1", "host: a", "connection: close", *headers, "", body]
    return "\r\n".join(lines)


def invalid_requests(keys):
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


@when("one request of each invalid kind is sent")
def step_send_invalid_requests(context):
    parts = []
    for name, raw in invalid_requests(context.keys).items():
        response = send_raw(context, raw.encode("latin-1"))
        if name == MAY_CLOSE_WITHOUT_RESPONSE:
            assert " 200 " not in response
            response = "(refused or closed, whichever the caller sees first)"
        parts.append(f"== {name}\n{response.replace(chr(13), '')}\n")
    context.golden_text = re.sub(
        r"x-backend: [\w-]+", "x-backend: SERVER", mask_volatile("".join(parts))
    )


@then('the responses equal the golden file "{name}"')
@then('their output equals the golden file "{name}"')
def step_golden(context, name):
    compare_golden(name, context.golden_text)


@when("the operator commands are run")
def step_operator_commands(context):
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
    context.golden_text = mask_volatile("".join(parts))


@when("a request with spoofed identity headers is sent")
def step_spoof(context):
    url = f"http://{HOST}:{get_caller_port(context)}/lookup/oak"
    headers = {
        "authorization": f"Bearer {context.keys['alder-mill']}",
        "x-berylbank-organisation": "birch-mill",
        "connection": "x-drop-me",
        "x-drop-me": "1",
    }
    context.response = context.fleet.http.get(url, headers=headers)


@then("the backend server received only the organisation of the key")
def step_key_organisation_received(context):
    assert context.response.json()["organisation"] == "alder-mill"
    states = [context.fleet.backend_state(name) for name in LOOKUP_SERVERS]
    assert all("birch-mill" not in state["organisations"] for state in states)
    assert all(state["bad_headers"] == 0 for state in states)


@given("a caller with an open connection and its own key")
def step_open_connection(context):
    context.own_key = context.fleet.grant_key("alder-mill", "own")
    assert send_get(context, "/lookup/oak", context.own_key).status_code == 200


@when("the operator withdraws that key")
def step_withdraw_own(context):
    context.fleet.berylctl("keys", "withdraw", "alder-mill", "own")


@then('the next request on that connection is refused as "{kind}"')
def step_refused_as(context, kind):
    assert send_get(context, "/lookup/oak", context.own_key).json()["error"] == kind


@when("every lookup server truncates its responses")
def step_truncate(context):
    for name in LOOKUP_SERVERS:
        context.fleet.backend_state(name, truncate=True)


@then("the caller's connection is aborted before the response is complete")
def step_aborted(context):
    caller = CallerConnection(HOST, get_caller_port(context))
    headers = (("authorization", f"Bearer {context.keys['alder-mill']}"),)
    headers += (("x-answer-bytes", "200000"),)
    try:
        anyio.run(caller.request, "GET", "/lookup/oak", headers)
    except IncompleteResponseError:
        return
    finally:
        for name in LOOKUP_SERVERS:
            context.fleet.backend_state(name, truncate=False)
    raise AssertionError("the response ended without an error")


@when("one lookup server closes its connections after each response")
def step_close_after_response(context):
    context.fleet.backend_state("lookup-north", close_idle=True)


@then("{count:d} lookups in a row are answered")
def step_lookups_answered(context, count):
    for _ in range(count):
        response = send_get(context, "/lookup/oak", context.keys["alder-mill"])
        assert response.status_code == 200, response.text
    context.fleet.backend_state("lookup-north", close_idle=False)


@when("the logs and metrics of every VM are read")
def step_read_logs(context):
    fleet = context.fleet
    headers = {"authorization": f"Bearer {fleet.tokens['operate.token']}"}
    context.texts = [fleet.read_log(name) for name in fleet.ports]
    for ports in fleet.ports.values():
        url = f"http://{HOST}:{ports.operators}/metrics"
        context.texts.append(fleet.http.get(url, headers=headers).text)


@then("none of them contains a key or an operator's token")
def step_no_secret(context):
    assert any("berylbank_request_duration" in text for text in context.texts)
    for text in context.texts:
        assert "bb_" not in text
        assert all(token not in text for token in context.fleet.tokens.values())


@when("an operator with the look token tries to make a change")
def step_change_with_look_token(context):
    fleet = context.fleet
    headers = {"authorization": f"Bearer {fleet.tokens['look.token']}"}
    base = f"http://{HOST}:{fleet.ports['north-1a'].operators}/v1"
    context.change_response = fleet.http.post(f"{base}/changes", headers=headers, json={})
    context.status_response = fleet.http.get(f"{base}/status", headers=headers)


@then("the change is forbidden and the status is shown")
def step_forbidden(context):
    assert context.change_response.status_code == 403
    assert context.status_response.json()["vm"] == "north-1a"


@when("a refused request and a served one are sent with request ids")
def step_send_with_request_ids(context):
    for key, name in (("birch-mill", "refused1"), ("alder-mill", "served1")):
        url = f"http://{HOST}:{get_caller_port(context)}/booking/1"
        headers = {"authorization": f"Bearer {context.keys[key]}", "x-request-id": name}
        context.fleet.http.post(url, headers=headers, content=b"{}")


@then('"berylctl explain" shows the cause of the first and the server of the second')
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

    wait_until(matches, "the exit code of berylctl doctor")
    assert bool(code) == ("store" in context.doctor.stdout), context.doctor.stdout
    context.fleet.platform_state(outage=False)


@when("the store is unavailable")
def step_store_unavailable(context):
    context.fleet.platform_state(outage=True)


@given("lookups have opened connections to every lookup server")
def step_open_to_all(context):
    with ThreadPoolExecutor(12) as pool:
        key = context.keys["alder-mill"]
        responses = list(pool.map(lambda _n: send_get(context, "/lookup/oak", key), range(60)))
    assert all(response.status_code == 200 for response in responses)


@when("the servers stop responding on those connections")
def step_silence_open(context):
    for name in LOOKUP_SERVERS:
        context.fleet.backend_state(name, silence_open=True)


@when("the nearest lookup server drops requests and the others shed them")
def step_drop_and_shed(context):
    for name in LOOKUP_SERVERS:
        nearest = name == "lookup-north"
        context.fleet.backend_state(name, drop=nearest, shed=not nearest)


@then('a lookup is refused with "ran" set to "{ran}"')
def step_lookup_refused(context, ran):
    response = send_get(context, "/lookup/oak", context.keys["alder-mill"])
    for name in LOOKUP_SERVERS:
        context.fleet.backend_state(name, drop=False, shed=False)
    assert response.status_code >= 500, response.text
    assert response.json()["ran"] == ran, response.text


@when("the nearest lookup server works for {ms:d} ms and the others shed requests")
def step_work_and_shed(context, ms):
    for name in LOOKUP_SERVERS:
        nearest = name == "lookup-north"
        context.fleet.backend_state(name, late_ms=ms if nearest else 0, shed=not nearest)


@then("a lookup is answered by the nearest lookup server")
def step_lookup_answered_by_nearest(context):
    response = send_get(context, "/lookup/oak", context.keys["alder-mill"])
    for name in LOOKUP_SERVERS:
        context.fleet.backend_state(name, late_ms=0, shed=False)
    assert response.status_code == 200, response.text
    assert response.headers["x-backend"] == "lookup-north"
