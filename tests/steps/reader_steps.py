"""Steps on the VMs that read the store for the fleet."""

import random

import anyio
from behave import given, then, when

from berylbank._internal.utils.clock import BootClock
from berylbankd._internal.steering.membership import compute_reader_rank
from tests.support.reader_fleet import ReaderFleet
from tests.support.replication import ReplicatingFleet, make_positions_digest

FAILURE_MS = {"resets the connections of": 50, "no longer answers": 1_600}
SETTLE_S = 6
OUTAGE_S = 5
LONG_OUTAGE_S = 12


@given("{vms:d} VMs in {domains:d} failure domains that read a store")
def step_reader_fleet(context, vms, domains):
    context.reader_fleet = ReaderFleet(vms, domains)
    context.reader_fleet.run(SETTLE_S)


@when("the store {fault} both readers and {share:d}% of the other VMs, {times:d} times")
def step_turn_away(context, fault, share, times):
    fleet = context.reader_fleet
    context.delays_s, context.tried = [], []
    for seed in range(times):
        fleet.turn_away(share / 100, random.Random(seed), FAILURE_MS[fault])
        started_ms = fleet.now_ms
        fleet.run_until(lambda: fleet.served, OUTAGE_S)
        context.delays_s.append((fleet.now_ms - started_ms) / 1000)
        fleet.run(OUTAGE_S - context.delays_s[-1])
        context.tried.append(len(fleet.tried))
        fleet.serve_all()
        fleet.run(SETTLE_S)


@when(
    "both readers are killed and start again {ms:d} ms later, and the store no longer answers them,"
    " {times:d} times"
)
def step_restart_readers(context, ms, times):
    fleet = context.reader_fleet
    context.delays_s, context.tried, context.later_delays_s = [], [], []
    for _ in range(times):
        readers = {name for vm in fleet.vms for name in fleet.readers_seen_by(vm)}
        restart(context, [vm for vm in fleet.vms if vm.name in readers], ms, turned_away=readers)
        fleet.longest_unread_ms = 0
        fleet.run(LONG_OUTAGE_S)
        context.later_delays_s.append(fleet.longest_unread_ms / 1000)
        fleet.serve_all()
        fleet.run(SETTLE_S)


@when("all VMs are killed and start again {ms:d} ms later")
def step_restart_all(context, ms):
    context.delays_s, context.tried = [], []
    restart(context, context.reader_fleet.vms, ms, turned_away=set())


def restart(context, vms, ms, *, turned_away):
    """Restart VMs, and note how long it takes until a VM that is served reads the store."""
    fleet = context.reader_fleet
    started_ms = fleet.now_ms
    fleet.turn_away_only(turned_away, FAILURE_MS["no longer answers"])
    fleet.kill(vms)
    fleet.run(ms / 1000)
    fleet.restart(vms)
    fleet.run_until(lambda: fleet.served, OUTAGE_S)
    context.delays_s.append((fleet.now_ms - started_ms) / 1000)


@then("{seconds:d} s later all VMs see the same {count:d} readers")
def step_same_readers(context, seconds, count):
    fleet = context.reader_fleet
    fleet.run(seconds)
    seen = {frozenset(fleet.readers_seen_by(vm)) for vm in fleet.vms}
    assert len(seen) == 1 and len(min(seen)) == count, seen


@then("a VM that is served reads it within {seconds:f} s each time")
def step_read_soon(context, seconds):
    assert max(context.delays_s) <= seconds, (context.delays_s, context.tried)


@then("later it is read without a break of more than {seconds:f} s")
def step_read_steadily(context, seconds):
    assert max(context.later_delays_s) <= seconds, context.later_delays_s


@then("at most {count:d} VMs call the store each time")
def step_few_callers(context, count):
    assert max(context.tried) <= count, context.tried


@given("a VM beside two live readers that rank before it")
def step_beside_readers(context):
    fleet = ReplicatingFleet(6)
    ranked = sorted(fleet.vms, key=lambda vm: compute_reader_rank(vm.name))
    context.readers, context.vm = ranked[:2], ranked[2]
    context.vm.replicator.clock = BootClock()
    context.follow_fleet = fleet


def hear_readers(context, reading, sequence):
    vm = context.vm
    now_ms = vm.replicator.clock.now_ms()
    for reader in context.readers:
        digest = make_positions_digest(reader, {"t": sequence}, reading=reading)
        vm.membership.record_digest(digest, now_ms)
        vm.membership.update(now_ms)
        vm.replicator.handle_digest(digest)


@when("it runs for {seconds:f} s and the readers then state that the store does not answer them")
def step_readers_fail(context, seconds):
    store = context.follow_fleet.store

    async def run():
        async with anyio.create_task_group() as group:
            hear_readers(context, True, 1)
            group.start_soon(context.vm.replicator.run)
            sequence = 1
            for _ in range(int(seconds * 10)):
                await anyio.sleep(0.1)
                sequence += 1
                hear_readers(context, True, sequence)
            context.calls_before = dict(store.followed)
            hear_readers(context, False, sequence + 1)
            await anyio.sleep(0.5)
            context.calls_after = dict(store.followed)
            # Their failure is forgotten after some seconds; then two readers are enough again.
            for _ in range(35):
                await anyio.sleep(0.1)
                sequence += 1
                hear_readers(context, True, sequence + 1)
            calls = sum(store.followed.values())
            await anyio.sleep(0.5)
            context.calls_later = sum(store.followed.values()) - calls
            group.cancel_scope.cancel()

    anyio.run(run)


@then("it follows both tables of the store within 0.5 s, and had not called the store before")
def step_follows_store(context):
    assert context.calls_before == {}, context.calls_before
    assert len(context.calls_after) == 2, context.calls_after


@then("it stops following once the readers are served again")
def step_stops_following(context):
    assert context.calls_later == 0, context.calls_later
