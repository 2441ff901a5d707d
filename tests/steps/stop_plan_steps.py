"""Steps on the times of a VM's stop."""

from behave import then, when

from berylbankd._internal.ingress.stop_plan import plan_stop

NOW_MS = 50_000


@when("a stop with a grace time of {grace:d} ms is planned, and requests take up to {longest:d} ms")
def step_plan(context, grace, longest):
    context.grace_ms = grace
    context.plan = plan_stop(NOW_MS, grace, longest)


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
