"""Steps on requests that wait for a VM's processor time."""

import random
import statistics

import anyio
from behave import given, then, when

from berylbankd._internal.ingress.intake import MAX_STARTS_PER_PASS, RequestIntake, WaitingRequest

SEED = 20261205


class SteppedClock:
    """A clock that the test moves."""

    def __init__(self):
        self.now = 0

    def now_ms(self):
        return self.now


@given("a VM that handles {rate:d} requests a second in passes of {count:d}")
def step_vm(context, rate, count):
    assert count == MAX_STARTS_PER_PASS
    context.pass_ms = 1000 * count // rate
    context.capacity_per_s = rate
    context.clock = SteppedClock()
    context.intake = RequestIntake(context.clock)


@when(
    "{rate:d} x {load:d} requests a second arrive for {seconds:d} s, whose callers wait {ms:d} ms"
)
def step_load(context, rate, load, seconds, ms):
    rng = random.Random(SEED)
    context.started_after, context.refused_after = [], []
    pending = []
    context.seconds = seconds
    for now_ms in range(0, seconds * 1000, context.pass_ms):
        arrivals = (
            rng.binomialvariate(rate * load, context.pass_ms / 1000)
            if hasattr(rng, "binomialvariate")
            else sum(rng.random() < context.pass_ms / 1000 for _ in range(rate * load))
        )
        for _ in range(arrivals):
            request = WaitingRequest(now_ms, ms / 8)
            context.intake.waiting.append(request)
            pending.append(request)
        context.intake.start_pass(now_ms + context.pass_ms)
        for request in [item for item in pending if item.decided.is_set()]:
            pending.remove(request)
            waited = now_ms + context.pass_ms - request.arrived_ms
            (context.started_after if request.admitted else context.refused_after).append(waited)


@then("it starts at least {percent:d}% of what it can handle")
def step_started(context, percent):
    possible = context.capacity_per_s * context.seconds
    assert len(context.started_after) >= percent / 100 * possible, len(context.started_after)


@then("no request is started that has waited for more than {ms:d} ms")
def step_longest(context, ms):
    assert max(context.started_after) <= ms, max(context.started_after)


@then("half of the requests are started within {ms:d} ms")
def step_median(context, ms):
    assert statistics.median(context.started_after) <= ms, statistics.median(context.started_after)


@then("no request is refused before it has waited for {low:d} ms or later than {high:d} ms")
def step_refused(context, low, high):
    late = [item for item in context.refused_after if not low <= item <= high]
    assert not late, (len(late), len(context.refused_after), max(context.refused_after))


@when("{count:d} requests arrive at once and the last one is cancelled")
def step_cancel(context, count):
    context.admitted = []

    async def arrive(number, scopes):
        with anyio.CancelScope() as scopes[number]:
            context.admitted.append(await context.intake.admit(0, 1_500))

    async def run():
        scopes = {}
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(arrive, number, scopes)
            await anyio.sleep(0.01)
            scopes[count - 1].cancel()
            await anyio.sleep(0.01)
            for _ in range(2):
                context.intake.start_pass(0)
            await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(run)


@then("{count:d} requests are started in 2 passes")
def step_all_started(context, count):
    assert context.admitted == [True] * count, context.admitted


@when(
    "{count:d} callers send their next request as soon as the last one is started,"
    " and another caller sends one"
)
def step_send_again(context, count):
    intake, limit_ms, context.waited_ms = context.intake, 10**6, 10**6
    # Commits without a queue for such requests have one queue for all.
    queue = getattr(intake, "waiting_again", intake.waiting)
    pending = [WaitingRequest(0, limit_ms) for _ in range(count)]
    queue.extend(pending)
    context.starts, context.request = [0] * count, None
    for now_ms in range(0, 2000, context.pass_ms):
        intake.start_pass(now_ms)
        if context.request is None and now_ms > 200:
            context.request = WaitingRequest(now_ms, 3000 / 8)
            intake.waiting.append(context.request)
        for number, request in enumerate(pending):
            if request.decided.is_set():
                context.starts[number] += 1
                pending[number] = WaitingRequest(now_ms, limit_ms)
                queue.append(pending[number])
        if context.request is not None and context.request.decided.is_set():
            waited_ms = now_ms - context.request.arrived_ms
            context.waited_ms = min(context.waited_ms, waited_ms)


@then("requests of each of the {count:d} callers were started all the while")
def step_all_started(context, count):
    assert len(context.starts) == count and min(context.starts) > 1, context.starts


@then("its request is started before it has waited for {ms:d} ms")
def step_started_in_time(context, ms):
    assert context.request.decided.is_set(), "it still waits"
    assert context.request.admitted and context.waited_ms < ms, context.waited_ms
