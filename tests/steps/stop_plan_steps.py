"""Steps on the times of a VM's stop."""

from enum import Enum
from itertools import product
from typing import NamedTuple

from behave import then, when

from berylbankd._internal.ingress.stop_plan import plan_stop

NOW_MS = 50_000
GRACE_TIMES_MS = (2_000, 3_000, 4_000, 5_000, 6_000, 8_000, 10_000)
DEADLINES_MS = (1_000, 1_500, 2_000, 3_000, 5_000, 8_000, 13_000, 20_000)
SERVICE_TIMES_MS = (50, 200, 1_000, 2_000, 4_000, 9_000)
ARRIVAL_STEP_MS = 100
# How late the interpreter may notice a signal.
NOTICE_DELAYS_MS = (0, 100)
LAST_EXCUSED_START_MS = 3_000


class Outcome(Enum):
    """What became of a request at a stopping VM."""

    REFUSED = "refused"
    ENDED_BY_SERVER_OR_DEADLINE = "ended by its server or its deadline"
    ENDED_BY_STOP = "ended by the stop"


class Arrival(NamedTuple):
    """A request at a stopping VM; times count from the signal."""

    grace_ms: int
    deadline_ms: int
    service_ms: int
    notice_delay_ms: int
    arrival_ms: int
    plan_end_ms: int
    last_start_ms: int
    outcome: Outcome


@when("a stop with a grace time of {grace:d} ms is planned")
def step_plan(context, grace):
    context.grace_ms = grace
    context.plan = plan_stop(NOW_MS, grace)


@then(
    "requests are started for {start:d} ms, on connections that were accepted {before:d} ms earlier"
)
def step_start(context, start, before):
    assert context.plan.last_start_ms - NOW_MS == start, context.plan
    assert context.plan.close_ms - NOW_MS == max(0, start - before), context.plan


@then(
    "running requests end in the last sixth of the grace time, and their callers have some time"
    " to read"
)
def step_end(context):
    plan, grace_ms = context.plan, context.grace_ms
    assert plan.end_ms - NOW_MS >= grace_ms * 5 / 6, plan
    assert plan.end_ms < plan.deliver_ms < NOW_MS + grace_ms, plan


@then(
    "requests that take up to {longest:d} ms, and have {deadline:d} ms left, are started for"
    " {start:d} ms"
)
def step_started_for(context, longest, deadline, start):
    started = [
        after_ms
        for after_ms in range(context.grace_ms)
        if context.plan.may_start(NOW_MS + after_ms, NOW_MS + after_ms + deadline, longest)
    ]
    assert started == list(range(start + 1)), started[-1:]


@when(
    "requests arrive throughout stops with grace times from 2 to 10 s, with 1 to 20 s left, and the"
    " guess is {factor:g} times what they take"
)
def step_sweep(context, factor):
    context.factor = factor
    context.arrivals = [
        play_arrival(*case, arrival_ms, factor)
        for case in product(GRACE_TIMES_MS, DEADLINES_MS, SERVICE_TIMES_MS, NOTICE_DELAYS_MS)
        for arrival_ms in range(case[-1], case[0], ARRIVAL_STEP_MS)
    ]


def play_arrival(grace_ms, deadline_ms, service_ms, notice_delay_ms, arrival_ms, factor):
    """Return what becomes of a request that takes ``service_ms`` at its server."""
    signal_ms = NOW_MS - notice_delay_ms
    plan = plan_stop(NOW_MS, grace_ms)
    now_ms = signal_ms + arrival_ms
    if not plan.may_start(now_ms, now_ms + deadline_ms, factor * service_ms):
        outcome = Outcome.REFUSED
    elif now_ms + min(deadline_ms, service_ms) <= plan.end_ms:
        outcome = Outcome.ENDED_BY_SERVER_OR_DEADLINE
    else:
        outcome = Outcome.ENDED_BY_STOP
    return Arrival(
        grace_ms,
        deadline_ms,
        service_ms,
        notice_delay_ms,
        arrival_ms,
        plan.end_ms - signal_ms,
        plan.last_start_ms - signal_ms,
        outcome,
    )


@then(
    "each that is ended was sent within 3 s after the signal, and its server was at work in the"
    " last sixth of the grace time"
)
def step_ended_excused(context):
    ended = [item for item in context.arrivals if item.outcome is Outcome.ENDED_BY_STOP]
    # A guess that is too low lets the stop end some, which the check must have seen.
    assert bool(ended) == (context.factor < 1), len(ended)
    for item in ended:
        assert item.arrival_ms <= LAST_EXCUSED_START_MS, item
        assert item.grace_ms * 5 / 6 <= item.plan_end_ms < item.grace_ms, item
        assert item.arrival_ms + item.service_ms > item.plan_end_ms, item


@then(
    "none is refused whose deadline comes before the end, except those that arrive after the last"
    " start"
)
def step_refused_rightly(context):
    refused = [item for item in context.arrivals if item.outcome is Outcome.REFUSED]
    for item in refused:
        late = item.arrival_ms > item.last_start_ms
        assert late or item.arrival_ms + item.deadline_ms > item.plan_end_ms, item


@then("none is ended if the guess was not too low")
def step_none_ended(context):
    ended = [item for item in context.arrivals if item.outcome is Outcome.ENDED_BY_STOP]
    assert context.factor < 1 or not ended, ended[:3]
