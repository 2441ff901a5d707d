"""Steps on a store that comes back from a copy."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
import httpx
from behave import given, then, when
from steering_fleet import API_KEY, make_configuration

from berylbank_standins._internal.row_store import StandInRowStore
from berylbankd._internal.feeds import registry as registry_module
from berylbankd._internal.feeds.registry import VmRegistry
from berylbankd._internal.feeds.release_driver import ReleaseDriver
from berylbankd._internal.models.revisions import era_of, make_revision
from berylbankd._internal.models.rows import ConditionFailedError, RowKey, StoreError
from berylbankd._internal.models.types import ReleaseState
from berylbankd._internal.platform.store import HttpRowStore
from berylbankd._internal.steering.releases import LAST_STEP
from berylbankd._internal.steering.steering import Steering
from tests.support.replication import ORDERS, SERVERS, ReplicatingFleet
from tests.support.steering import ROW_CODEC, make_deployment, server_row

STEP_MS = 250
EVACUATION = RowKey(ORDERS, "evacuate/b")
ORDER_KEY = RowKey(ORDERS, "rollout/desk")
TABLE = "t"
CHECK_INTERVAL_S = 0.01
ROW_KEY = RowKey(TABLE, "a")


def put_configuration(fleet, version, keys=(API_KEY,)):
    document = make_configuration(version)
    document["tenants"]["rows"][0][1] = list(keys)
    fleet.store.put(ROW_CODEC.configuration_key, json.dumps(document).encode())


def put_server_state(fleet, state, sequence):
    status = {"state": state, "sequence": sequence, "warmupLeftS": 0}
    fleet.store.put(RowKey(SERVERS, "s1"), server_row("s1", 0, status=status).value)


def has_evacuation(vm):
    return "b" in vm.routing_state.evacuated_domains.values()


def uses_server(vm):
    vm.routing_state.remove_missing_servers(vm.fleet.clock.now_ms())
    return "s1" in {state.registration.id for state in vm.routing_state.servers_of("desk")}


class KnownRow(NamedTuple):
    """What is in the copy, what follows it, and the table of both."""

    before: Callable[[ReplicatingFleet], Any]
    lost: Callable[[ReplicatingFleet], Any]
    table: str = ORDERS


KNOWN_ROWS = {
    "configuration 3": KnownRow(
        lambda fleet: put_configuration(fleet, 2), lambda fleet: put_configuration(fleet, 3)
    ),
    "a configuration without a key": KnownRow(
        lambda fleet: put_configuration(fleet, 2), lambda fleet: put_configuration(fleet, 3, [])
    ),
    "an evacuation": KnownRow(
        lambda fleet: put_configuration(fleet, 2), lambda fleet: fleet.store.put(EVACUATION, b"{}")
    ),
    "the end of an evacuation": KnownRow(
        lambda fleet: fleet.store.put(EVACUATION, b"{}"),
        lambda fleet: fleet.store.put(EVACUATION, None),
    ),
    "a server that registered": KnownRow(
        lambda fleet: fleet.put_server("s0"), lambda fleet: fleet.put_server("s1"), SERVERS
    ),
    "a server that drains": KnownRow(
        lambda fleet: put_server_state(fleet, "ready", 1),
        lambda fleet: put_server_state(fleet, "draining", 2),
        SERVERS,
    ),
    "a server that left": KnownRow(
        lambda fleet: put_server_state(fleet, "ready", 1),
        lambda fleet: fleet.remove_server("s1"),
        SERVERS,
    ),
}
STATES = {
    "configuration 3": lambda vm: vm.routing_state.configuration.version == 3,
    "the key refused": lambda vm: API_KEY not in vm.routing_state.organisations,
    "it evacuated": has_evacuation,
    "it not evacuated": lambda vm: not has_evacuation(vm),
    "the server in use": uses_server,
    "the server not in use": lambda vm: not uses_server(vm),
    "it in use": uses_server,
    "it not in use": lambda vm: not uses_server(vm),
}


@given("a VM that knows of {what}, which the copy {lacks}")
def step_known_row(context, what, lacks):
    known = KNOWN_ROWS[what]
    context.copied_table = known.table
    context.fleet = fleet = ReplicatingFleet(1)
    fleet.clock.time_ms = 10_000
    known.before(fleet)
    anyio.run(fleet.vms[0].read, known.table)
    known.lost(fleet)
    fleet.vms[0].follow(known.table)


@when("the store comes back from the copy, and the VM reads it")
def step_read_copy(context):
    context.fleet.store.go_back(1)
    anyio.run(context.fleet.vms[0].follow_or_read, context.copied_table)


@when("the store comes back from the copy, and a VM that starts then sends it its rows")
def step_fetch_copy(context):
    context.fleet.store.go_back(1)
    other = context.fleet.add_vm()
    anyio.run(other.read, context.copied_table)
    anyio.run(context.fleet.vms[0].fetch, other, context.copied_table)
    position = context.fleet.vms[0].replicator.row_cache.position(context.copied_table)
    assert era_of(position) == 1, position


@then("the VM knows {state} after the return")
def step_has(context, state):
    assert STATES[state](context.fleet.vms[0])


@then("{ms:d} ms later it knows {state}")
def step_has_later(context, ms, state):
    (vm,) = context.fleet.vms
    for _ in range(ms // STEP_MS):
        context.fleet.clock.time_ms += STEP_MS
        anyio.run(vm.replicator.repeat_due_reads)
        anyio.run(vm.follow_or_read, context.copied_table)
    assert STATES[state](vm)


@given("a VM that follows a store whose last {count:d} changes are not in its copy")
def step_following(context, count):
    context.fleet = fleet = ReplicatingFleet(2)
    put_configuration(fleet, 1)
    fleet.put_server("s0")
    context.lost = count
    for number in range(count):
        fleet.put_server("s0", 1 + number)
    for vm in fleet.vms:
        for table in (ORDERS, SERVERS):
            anyio.run(vm.read, table)


def write_changes(fleet):
    put_configuration(fleet, 2)
    fleet.put_server("s1")
    fleet.store.put(EVACUATION, b"{}")


def follow(vm):
    for table in (ORDERS, SERVERS):
        anyio.run(vm.follow_or_read, table)


def read_before(fleet, vm):
    follow(vm)
    write_changes(fleet)
    follow(vm)


def read_after(fleet, vm):
    write_changes(fleet)
    follow(vm)


def read_when_passed(fleet, vm):
    # The revisions that the VM knows have been given out again.
    for number in range(20):
        fleet.put_server("s0", 100 + number)
    write_changes(fleet)
    follow(vm)


def hear_of_era(fleet, vm):
    other = fleet.vms[1]
    write_changes(fleet)
    follow(other)
    for table in (ORDERS, SERVERS):
        anyio.run(vm.fetch, other, table)


def miss_two_eras(fleet, vm):
    write_changes(fleet)
    fleet.store.go_back(2)
    write_changes(fleet)
    follow(vm)


RETURNS = {
    "reads before they are written": read_before,
    "reads after they are written": read_after,
    "reads when as many changes have been written again": read_when_passed,
    "hears of the new era from another VM": hear_of_era,
    "was frozen while the store came back twice": miss_two_eras,
}


@when("the store comes back from the copy, and the VM {when}")
def step_return(context, when):
    context.fleet.store.go_back(context.lost)
    RETURNS[when](context.fleet, context.fleet.vms[0])


@then("it uses a configuration, a server and an evacuation that are written then")
def step_in_force(context):
    vm = context.fleet.vms[0]
    assert vm.routing_state.configuration.version == 2
    assert uses_server(vm) and has_evacuation(vm)


# Clients


def run_client(context, act):
    """Run a coroutine function with a client of the stand-in store."""
    store = StandInRowStore()

    async def run():
        transport = EditingTransport(store)
        async with httpx.AsyncClient(transport=transport) as client:
            context.client = HttpRowStore(client, "10.0.0.9:1")
            await act(store, context.client, transport)

    anyio.run(run)


class EditingTransport(httpx.ASGITransport):
    """Calls an application; ``edit`` changes the headers of the next response, if it is set."""

    def __init__(self, app):
        super().__init__(app)
        self.edit = None

    async def handle_async_request(self, request):
        """Call the application."""
        response = await super().handle_async_request(request)
        if self.edit is not None:
            edit, self.edit = self.edit, None
            edit(response)
        return response


def name_era(era):
    def edit(response):
        response.headers["store-era"] = era

    return edit


async def get_older(store, client, transport):
    transport.edit = name_era("0")
    await client.read_table(TABLE)


async def get_two_eras(store, client, transport):
    for number in range(600):
        store.put(TABLE, f"k{number:04}", {})

    def next_era(_):
        store.restore(store.state.copy())

    transport.edit = next_era
    await client.read_table(TABLE)


async def get_no_number(store, client, transport):
    transport.edit = name_era("one")
    await client.read_table(TABLE)


ANSWERS = {
    "of an older era": get_older,
    "whose pages are of two eras": get_two_eras,
    "whose era is no number": get_no_number,
}


@given("a client of a store that names eras")
@given(
    "a client of a store that names eras, with a row at the revision that a row of the copy gets"
)
def step_client(context):
    context.failure = None


@when("it gets an answer {which}")
def step_answer(context, which):
    async def act(store, client, transport):
        await client.read_table(TABLE)
        try:
            await ANSWERS[which](store, client, transport)
        except StoreError as error:
            context.failure = error
        context.newest_era = store.state.era

    run_client(context, act)


@then("the call fails, and the client stays in the newest era")
def step_fails(context):
    assert context.failure is not None
    assert context.client.era == context.newest_era


@when("it writes the row under that condition, and {when}")
def step_write(context, when):
    async def act(store, client, transport):
        copy = store.state.copy()
        revision = await client.write(ROW_KEY, b"before", 0)
        assert revision == make_revision(1, 1)
        store.restore(copy)
        store.state.put(TABLE, ROW_KEY.key, b"another VM's")
        if "knows" in when:
            await client.read_table("other")
        try:
            await client.write(ROW_KEY, b"after", revision)
        except ConditionFailedError as error:
            context.failure = error

    run_client(context, act)


@then("the condition fails")
def step_condition(context):
    assert isinstance(context.failure, ConditionFailedError)


# Releases


@given("a VM that drives a release which was rolled back")
def step_rolled_back(context):
    start_release(context)
    context.release.rolled_back = True
    write_state(context)
    assert read_state(context).state is ReleaseState.ROLLED_BACK


@given("a VM that drives a release whose last step has lasted long enough")
def step_last_step(context):
    start_release(context)
    context.release.step = LAST_STEP
    write_state(context)
    context.fleet.clock.time_ms += 5_000
    assert context.release.is_complete([], context.fleet.clock.now_ms())


def start_release(context):
    context.fleet = fleet = ReplicatingFleet(1)
    (vm,) = fleet.vms
    context.steering = Steering(make_deployment(vm.name), ROW_CODEC, 1, fleet.clock.now_ms())
    context.steering.routing_state = vm.routing_state
    context.driver = ReleaseDriver(context.steering, vm.replicator, vm.store, fleet.clock)
    put_configuration(fleet, 1)
    anyio.run(vm.read, ORDERS)
    put_order(fleet)
    follow_orders(context)


def put_order(fleet):
    order = {"service": "desk", "to": "v2", "durationS": 60}
    fleet.store.put(ORDER_KEY, json.dumps(order).encode())


def follow_orders(context):
    anyio.run(context.fleet.vms[0].follow_or_read, ORDERS)
    context.steering.sync_releases(context.fleet.clock.now_ms())
    context.release = context.steering.releases["desk"]


def write_state(context):
    anyio.run(context.driver._write_state, context.release, context.release.state())


def read_state(context):
    row = context.fleet.store.live_rows().get(ROW_CODEC.status_key("desk"))
    return ROW_CODEC.decode_status(row) if row is not None else None


@when("the store comes back from a copy {how} its order and without its state")
def step_lose_state(context, how):
    context.fleet.store.go_back(1 if how == "with" else 2)
    follow_orders(context)
    if how == "without":
        put_configuration(context.fleet, 2)
        put_order(context.fleet)
        follow_orders(context)


@then("the release is still rolled back, and known by the order's new revision")
def step_still_rolled_back(context):
    assert context.release.rolled_back
    assert context.release.order.revision == context.fleet.store.live_rows()[ORDER_KEY].revision


@then("its state is written again")
def step_state_again(context):
    assert read_state(context) is None
    for _ in range(2):
        write_state(context)
    assert read_state(context).state is ReleaseState.ROLLED_BACK


@when("operators order the same version again")
def step_order_again(context):
    put_order(context.fleet)
    follow_orders(context)


@then("the release is not rolled back")
def step_not_rolled_back(context):
    assert not context.release.rolled_back


@then("the release is complete only {ms:d} ms later")
def step_complete_later(context, ms):
    now_ms = context.fleet.clock.now_ms()
    assert not context.release.is_complete([], now_ms + ms - 1)
    assert context.release.is_complete([], now_ms + ms)


# Registration


@given("a reader that has registered with the store")
def step_reader(context):
    context.fleet = ReplicatingFleet(1)
    put_configuration(context.fleet, 1)


@when("the store comes back from a copy without its row")
def step_lose_row(context):
    (vm,) = context.fleet.vms
    store = context.fleet.store
    key = RowKey(ROW_CODEC.vms_table, vm.name)
    registry = VmRegistry(vm.store, vm.membership, key.table, lambda: True)

    async def wait_for_row():
        with anyio.fail_after(5):
            while key not in store.live_rows():
                await anyio.sleep(CHECK_INTERVAL_S)

    async def register():
        async with anyio.create_task_group() as group:
            group.start_soon(registry._register_while_reader)
            await wait_for_row()
            store.go_back(1)
            assert key not in store.live_rows()
            await wait_for_row()
            group.cancel_scope.cancel()

    interval_s = registry_module.READER_CHECK_INTERVAL_S
    registry_module.READER_CHECK_INTERVAL_S = CHECK_INTERVAL_S
    try:
        anyio.run(register)
    finally:
        registry_module.READER_CHECK_INTERVAL_S = interval_s


@then("its row is in the store again")
def step_registered_again(context):
    (vm,) = context.fleet.vms
    assert RowKey(ROW_CODEC.vms_table, vm.name) in context.fleet.store.live_rows()
