"""Steps on the dispatcher alone, with tries whose ends are given."""

import anyio
from behave import then, when

from berylbankd._internal.entry.dispatch import Attempt, Dispatcher, RetryBudget
from berylbankd._internal.refusals import Ran, Refusal, RefusalKind

ENDS = {
    "failed": Attempt(Refusal(RefusalKind.BACKEND_FAILED, Ran.UNKNOWN), retryable=True),
    "unreachable": Attempt(Refusal(RefusalKind.NO_BACKEND), retryable=True),
    "shed": Attempt(Refusal(RefusalKind.NO_SLOT), retryable=True),
    "withdrawn": Attempt(Refusal(RefusalKind.KEY_WITHDRAWN)),
}


class FakePool:
    """A pool of which only the backend server's name is asked."""

    def __init__(self, name):
        self.backend = self
        self.name = name


class ScriptedDispatcher(Dispatcher):
    """A dispatcher whose tries end as told."""

    def __init__(self, ends):
        self.budget = RetryBudget()
        self.ends = list(ends)

    async def _acquire(self, _exchange, tried):
        return FakePool(f"server-{len(tried)}") if self.ends else None

    async def _attempt_and_release(self, _exchange, _pool):
        return ENDS[self.ends.pop(0)]


@when("the tries of an idempotent request end {ends}")
def step_tries(context, ends):
    dispatcher = ScriptedDispatcher(end.strip() for end in ends.split(","))
    context.refusal = anyio.run(dispatcher.run, None)


@then('the refusal says that it ran "{ran}"')
def step_ran(context, ran):
    assert context.refusal.ran.value == ran, context.refusal
