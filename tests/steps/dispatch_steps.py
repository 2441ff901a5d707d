"""Steps on the dispatcher, with attempts that end with given outcomes."""

import anyio
from behave import then, when

from berylbankd._internal.entry.dispatch import AttemptOutcome, Dispatcher, RetryBudget
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

ATTEMPTS = {
    "failed": AttemptOutcome(Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN), retryable=True),
    "unreachable": AttemptOutcome(Refusal(RefusalKind.NO_BACKEND), retryable=True),
    "shed": AttemptOutcome(Refusal(RefusalKind.NO_SLOT), retryable=True),
    "withdrawn": AttemptOutcome(Refusal(RefusalKind.KEY_WITHDRAWN)),
}


class FakeSlotPool:
    """A slot pool that only has the name of its backend server."""

    def __init__(self, name):
        self.backend = self
        self.name = name


class ScriptedDispatcher(Dispatcher):
    """A dispatcher whose attempts end with given outcomes, without any backend server."""

    def __init__(self, outcomes):
        self.retry_budget = RetryBudget()
        self.outcomes = list(outcomes)

    async def _acquire_slot(self, _exchange, tried_backends):
        return FakeSlotPool(f"server-{len(tried_backends)}") if self.outcomes else None

    async def _attempt_and_release_slot(self, _exchange, _pool):
        return ATTEMPTS[self.outcomes.pop(0)]


@when("the attempts of an idempotent request end as {outcomes}")
def step_attempts(context, outcomes):
    dispatcher = ScriptedDispatcher(outcome.strip() for outcome in outcomes.split(","))
    context.refusal = anyio.run(dispatcher.dispatch, None)


@then('the refusal has "ran" set to "{ran}"')
def step_ran(context, ran):
    assert context.refusal.ran.value == ran, context.refusal
