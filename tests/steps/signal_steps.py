"""Steps on signals to a VM, which this process sends to itself."""

import os
import signal
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path

import anyio
from behave import given, then, when

from berylbankd._internal.steering_application import HANDLED_SIGNALS, SteeringApplication

SETTINGS = """
nodeName = "vm-1"
ip = "127.0.0.1"
zone = "a"
region = "one"
ephemeralPorts = [7000, 7015]
seeds = []
bounds = ["graceS={grace_s}"]
[zones]
a = "one"
[listen]
http = "127.0.0.1:8000"
readiness = "127.0.0.1:8001"
directory = "127.0.0.1:8002"
[platform]
address = "127.0.0.1:8003"
"""
HANDLING_S = 0.1


class StoppedApp:
    """Stands in for the application for callers and its server; it keeps the plans of stops."""

    running_requests = 0

    def __init__(self):
        self.plans = []

    def prepare_stop(self):
        """Do nothing."""

    def start_stopping(self, plan):
        """Keep the plan."""
        self.plans.append(plan)


class StoppedSteering:
    """Stands in for the steering state of a VM."""

    leaving = False


@given("a VM with a grace time of {ms:d} ms")
def step_vm(context, ms):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "node.toml"
    path.write_text(SETTINGS.format(grace_s=ms / 1000))
    context.application = SteeringApplication(path)
    context.app = StoppedApp()
    context.application.caller_app = context.application.caller_server = context.app
    context.application.steering = StoppedSteering()
    context.reloads = 0

    def count_reload():
        context.reloads += 1

    context.application._reload = count_reload


@contextmanager
def keep_dispositions():
    """Restore the dispositions of this process's signals afterwards."""
    before = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def run_vm(context, act):
    """Run a coroutine function beside the VM's handling of signals and its stop."""
    application = context.application

    async def stop_when_requested():
        await application.stop_requested.wait()
        await application._stop_gracefully()

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(application._watch_signals)
            group.start_soon(stop_when_requested)
            await anyio.sleep(HANDLING_S)
            await act()
            await anyio.sleep(HANDLING_S)
            group.cancel_scope.cancel()

    with keep_dispositions():
        anyio.run(run, backend_options={"use_uvloop": True})


def keep_busy(seconds):
    """Keep the interpreter and the event loop busy."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        pass


def send_to_self(number):
    os.kill(os.getpid(), number)


@when("it gets SIGTERM, and its event loop is busy for {ms:d} ms")
def step_stop_while_busy(context, ms):
    async def act():
        context.signal_ms = context.application.clock.now_ms()
        send_to_self(signal.SIGTERM)
        keep_busy(ms / 1000)

    run_vm(context, act)


@when(
    "it gets SIGINT and {gap:d} ms later SIGTERM, and its event loop is busy for {ms:d} ms",
)
def step_stop_twice_while_busy(context, gap, ms):
    async def act():
        context.signal_ms = context.application.clock.now_ms()
        send_to_self(signal.SIGINT)
        keep_busy(gap / 1000)
        send_to_self(signal.SIGTERM)
        keep_busy((ms - gap) / 1000)

    run_vm(context, act)


@then(
    "the VM starts requests until at least {least:d} and at most {most:d} ms after the first signal"
)
def step_started_until(context, least, most):
    assert len(context.app.plans) == 1, context.app.plans
    start_ms = context.app.plans[0].last_start_ms - context.signal_ms
    assert least <= start_ms <= most, start_ms


@when("it gets SIGHUP, and later SIGTERM and SIGHUP at once")
def step_hup(context):
    async def act():
        send_to_self(signal.SIGHUP)
        await anyio.sleep(HANDLING_S)
        assert not context.app.plans
        send_to_self(signal.SIGTERM)
        send_to_self(signal.SIGHUP)

    run_vm(context, act)


@then("it has read its settings {count:d} times, and was stopped once")
def step_reloaded(context, count):
    assert (context.reloads, len(context.app.plans)) == (count, 1)


@when("it stops to handle signals, and gets SIGTERM and SIGHUP")
def step_after_handling(context):
    async def handle_and_end():
        async with anyio.create_task_group() as group:
            group.start_soon(context.application._watch_signals)
            await anyio.sleep(HANDLING_S)
            group.cancel_scope.cancel()
        for number in (signal.SIGTERM, signal.SIGHUP):
            send_to_self(number)
        await anyio.sleep(HANDLING_S)
        context.went_on = True

    with keep_dispositions():
        anyio.run(handle_and_end, backend_options={"use_uvloop": True})


@then("the process goes on")
def step_went_on(context):
    assert context.went_on and not context.app.plans
