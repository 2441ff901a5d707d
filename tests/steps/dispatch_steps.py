"""Steps on the dispatcher alone, with attempts whose outcomes are given."""

import anyio
from behave import then, when

from berylbankd._internal.entry.dispatch import Attempt, Dispatcher, RetryBudget
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

ATTEMPTS = {
    "failed": Attempt(Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN), retryable=True),
    "unreachable": Attempt(Refusal(RefusalKind.NO_BACKEND), retryable=True),
    "shed": Attempt(Refusal(RefusalKind.NO_SLOT), retryable=True),
    "withdrawn": Attempt(Refusal(RefusalKind.KEY_WITHDRAWN)),
}


class FakePool:
    """A pool that has nothing but the backend server's name."""

    def __init__(self, name):
        self.backend = self
        self.name = name


class ScriptedDispatcher(Dispatcher):
    """A dispatcher whose attempts have the given outcomes."""

    def __init__(self, outcomes):
        self.budget = RetryBudget()
        self.outcomes = list(outcomes)

    async def _acquire(self, _exchange, tried):
        return FakePool(f"server-{len(tried)}") if self.outcomes else None

    async def _attempt_and_release(self, _exchange, _pool):
        return ATTEMPTS[self.outcomes.pop(0)]


@when("the attempts of an idempotent request end as {outcomes}")
def step_attempts(context, outcomes):
    dispatcher = ScriptedDispatcher(outcome.strip() for outcome in outcomes.split(","))
    context.refusal = anyio.run(dispatcher.run, None)


@then('the refusal says that it ran "{ran}"')
def step_ran(context, ran):
    assert context.refusal.ran.value == ran, context.refusal
