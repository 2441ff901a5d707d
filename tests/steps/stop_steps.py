"""Steps on the stop of a VM while callers read its responses slowly."""

import asyncio
import contextlib
import json
import os
import re
import signal
import time
from pathlib import Path

import anyio
from behave import given, then, when
from slow_links import SlowCaller, SlowProxy

from tests.steps.steering_fleet_steps import (
    make_headers,
    run_in_fleet,
    send_request,
)

GRACE_S = 2.0
CALLERS = 4
# How long after its request a caller lets the VM get the response from the server.
SERVER_TIME_S = 0.15
LINK_DELAY_S = 0.02
FAST = 1e9
INTERPRETER_START_TIMEOUT_S = 30.0


@given("every server sends {size:d} bytes")
def step_size(context, size):
    context.body_bytes = size
    for server in context.steering.servers.values():
        server.behaviour = server.behaviour._replace(body_bytes=size)


@given("only the first server of object {object_key:d} serves, after {ms:d} ms without a byte")
def step_silent(context, object_key, ms):
    headers, vm = make_headers(context, object_key), context.steering.vms[2]
    context.first_server = send_request(context, "GET", "/reads/x", headers, vm).json()["server"]
    for server_id, server in context.steering.servers.items():
        changes = {"work_ms": ms, "warm_factor": 1.0}
        if server_id != context.first_server:
            changes = {"shed": True}
        server.behaviour = server.behaviour._replace(**changes)


@when(
    "a VM gets SIGTERM while callers read responses at {rate:d} bytes per second through slow links"
)
def step_stop_slow_readers(context, rate):
    run_in_fleet(context, stop_during_responses, context, rate, [signal.SIGTERM])


@when(
    "a VM gets SIGTERM again and again while callers read responses at {rate:d} bytes per second"
    " through slow links"
)
def step_stop_again(context, rate):
    signals = [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM]
    run_in_fleet(context, stop_during_responses, context, rate, signals)


async def stop_during_responses(context, rate, signals):
    """Send a request through a slow link from each caller, and the signals to the VM meanwhile."""
    vm = context.steering.vms[2]
    proxy = SlowProxy((vm.ip, context.steering.http_port), rate, LINK_DELAY_S)
    proxy.start()
    callers = [SlowCaller(*proxy.address, rate * 2) for _ in range(CALLERS)]
    try:
        for caller in callers:
            await caller.connect()
        requests = [
            asyncio.create_task(
                caller.request(
                    "GET", "/reads/x", make_headers(context, number, x_deadline_ms="9000")
                )
            )
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(SERVER_TIME_S)
        for number in signals:
            os.kill(vm.process.pid, number)
            await asyncio.sleep(0.3)
        context.received = await asyncio.wait_for(asyncio.gather(*requests), 20)
    finally:
        for caller in callers:
            caller.close()
        proxy.close()


@then("every caller got its whole response")
def step_whole(context):
    ends = [(got.status, len(got.body), got.end) for got in context.received]
    report = f"{ends}\n" + "\n".join(find_cut_lines(context))
    assert all(end == "whole" and status == 200 for status, _, end in ends), report
    assert all(size > context.body_bytes for _, size, _ in ends), report


def find_cut_lines(context):
    log = context.steering.read_log(context.steering.vms[2])
    return [line for line in log.splitlines() if "response is cut" in line]


@when("a VM gets SIGTERM while a caller reads nothing of its response")
def step_no_reader(context):
    run_in_fleet(context, stop_without_reader, context)


async def stop_without_reader(context):
    vm = context.steering.vms[2]
    caller = SlowCaller(vm.ip, context.steering.http_port, 1.0)
    try:
        await caller.connect()
        headers = make_headers(context, 1, x_deadline_ms="9000")
        lines = ["GET /reads/x HTTP/1.1", *(f"{name}: {headers[name]}" for name in headers), "", ""]
        await caller.send("\r\n".join(lines).encode())
        await asyncio.sleep(SERVER_TIME_S)
        started_s = time.monotonic()
        os.kill(vm.process.pid, signal.SIGTERM)
        context.exit_code = await vm.process.wait()
        context.stop_s = time.monotonic() - started_s
    finally:
        caller.close()


@then("the VM has exited with code {code:d} within its grace time")
def step_exited(context, code):
    assert context.exit_code == code, context.exit_code
    assert context.stop_s <= GRACE_S, context.stop_s


@then("the VM's log names the response that the caller has not got, and how much of it")
def step_undelivered_logged(context):
    log = context.steering.read_log(context.steering.vms[2])
    # How much the kernel takes over, and so which of the two lines it is, depends on its limits.
    lines = [line for line in log.splitlines() if context.request_id in line]
    undelivered = [json.loads(line) for line in lines if "end of this process" in line]
    assert len(undelivered) == 1, lines
    missing = undelivered[0]["unsent_bytes"] + undelivered[0]["unacknowledged_bytes"]
    assert missing > context.body_bytes / 2, undelivered


@when("a VM gets SIGTERM and callers keep connecting until it has exited")
def step_keep_connecting(context):
    run_in_fleet(context, connect_until_exit, context)


async def connect_until_exit(context):
    """Open a connection every few ms, and send a request on each that was opened."""
    vm = context.steering.vms[2]
    context.received = []

    async def call(number):
        caller = SlowCaller(vm.ip, context.steering.http_port, FAST)
        try:
            await caller.connect()
        except OSError:
            return
        try:
            context.received.append(
                await caller.request("GET", "/reads/x", make_headers(context, number))
            )
        finally:
            caller.close()

    os.kill(vm.process.pid, signal.SIGTERM)
    calls = []
    while vm.process.returncode is None:
        calls.append(asyncio.create_task(call(len(calls))))
        await asyncio.sleep(0.002)
    await asyncio.gather(*calls)


@then("every caller whose connection was opened got a response or a close, never a reset")
def step_never_reset(context):
    ends = [got.end for got in context.received]
    assert len(ends) > 50 and "reset" not in ends, {end: ends.count(end) for end in set(ends)}


@when("a VM gets SIGTERM {ms:d} ms after a caller has asked for object {object_key:d}")
def step_read_then_stop(context, ms, object_key):
    run_in_fleet(context, read_then_stop, context, object_key, ms)


async def read_then_stop(context, object_key, ms):
    vm = context.steering.vms[2]
    caller = SlowCaller(vm.ip, context.steering.http_port, FAST)
    try:
        await caller.connect()
        headers = make_headers(context, object_key)
        request = asyncio.create_task(caller.request("GET", "/reads/x", headers))
        await asyncio.sleep(ms / 1000)
        os.kill(vm.process.pid, signal.SIGTERM)
        context.received = [await asyncio.wait_for(request, 10)]
    finally:
        caller.close()


@then("the caller gets {status:d} with the signature of its first server")
def step_first_server(context, status):
    got = context.received[0]
    assert got.status == status and got.end == "whole", (got.status, got.end, got.body[:300])
    assert got.headers["x-server-signature"] == f"signed-{context.first_server}", got.headers


@given("a caller has read a response of the VM at {rate:d} bytes per second through a slow link")
def step_read_slowly(context, rate):
    run_in_fleet(context, read_slowly, context, rate)


async def read_slowly(context, rate):
    """Read one response of the VM through a slow link, and return it."""
    vm = context.steering.vms[2]
    proxy = SlowProxy((vm.ip, context.steering.http_port), rate, LINK_DELAY_S)
    proxy.start()
    caller = SlowCaller(*proxy.address, rate * 2)
    try:
        await caller.connect()
        headers = make_headers(context, 1, x_deadline_ms="9000")
        return await asyncio.wait_for(caller.request("GET", "/reads/x", headers), 20)
    finally:
        caller.close()
        proxy.close()


@when(
    "the VM gets SIGTERM and callers ask every {ms:d} ms, who read {rate:d} bytes per second"
    " through slow links"
)
def step_stop_slow_arrivals(context, ms, rate):
    run_in_fleet(context, stop_during_slow_arrivals, context, ms, rate)


async def stop_during_slow_arrivals(context, ms, rate):
    vm = context.steering.vms[2]
    os.kill(vm.process.pid, signal.SIGTERM)
    requests = []
    while vm.process.returncode is None:
        requests.append(asyncio.create_task(read_slowly(context, rate)))
        await asyncio.sleep(ms / 1000)
    context.received = await asyncio.gather(*requests)


@then("every caller got its whole response or was refused as not run")
def step_whole_or_refused(context):
    report = [(got.status, len(got.body), got.end) for got in context.received]
    for got in context.received:
        unread = got.status == 0
        refused = got.status == 503 and json.loads(got.body)["ran"] == "no"
        served = got.status == 200 and len(got.body) > context.body_bytes
        assert unread or got.end == "whole" and (refused or served), report


@when("the VM gets SIGTERM while a caller has sent half of its body")
def step_stop_in_body(context):
    run_in_fleet(context, stop_in_body, context)


async def stop_in_body(context):
    vm = context.steering.vms[2]
    caller = SlowCaller(vm.ip, context.steering.http_port, FAST)
    try:
        await caller.connect()
        headers = {**make_headers(context, 1), "content-length": "1000"}
        lines = ["POST /books/x HTTP/1.1", *(f"{name}: {headers[name]}" for name in headers)]
        await caller.send("\r\n".join([*lines, "", "x" * 500]).encode())
        os.kill(vm.process.pid, signal.SIGTERM)
        context.received = [await asyncio.wait_for(caller.read_response(), 10)]
    finally:
        caller.close()


@then("every caller was refused as not run")
def step_refused_not_run(context):
    for got in context.received:
        assert (got.status, got.end) == (503, "whole"), got
        assert json.loads(got.body)["ran"] == "no", got


@when("the VM gets SIGTERM every millisecond until it has exited")
def step_term_until_exit(context):
    run_in_fleet(context, send_signals, context.steering.vms[2], signal.SIGTERM, 0.001)


async def send_signals(vm, number, interval_s):
    """Send a signal again and again until the VM's process has exited."""
    while vm.process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(vm.process.pid, number)
        await asyncio.sleep(interval_s)


@when("a VM is stopped, and gets SIGHUP every {ms:d} ms while it starts again")
def step_hup_at_start(context, ms):
    run_in_fleet(context, hup_while_starting, context, ms)


async def hup_while_starting(context, ms):
    vm = context.steering.vms[1]
    os.kill(vm.process.pid, signal.SIGTERM)
    await vm.process.wait()
    await context.steering.start_vm(vm)
    # The interpreter itself ends on SIGHUP until it runs the daemon's code, which ignores it before
    # anything else (tests/unit/platform/start.feature).
    with anyio.fail_after(INTERPRETER_START_TIMEOUT_S):
        while not is_survived(vm, signal.SIGHUP):
            await asyncio.sleep(0.001)
    signals = asyncio.create_task(send_signals(vm, signal.SIGHUP, ms / 1000))
    await context.steering.wait_ready(vm)
    signals.cancel()


def is_survived(vm, number):
    """Tell whether a VM's process ignores or handles a signal."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    masks = re.findall(r"Sig(?:Ign|Cgt):\s*([0-9a-f]+)", status)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)
