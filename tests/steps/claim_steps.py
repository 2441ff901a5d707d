"""Steps on claims of idempotency keys."""

import random

import anyio
from behave import then, when

from berylbankd._internal.claims.claim import Claim, ClaimState
from berylbankd._internal.claims.claim_store import AcquiredClaim, ClaimStore
from berylbankd._internal.claims.write_batcher import WriteBatcher
from tests.support.store import FakeStore, skip_sleep

KEY = "claim/alder/1"


class YieldingStore(FakeStore):
    """A store that lets other tasks run before each commit.

    A commit checks the versions of all its writes before it applies any, so two writes of one row
    in the same commit would both pass the check.
    """

    async def commit(self, writes):
        await anyio.lowlevel.checkpoint()
        await super().commit(writes)


class FaultyStore(YieldingStore):
    """A store that fails at random, before or after a commit takes effect."""

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


async def claim_concurrently(store, randomness, owners):
    """Let all owners claim the key at once through one VM; return the results by owner."""
    results = {}
    batcher = WriteBatcher(store)
    claim_store = ClaimStore(store, batcher, randomness, sleep=skip_sleep)
    async with anyio.create_task_group() as group:
        group.start_soon(batcher.run)

        async def claim(owner):
            results[owner] = await claim_store.acquire(KEY, make_claim(owner))

        async with anyio.create_task_group() as claims:
            for owner in owners:
                claims.start_soon(claim, owner)
        group.cancel_scope.cancel()
    return results


@when("two requests claim one key through one VM at the same moment")
def step_two_claims(context):
    store = YieldingStore()
    results = anyio.run(claim_concurrently, store, random.Random(1), ("first", "second"))
    context.acquired = [
        owner for owner, result in results.items() if isinstance(result, AcquiredClaim)
    ]


@then("exactly one of them acquires the claim")
def step_one_acquired(context):
    assert len(context.acquired) == 1, context.acquired


async def run_history(seed):
    """Claim one key in four rounds while the store fails; return how many requests ran."""
    randomness = random.Random(seed)
    store = FaultyStore(randomness)
    batcher = WriteBatcher(store)
    claim_store = ClaimStore(store, batcher, randomness, sleep=skip_sleep)
    run_count = 0
    async with anyio.create_task_group() as group:
        group.start_soon(batcher.run)
        for round_number in range(4):
            owners = [f"{round_number}-{i}" for i in range(randomness.randint(1, 3))]
            results = await claim_concurrently(store, randomness, owners)
            acquired = [result for result in results.values() if isinstance(result, AcquiredClaim)]
            for claim in acquired:
                run_count += await end_request(claim_store, claim, randomness)
        group.cancel_scope.cancel()
    return run_count


async def end_request(claim_store, acquired, randomness):
    """Record a random outcome, or none; return 0 if the claim is released as not run, else 1."""
    outcome = randomness.choice(("answered", "unknown", "died", "released"))
    if outcome == "released":
        await claim_store.record_outcome(acquired, ClaimState.RELEASED, None)
        return 0
    if outcome != "died":
        state = ClaimState.DONE if outcome == "answered" else ClaimState.UNKNOWN
        await claim_store.record_outcome(acquired, state, None)
    return 1


@when(
    "{count:d} random histories run in which VMs stop, and the store fails before or after commits"
)
def step_histories(context, count):
    context.run_counts = [anyio.run(run_history, seed) for seed in range(count)]


@then("no history ran the key twice, unless the first claim was released as not run")
def step_never_twice(context):
    failed_seeds = [seed for seed, run_count in enumerate(context.run_counts) if run_count > 1]
    assert not failed_seeds, f"the key ran more than once with seeds {failed_seeds[:5]}"
    assert sum(context.run_counts) > len(context.run_counts) // 2
