"""Steps on a stop of the own interface while callers go on sending."""

from types import SimpleNamespace

import anyio
from behave import then, when

from berylbankd._internal.application import Application
from berylbankd._internal.entry.exchange import Exchange
from tests.steps.entry_silent_server_steps import TEST_LIMIT_S

LOOKUP_MAX_AGE_MS = 100


class StopRun:
    """Lookups at intervals during the drain of a stop; ``results`` holds their answers."""

    def __init__(self, run):
        self.run = run
        self.running_requests = 0
        self.results = []

    async def stop(self, grace_ms, interval_ms):
        run = self.run
        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as group:
                await run.first.start(group)
                await run.other.start(group)
                run.make_dispatcher()
                group.start_soon(run.dispatcher.deadline_monitor.run)
                run.first.behaviour = run.first_behaviour
                async with anyio.create_task_group() as callers:
                    callers.start_soon(self.send_lookups, callers, interval_ms)
                    await self.make_application(grace_ms)._leave_and_drain()
                    # The servers go on serving for a further grace time after this.
                    self.stopped = True
                group.cancel_scope.cancel()

    def make_application(self, grace_ms):
        application = Application.__new__(Application)
        application.coordinator = SimpleNamespace(start_leaving=lambda: None)
        timing = SimpleNamespace(lookup_max_age_ms=LOOKUP_MAX_AGE_MS, stop_grace_ms=grace_ms)
        application.settings = SimpleNamespace(timing=timing)
        claims = SimpleNamespace(claim_store=SimpleNamespace(pending_records=0))
        application.entry = self
        self.dispatcher, self.idempotency_claims = self.run.dispatcher, claims
        return application

    async def send_lookups(self, callers, interval_ms):
        self.stopped = False
        while not self.stopped:
            callers.start_soon(self.send_lookup)
            await anyio.sleep(interval_ms / 1000)

    async def send_lookup(self):
        messages = []

        async def send(message):
            messages.append(message)

        scope = {"method": "GET", "path": "/desk/x", "raw_path": b"/desk/x", "query_string": b""}
        exchange = Exchange({**scope, "headers": []}, anyio.sleep_forever, send, 0)
        exchange.service = self.run.service
        self.running_requests += 1
        started_s = anyio.current_time()
        refusal = await self.run.dispatcher.dispatch(exchange)
        self.running_requests -= 1
        took_ms = int((anyio.current_time() - started_s) * 1000)
        status = messages[0]["status"] if messages else refusal.kind.value
        self.results.append((status, took_ms))


@when(
    "a VM stops with a grace time of {grace_ms:d} ms while a caller sends a lookup every {ms:d} ms"
)
def step_stop(context, grace_ms, ms):
    context.stop_run = StopRun(context.run)
    anyio.run(context.stop_run.stop, grace_ms, ms)


@then("every lookup that was sent until then has its answer")
def step_all_answered(context):
    results = context.stop_run.results
    assert len(results) > 3 and {status for status, _ in results} == {200}, results
