"""Steps on backend servers whose registration disappears from the store."""

import anyio
from behave import given, then, when

from berylbankd._internal.models.rows import StoreError
from berylbankd._internal.steering.routing_state import REMOVAL_GRACE_MS
from tests.support.position_fleet import PositionFleet
from tests.support.replication import NOW_MS, SERVERS, ReplicatingFleet

STEP_MS = 100
WATCHED_MS = 5_000


@given('two VMs that know backend servers "s0" and "s1"')
def step_two_vms(context):
    context.fleet = ReplicatingFleet(2)
    context.fleet.put_server("s0")
    context.fleet.put_server("s1")
    for vm in context.fleet.vms:
        anyio.run(vm.read, SERVERS)


def used_servers(vm):
    """Return the servers that the VM would choose from at this time."""
    vm.routing_state.remove_missing_servers(vm.fleet.clock.now_ms())
    return {state.registration.id for state in vm.routing_state.servers_of("desk")}


def wait(fleet, duration_ms, readers):
    """Let time pass; the readers call the store, and each VM tells the other what it knows."""
    for _ in range(duration_ms // STEP_MS):
        fleet.clock.time_ms += STEP_MS
        for reader in readers:
            anyio.run(call_store, reader)
        first, second = fleet.vms
        anyio.run(second.fetch, first, SERVERS)
        anyio.run(first.fetch, second, SERVERS)


async def call_store(vm):
    try:
        await vm.read(SERVERS)
    except StoreError as error:
        vm.replicator._set_store_available(False, error.reason)


@when("a call of the second VM to the store fails, and its next one {ms:d} ms later succeeds")
def step_one_failure(context, ms):
    first, second = context.fleet.vms
    wait(context.fleet, 1_000, [first])
    second.store.turned_away = True
    anyio.run(call_store, second)
    second.store.turned_away = False
    wait(context.fleet, ms, [first])
    anyio.run(call_store, second)


@when("the store turns the second VM away for {ms:d} ms and goes on serving the first one")
def step_turned_away(context, ms):
    first, second = context.fleet.vms
    second.store.turned_away = True
    wait(context.fleet, ms, [first, second])
    second.store.turned_away = False
    anyio.run(call_store, second)


@when('server "s1" leaves {ms:d} ms later, and the second VM learns of it after another {lag:d} ms')
def step_leaves(context, ms, lag):
    first, second = context.fleet.vms
    context.fleet.clock.time_ms += ms
    context.fleet.remove_server("s1")
    context.fleet.clock.time_ms += lag
    anyio.run(first.read, SERVERS)
    anyio.run(second.fetch, first, SERVERS)


@when("the store is away for {away:d} ms and back for {back:d} ms")
def step_away_and_back(context, away, back):
    fleet = context.fleet
    fleet.store_away = True
    wait(fleet, away, fleet.vms)
    fleet.store_away = False
    context.back_ms = fleet.clock.now_ms() + STEP_MS
    wait(fleet, back, fleet.vms)


@when(
    'the store is away for {ms:d} ms, and the registration of "s1" is gone when the first VM reads'
    " it again"
)
def step_expired(context, ms):
    fleet = context.fleet
    fleet.store_away = True
    wait(fleet, ms, fleet.vms[:1])
    fleet.store_away = False
    fleet.remove_server("s1")
    context.back_ms = fleet.clock.now_ms()
    anyio.run(call_store, fleet.vms[0])


@when("the second VM learns of it from the first VM {ms:d} ms later")
def step_learns(context, ms):
    first, second = context.fleet.vms
    context.fleet.clock.time_ms += ms
    anyio.run(second.fetch, first, SERVERS)


@when(
    '"s1" registers again {ms:d} ms after the store\'s return, and both VMs learn of it within'
    " {lag:d} ms"
)
def step_registers_again(context, ms, lag):
    fleet = context.fleet
    while fleet.clock.now_ms() < context.back_ms + ms:
        assert used_servers(fleet.vms[0]) == used_servers(fleet.vms[1]) == {"s0", "s1"}
        fleet.clock.time_ms += STEP_MS
    fleet.put_server("s1")
    while fleet.clock.now_ms() < context.back_ms + ms + lag - STEP_MS:
        fleet.clock.time_ms += STEP_MS
        assert used_servers(fleet.vms[0]) == used_servers(fleet.vms[1]) == {"s0", "s1"}
    anyio.run(call_store, fleet.vms[0])
    anyio.run(fleet.vms[1].fetch, fleet.vms[0], SERVERS)


def assert_uses(context, vms, expected, duration_ms):
    end_ms = context.fleet.clock.now_ms() + duration_ms
    while context.fleet.clock.now_ms() < end_ms:
        for vm in vms:
            found = used_servers(vm)
            assert found == expected, (context.fleet.clock.now_ms() - NOW_MS, vm.name, found)
        context.fleet.clock.time_ms += STEP_MS


@then('the second VM uses the servers "s0" from then on')
def step_uses_one(context):
    assert_uses(context, context.fleet.vms[1:], {"s0"}, WATCHED_MS)


@then('the second VM uses the servers "s0" from {ms:d} ms after the store\'s return on')
def step_uses_one_later(context, ms):
    fleet = context.fleet
    assert fleet.clock.now_ms() < context.back_ms + ms
    fleet.clock.time_ms = context.back_ms + ms
    assert_uses(context, fleet.vms[1:], {"s0"}, WATCHED_MS)


@then('both VMs use the servers "s0" and "s1" from then on')
def step_both_use_two(context):
    assert_uses(context, context.fleet.vms, {"s0", "s1"}, WATCHED_MS)


@then(
    'both VMs use the servers "s0" and "s1" until {ms:d} ms after the store\'s return, and then'
    ' "s0"'
)
def step_both_use_until(context, ms):
    left_ms = context.back_ms + ms - context.fleet.clock.now_ms()
    assert_uses(context, context.fleet.vms, {"s0", "s1"}, left_ms)
    assert_uses(context, context.fleet.vms, {"s0"}, WATCHED_MS)


DIGEST_INTERVAL_MS = 250
TICK_MS = 20


class DelayedDigests:
    """VMs whose digests arrive late; the first one also calls the store, each 200 ms."""

    def __init__(self, fleet, link_ms):
        self.fleet = fleet
        self.link_ms = link_ms
        self.on_the_way = []
        self.returned_ms = {}

    def run(self, duration_ms, *, store_answers):
        end_ms = self.fleet.clock.now_ms() + duration_ms
        while self.fleet.clock.now_ms() < end_ms:
            self.fleet.clock.time_ms += TICK_MS
            now_ms = self.fleet.clock.now_ms()
            if store_answers and now_ms % (10 * TICK_MS) == 0:
                self.record(self.fleet.vms[0], now_ms)
            for number, vm in enumerate(self.fleet.vms):
                if (now_ms + 3 * TICK_MS * number) % DIGEST_INTERVAL_MS < TICK_MS:
                    known_ms = vm.replicator.store_watch.last_answer_ms
                    self.on_the_way.append((now_ms + self.link_ms, vm, known_ms))
            arrived = [item for item in self.on_the_way if item[0] <= now_ms]
            self.on_the_way = [item for item in self.on_the_way if item[0] > now_ms]
            for _, sender, known_ms in arrived:
                for vm in self.fleet.vms:
                    if vm is not sender:
                        self.record(vm, known_ms)

    def record(self, vm, answered_ms):
        before = vm.routing_state.removal_grace_until_ms
        vm.replicator._record_store_answer(answered_ms)
        if vm.routing_state.removal_grace_until_ms != before:
            returned_ms = vm.routing_state.removal_grace_until_ms - REMOVAL_GRACE_MS
            self.returned_ms[vm.name] = (self.fleet.clock.now_ms(), returned_ms)


@given('four VMs that know backend servers "s0" and "s1", with links of {ms:d} ms')
def step_four_vms(context, ms):
    context.digests = DelayedDigests(ReplicatingFleet(4), ms)
    context.digests.run(5_000, store_answers=True)


@when("the store is away for {ms:d} ms while they exchange digests every 250 ms, and then back")
def step_exchange_digests(context, ms):
    context.digests.run(ms, store_answers=False)
    context.back_ms = context.digests.fleet.clock.now_ms()
    context.digests.run(2_000, store_answers=True)


@then("each VM learns of the return within {ms:d} ms of it, to within {error:d} ms")
def step_return_learned(context, ms, error):
    returned = context.digests.returned_ms
    assert set(returned) == {vm.name for vm in context.digests.fleet.vms}, returned
    for learned_ms, returned_ms in returned.values():
        assert learned_ms - context.back_ms <= ms, returned
        assert 0 <= returned_ms - context.back_ms <= error, returned


@then(
    "in {count:d} fleets of {vms:d} VMs in {domains:d} failure domains that {added:d} join, each"
    " change reaches all VMs within {ms:d} ms"
)
def step_changes_while_joining(context, count, vms, domains, added, ms):
    for seed in range(count):
        fleet = PositionFleet(vms, domains, seed)
        fleet.run(6)
        fleet.add_vms(added)
        for position in range(1, 6):
            fleet.run(fleet.rng.uniform(0.0, 0.6))
            fleet.change(position)
            took_ms = fleet.ms_until_all_know(position, limit_s=10)
            assert took_ms is not None and took_ms <= ms, (seed, position, took_ms)
