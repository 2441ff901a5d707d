"""Steps on requests that wait to be admitted while their VM stops."""

import json
import time

import anyio
from behave import given, then, when

from berylbankd._internal.ingress.stop_plan import plan_stop
from tests.steps.faulty_server_steps import (
    CountingRequestLog,
    call_app,
    make_app,
    make_steering,
)

GRACE_MS = 6_000
TEST_LIMIT_S = 20


class SlowAdmission:
    """Admits requests after a wait."""

    def __init__(self, wait_ms):
        self.wait_ms = wait_ms

    async def admit(self, *_):
        await anyio.sleep(self.wait_ms / 1000)
        return True


@given("a VM where a request waits for {what} for {ms:d} ms")
def step_vm(context, what, ms):
    context.app = make_app(make_steering(), CountingRequestLog())
    if what == "a token":
        context.app.rate_limiter = SlowAdmission(ms)
    else:
        context.app.intake = SlowAdmission(ms)


def run(context, sent_after_signal_ms, act):
    """Send a request at a stopping VM, and note how long after ``act`` it is answered."""
    app = context.app

    async def send():
        context.events = await call_app(app, "r1", "GET")
        context.answered_s = time.monotonic()

    async def run_all():
        app.start_stopping(plan_stop(app.clock.now_ms() - sent_after_signal_ms, GRACE_MS))
        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(send)
                await act(app)
                context.ended_s = time.monotonic()

    anyio.run(run_all)


@when("a request arrives at the stopping VM, and the stop ends {ms:d} ms later")
def step_end(context, ms):
    async def end(app):
        await anyio.sleep(ms / 1000)
        app.expire_deadlines()

    run(context, 0, end)


@when("a request arrives at the VM after the last start of its stop")
def step_late(context):
    async def do_nothing(_):
        await anyio.sleep(0)

    run(context, GRACE_MS // 2, do_nothing)


@then('the stopping VM answers {status:d} with "ran" set to "{ran}" within {ms:d} ms of it')
def step_refused(context, status, ran, ms):
    start, body = context.events
    assert start["status"] == status, start
    assert json.loads(body["body"])["ran"] == ran, body
    assert context.answered_s - context.ended_s <= ms / 1000
