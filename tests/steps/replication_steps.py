"""Steps on the rows that VMs copy from the store and from each other."""

import base64
import json
from functools import partial

import anyio
import httpx
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as test_settings
from hypothesis import strategies as st

from berylbank._internal.utils.addresses import parse_address
from berylbankd._internal.backends.connection import serialize_head
from berylbankd._internal.feeds.release_driver import ReleaseDriver
from berylbankd._internal.ingress.codec import DispatchMetadata
from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.models.types import ReleaseOrder, ReleaseState, ReleaseStatus
from berylbankd._internal.peers.messages import Position, RowsRequest
from berylbankd._internal.peers.transport import decode_rows_request
from berylbankd._internal.platform.headers import PlatformHeaderCodec
from berylbankd._internal.platform.store import HttpRowStore
from berylbankd._internal.steering.hashing import hash_to_fraction
from berylbankd._internal.steering.releases import Release
from berylbankd._internal.steering.steering import Steering
from tests.steps.ingress_steps import install_keys
from tests.steps.server_notice_steps import make_pick_request
from tests.steps.steering_steps import INVALID_REGISTRATIONS
from tests.support.replication import (
    NOW_MS,
    ORDERS,
    SERVERS,
    FixedClock,
    ReplicatingFleet,
    make_positions_digest,
    run_random_changes,
    run_stale_reads,
)
from tests.support.steering import ROW_CODEC, make_deployment, server_row

ODD_REVISIONS = {
    "a number of 5000 digits": "9" * 5_000,
    "a digit that is no decimal": "\u00b2",
    "a negative number": "-1",
    "nothing": "",
}
EVACUATION = RowKey(ORDERS, "evacuate/b")


def server_ids(vm):
    return {key.key for key in vm.live_rows(SERVERS)}


@given('a VM that knows backend servers "s0" and "s1"')
def step_two_servers(context):
    context.copied_table = SERVERS
    context.fleet = ReplicatingFleet(1)
    context.fleet.put_server("s0")
    context.fleet.put_server("s1")
    anyio.run(context.fleet.vms[0].read, SERVERS)


@when('server "s1" is removed, and another VM starts and reads the store')
def step_remove_and_start(context):
    context.fleet.remove_server("s1")
    anyio.run(context.fleet.add_vm().read, SERVERS)


@when("the first VM fetches the changes from the other VM")
def step_first_fetches(context):
    first, other = context.fleet.vms
    anyio.run(first.fetch, other, context.copied_table)


@when("the second VM fetches the changes from the first VM")
def step_second_fetches(context):
    first, second = context.fleet.vms
    context.fleet.sent_rows = 0
    anyio.run(second.fetch, first, SERVERS)


@then('the first VM knows the servers "s0"')
def step_knows(context):
    assert server_ids(context.fleet.vms[0]) == {"s0"}, server_ids(context.fleet.vms[0])
    assert set(context.fleet.vms[0].routing_state.servers) == {"s0"}


@given('a VM that knows the evacuation of failure domain "b"')
def step_evacuation(context):
    context.copied_table = ORDERS
    context.fleet = ReplicatingFleet(1)
    context.fleet.store.put(EVACUATION, b"{}")
    anyio.run(context.fleet.vms[0].read, ORDERS)
    assert context.fleet.vms[0].routing_state.evacuated_domains


@when("the evacuation ends, and another VM starts and reads the store")
def step_end_and_start(context):
    context.fleet.store.put(EVACUATION, None)
    anyio.run(context.fleet.add_vm().read, ORDERS)


@then("the first VM has no evacuated failure domain")
def step_not_evacuated(context):
    assert context.fleet.vms[0].routing_state.evacuated_domains == {}


@given('two VMs that know backend servers "s0"')
def step_two_vms(context):
    context.copied_table = SERVERS
    context.fleet = ReplicatingFleet(2)
    context.fleet.put_server("s0")
    for vm in context.fleet.vms:
        anyio.run(vm.read, SERVERS)


@given("two VMs that know {count:d} backend servers")
def step_many_servers(context, count):
    context.fleet = ReplicatingFleet(2)
    for number in range(count):
        context.fleet.put_server(f"s-{number}")
    for vm in context.fleet.vms:
        anyio.run(vm.read, SERVERS)


@when('server "s1" is added and only the first VM follows the store')
def step_first_follows(context):
    context.fleet.put_server("s1")
    context.fleet.vms[0].follow(SERVERS)


@when('server "s1" is removed, and the other VM reads the store again')
def step_other_reads(context):
    context.fleet.remove_server("s1")
    anyio.run(context.fleet.vms[1].read, SERVERS)


@then("{count:d} row was sent")
def step_rows_sent(context, count):
    assert context.fleet.sent_rows == count, context.fleet.sent_rows


def assert_rows_of_store(fleet, seed):
    expected = {key: row.value for key, row in fleet.store.live_rows().items()}
    for vm in fleet.vms:
        live = vm.live_rows(SERVERS)
        assert live == expected, (seed, vm.name, live, expected)
        vm.routing_state.remove_missing_servers(fleet.clock.now_ms())
        used = {state.registration for state in vm.routing_state.servers.values()}
        registered = {ROW_CODEC.decode_server(row) for row in fleet.store.live_rows().values()}
        assert used == registered, (seed, vm.name, used ^ registered)


@then("after {count:d} random orders of changes, reads, starts and fetches all VMs have its rows")
def step_random_orders(context, count):
    for seed in range(count):
        fleet = anyio.run(run_random_changes, seed, 40)
        assert_rows_of_store(fleet, seed)


@then(
    "after {count:d} random orders in which stale reads state {which} revision all VMs have its"
    " rows"
)
def step_stale_orders(context, count, which):
    check_stale_orders(count, states_newest=which == "the newest")


@then(
    "after {count:d} random orders in which stale reads state {which} revision and the store goes"
    " back to copies all VMs have its rows"
)
def step_copy_orders(context, count, which):
    check_stale_orders(count, states_newest=which == "the newest", going_back=True)


def check_stale_orders(count, **options):
    for seed in range(count):
        fleet = anyio.run(partial(run_stale_reads, **options), seed, 40)
        assert_rows_of_store(fleet, seed)


@when(
    'server "s1" is removed, and another VM\'s {occasion} shows the rows of 3 s ago at the newest'
    " revision"
)
def step_stale_read(context, occasion):
    fleet = context.fleet
    fleet.clock.time_ms += 10_000
    fleet.remove_server("s1")
    fleet.store.stale_ms = 3_000
    other = fleet.add_vm()
    replicator = other.replicator
    reads = {
        "read at its start": replicator._read_after_restart,
        "fall-back of a fetch": partial(replicator._fetch_from_peers, Position(SERVERS, 3)),
        "read after a lost history": partial(replicator._read_after_loss, SERVERS),
    }
    anyio.run(reads[occasion])
    assert server_ids(other) == {"s0", "s1"}
    fleet.store.stale_ms = 0


@then('both VMs know the servers "s0" within {seconds:d} s, without another change')
def step_stale_read_mended(context, seconds):
    first, other = context.fleet.vms
    for _ in range(seconds * 4):
        context.fleet.clock.time_ms += 250
        for vm, source in ((first, other), (other, first)):
            anyio.run(vm.replicator.repeat_due_reads)
            anyio.run(vm.fetch, source, SERVERS)
    assert server_ids(first) == server_ids(other) == {"s0"}


@given("a VM that reads a store whose history is lost")
def step_lost_history(context):
    context.fleet = ReplicatingFleet(1)
    context.fleet.put_server("s0")
    anyio.run(context.fleet.vms[0].read, SERVERS)
    context.fleet.store.lost_revision = 2
    context.fleet.put_server("s2")


@when('server "s1" is added {seconds:f} s later')
def step_added_after_loss(context, seconds):
    fleet = context.fleet
    (vm,) = fleet.vms

    async def follow():
        vm.replicator.is_reader = True
        vm.replicator.became_reader.set()
        async with anyio.create_task_group() as group:
            group.start_soon(vm.replicator._follow_while_reader, SERVERS)
            await anyio.sleep(seconds)
            fleet.put_server("s1")
            added_s = anyio.current_time()
            with anyio.move_on_after(4):
                while "s1" not in server_ids(vm):
                    await anyio.sleep(0.01)
            context.took_s = anyio.current_time() - added_s
            group.cancel_scope.cancel()

    anyio.run(follow)


@then("the VM knows it within {seconds:f} s")
def step_known_soon(context, seconds):
    assert context.took_s <= seconds, context.took_s


@given("two VMs that know no release")
def step_no_release(context):
    context.fleet = ReplicatingFleet(2)
    for vm in context.fleet.vms:
        anyio.run(vm.read, ROW_CODEC.status_table)


@when('the second VM\'s store gets the state of service "a", and the first VM writes that of "b"')
def step_write_states(context):
    first = context.fleet.vms[0]
    status = ReleaseStatus("a", "v2", ReleaseState.SUCCEEDED)
    context.fleet.store.put(ROW_CODEC.status_key("a"), ROW_CODEC.encode_status(status))
    steering = Steering(make_deployment(first.name), ROW_CODEC, 1, NOW_MS)
    steering.routing_state = first.routing_state
    driver = ReleaseDriver(steering, first.replicator, context.fleet.store, FixedClock())
    release = Release(ReleaseOrder("b", "v2", 10_000, 1), Bounds(), NOW_MS)
    anyio.run(driver._write_state, release, ReleaseState.RUNNING)


@when("the second VM fetches the release states from the first VM")
def step_fetch_states(context):
    first, second = context.fleet.vms
    anyio.run(second.fetch, first, ROW_CODEC.status_table)


@then('the second VM knows the release states of "a" and "b"')
def step_know_states(context):
    assert set(context.fleet.vms[1].routing_state.statuses) == {"a", "b"}


@given("a VM that fetches two tables, and whose {which} silent")
def step_silent_sources(context, which):
    context.fleet = ReplicatingFleet(3)
    for vm in context.fleet.vms:
        for table in (SERVERS, ORDERS):
            anyio.run(vm.read, table)
    first, *sources = context.fleet.vms
    ranked = sorted(sources, key=lambda vm: hash_to_fraction(first.name, vm.name))
    silent = ranked[:1] if which == "first source is" else ranked
    context.fleet.silent_hosts = {vm.host for vm in silent}


@when("both tables change, and the VM hears of their new positions")
def step_hear_of_changes(context):
    fleet = context.fleet
    fleet.put_server("s1")
    fleet.store.put(EVACUATION, b"{}")
    first, *sources = fleet.vms
    for source in sources:
        for table in (SERVERS, ORDERS):
            source.follow(table)
        positions = source.replicator.row_cache.positions
        first.membership.record_digest(make_positions_digest(source, positions), NOW_MS)
    fleet.store.reads = 0
    first.replicator.newer_position_reported.set()

    async def fetch():
        started_s = anyio.current_time()
        with anyio.move_on_after(4):
            async with anyio.create_task_group() as group:
                group.start_soon(first.replicator._fetch_newer_rows)
                while not (server_ids(first) and first.routing_state.evacuated_domains):
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        context.took_s = anyio.current_time() - started_s

    anyio.run(fetch)


@then("it has both changes within {seconds:f} s")
def step_changes_soon(context, seconds):
    assert context.took_s <= seconds, context.took_s


@then("the store was not called")
def step_store_not_called(context):
    assert context.fleet.store.reads == 0


@given("a VM that follows the backend servers")
def step_following_vm(context):
    context.fleet = ReplicatingFleet(1)
    anyio.run(context.fleet.vms[0].read, SERVERS)


@when("a registration with {fault} is written between two others")
def step_odd_between(context, fault):
    fleet = context.fleet
    fleet.put_server("s0")
    odd = INVALID_REGISTRATIONS[fault]()
    fleet.store.put(odd.key, odd.value)
    fleet.put_server("s2")
    fleet.vms[0].follow(SERVERS)


@then("the VM knows the two other servers, and follows a later change")
def step_follows_others(context):
    first = context.fleet.vms[0]
    assert set(first.routing_state.servers) == {"s0", "s2"}
    context.fleet.put_server("s3")
    first.follow(SERVERS)
    assert set(first.routing_state.servers) == {"s0", "s2", "s3"}


@then("a VM that fetches from it knows them too, and requests are placed on them")
def step_fetched_others(context):
    first = context.fleet.vms[0]
    later = context.fleet.add_vm()
    anyio.run(later.fetch, first, SERVERS)
    assert set(later.routing_state.servers) == {"s0", "s2", "s3"}
    steering = Steering(make_deployment(later.name), ROW_CODEC, 1, 0)
    steering.routing_state = later.routing_state
    install_keys(steering, "alder")
    steering.tick(250, 0)
    picked = {steering.pick(make_pick_request(n), 0).server.registration.id for n in range(50)}
    assert picked == {"s0", "s2", "s3"}


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**300, max_value=10**310)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["10.0.0.1:80", "10.0.0.1:0", "::1", "ready", "draining", "desk", "\ud800"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=5,
)


@then("registrations of random content leave placement, digests and requests working")
def step_random_registrations(context):
    @test_settings(max_examples=400, deadline=None, derandomize=True, database=None)
    @for_all(st.data())
    def check(data):
        document = {
            "address": data.draw(JSON_VALUES | st.just("10.0.0.1:80")),
            "born": data.draw(JSON_VALUES | st.just(1)),
            "info": {
                "service": data.draw(JSON_VALUES | st.just("desk")),
                "version": data.draw(JSON_VALUES | st.just("v1")),
                "zone": data.draw(JSON_VALUES | st.just("a")),
                "capacity": data.draw(JSON_VALUES | st.just(4)),
            },
            "status": {
                "state": data.draw(JSON_VALUES | st.just("ready")),
                "sequence": data.draw(JSON_VALUES | st.just(1)),
                "warmupLeftS": data.draw(JSON_VALUES | st.just(0)),
            },
        }
        server_id = data.draw(st.text(min_size=1, max_size=6) | st.just("s1"))
        row = Row(RowKey(SERVERS, server_id), json.dumps(document).encode(), 2)
        steering = Steering(make_deployment("vm-0"), ROW_CODEC, 1, 0)
        steering.routing_state.apply_row(row, 0)
        install_keys(steering, "alder")
        for now_ms in (0, 500):
            steering.tick(500, now_ms)
            for number in range(3):
                pick = steering.pick(make_pick_request(number), now_ms)
                if pick is None:
                    continue
                steering.record_dispatch(pick)
                metadata = DispatchMetadata(pick.server.registration.id, 100, "alder")
                headers = PlatformHeaderCodec().encode_request([], metadata)
                head = serialize_head(b"GET", b"/", headers)
                assert head.count(b"\r\n") == len(headers) + 2
                parse_address(pick.server.registration.address)
            steering.make_own_state(True, True, {SERVERS: 2}, now_ms)

    check()


@then("a request for rows after {what} is not decoded")
def step_odd_revision(context, what):
    assert decode_rows_request({"table": [SERVERS], "after": ["7"]}) == RowsRequest(SERVERS, 7)
    assert decode_rows_request({"table": [SERVERS], "after": [ODD_REVISIONS[what]]}) is None


@then("a page of three rows with one that is not base64 gives two readable ones")
def step_page(context):
    values = [base64.b64encode(server_row("s0", 1).value).decode()] * 3
    values[1] = "not base64"
    rows = [{"key": f"s{n}", "value": value, "ver": n} for n, value in enumerate(values)]

    def respond(request):
        return httpx.Response(200, json={"rows": rows, "ver": 3, "hasMore": False})

    async def read():
        async with httpx.AsyncClient(transport=httpx.MockTransport(respond)) as client:
            return await HttpRowStore(client, "10.0.0.9:1").read_table(SERVERS)

    decoded = [ROW_CODEC.decode_server(row) for row in anyio.run(read).rows]
    assert [item is not None for item in decoded] == [True, False, True]
