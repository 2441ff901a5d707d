"""Steps on claims of idempotency keys."""

import random

import anyio
from behave import then, when

from berylbankd._internal.claims.batch import WriteBatcher
from berylbankd._internal.claims.claim import Claim, ClaimState
from berylbankd._internal.claims.keeper import ClaimKeeper, Held
from tests.support.store import FakeStore, no_sleep

KEY = "claim/alder/1"


class StrictStore(FakeStore):
    """A store whose transactions check every write against the rows before any of them."""

    async def commit(self, writes):
        await anyio.lowlevel.checkpoint()
        await super().commit(writes)


class MoodyStore(StrictStore):
    """A store that fails by chance, before or after the effect."""

    def __init__(self, randomness):
        super().__init__()
        self.randomness = randomness

    async def commit(self, writes):
        self.down = self.randomness.random() < 0.2
        self.lose_answers = int(self.randomness.random() < 0.3)
        await super().commit(writes)

    async def read(self, key):
        self.down = self.randomness.random() < 0.2
        return await super().read(key)


def make_claim(owner):
    return Claim(ClaimState.CLAIMED.value, "print", owner)


async def claim_all(store, randomness, owners):
    """Let each owner claim the key through one VM; return what each got."""
    results = {}
    batcher = WriteBatcher(store)
    keeper = ClaimKeeper(store, batcher, randomness, sleep=no_sleep)
    async with anyio.create_task_group() as group:
        group.start_soon(batcher.run)

        async def claim(owner):
            results[owner] = await keeper.claim(KEY, make_claim(owner))

        async with anyio.create_task_group() as claims:
            for owner in owners:
                claims.start_soon(claim, owner)
        group.cancel_scope.cancel()
    return results


@when("two requests claim one key through one VM at the same moment")
def step_two(context):
    store = StrictStore()
    results = anyio.run(claim_all, store, random.Random(1), ("first", "second"))
    context.held = [owner for owner, result in results.items() if isinstance(result, Held)]


@then("exactly one of them holds the claim")
def step_one(context):
    assert len(context.held) == 1, context.held


async def run_history(seed):
    """Return how often the key was run, and how often released as not run."""
    randomness = random.Random(seed)
    store = MoodyStore(randomness)
    batcher = WriteBatcher(store)
    keeper = ClaimKeeper(store, batcher, randomness, sleep=no_sleep)
    ran = 0
    async with anyio.create_task_group() as group:
        group.start_soon(batcher.run)
        for attempt in range(4):
            owners = [f"{attempt}-{i}" for i in range(randomness.randint(1, 3))]
            results = await claim_all(store, randomness, owners)
            held = [result for result in results.values() if isinstance(result, Held)]
            for claim in held:
                ran += await end_request(keeper, claim, randomness)
        group.cancel_scope.cancel()
    return ran


async def end_request(keeper, held, randomness):
    """Run, die or release; return 1 where the request ran."""
    fate = randomness.choice(("answered", "unknown", "died", "released"))
    if fate == "released":
        await keeper.record(held, ClaimState.RELEASED, None)
        return 0
    if fate != "died":
        state = ClaimState.DONE if fate == "answered" else ClaimState.UNKNOWN
        await keeper.record(held, state, None)
    return 1


@when("{count:d} random histories of claims, deaths, lost answers and outages run")
def step_histories(context, count):
    context.runs = [anyio.run(run_history, seed) for seed in range(count)]


@then("no key was ever held twice, unless it was released as not run")
def step_never_twice(context):
    twice = [seed for seed, ran in enumerate(context.runs) if ran > 1]
    assert not twice, f"seeds {twice[:5]} ran twice"
    assert sum(context.runs) > len(context.runs) // 2
