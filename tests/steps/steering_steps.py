"""Steps for the routing decisions, with simulated time and fixed seeds."""

import functools
import itertools
import json
import random
from fractions import Fraction

import anyio
from behave import given, then, when
from loguru import logger
from steering_fleet import free_port

from berylbankd._internal.feeds import registry as registry_module
from berylbankd._internal.feeds.registry import VmRegistry
from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.rows import (
    ConditionFailedError,
    Row,
    RowCache,
    RowKey,
    TableSnapshot,
)
from berylbankd._internal.models.types import (
    CallerLimits,
    Configuration,
    Organisation,
    ReleaseState,
    ReleaseStatus,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from berylbankd._internal.peers.codec import decode_datagram, encode_datagram
from berylbankd._internal.peers.messages import (
    DigestScope,
    DomainMembers,
    Member,
    Position,
    RegionSums,
    ReleaseReport,
    RouteEvidence,
    StateDigest,
    TokenGrant,
    TokenRequest,
)
from berylbankd._internal.peers.transport import PeerTransport
from berylbankd._internal.steering.digest_exchange import DigestExchange, OwnState
from berylbankd._internal.steering.membership import Membership, rank_readers
from berylbankd._internal.steering.picks import Pick, PickRequest
from berylbankd._internal.steering.placement import (
    PlacementQuery,
    ServerGroup,
    compute_effective_slots,
    compute_median_latency_ms,
    exclude_ejected,
)
from berylbankd._internal.steering.quotas import QuotaManager, rank_owners
from berylbankd._internal.steering.regions import RegionLoad, RegionSplit, plan_fractions
from berylbankd._internal.steering.retry_after import RetryAfterSpread
from berylbankd._internal.steering.routing_state import RoutingState
from berylbankd._internal.steering.servers import ServerState
from berylbankd._internal.steering.steering import Steering
from berylbankd._internal.steering.warmup import ColdServerBucket, find_owner
from tests.support.steering import ROW_CODEC, make_deployment, make_registration, server_row

SEED = 20261204
TICK_INTERVAL_MS = 250
TIME_STEP_MS = 10
ROUTE = Route(
    "r", "a.example", "/", RequestKind.SAFE, (WeightedService("desk", 1.0),), 2_000, 600, 2, 1,
    False, True, frozenset(),
)  # fmt: skip


def make_query(object_key, domain="", tried=(), queue=1.0):
    return PlacementQuery(object_key, domain, frozenset(tried), queue)


def admit_all(_state):
    return True


# Placement


@given("{count:d} servers of {slots:d} slots in {domains:d} failure domains")
def step_servers(context, count, slots, domains):
    context.servers = [
        ServerState(make_registration(f"s{n}", "abcdef"[n % domains], slots), 0)
        for n in range(count)
    ]


def place(context, object_key, domain="", queue=1.0):
    group = ServerGroup(context.servers)
    placement = group.choose(make_query(object_key, domain, queue=queue), admit_all, 0)
    return placement.server if placement is not None else None


@when("200 requests for 20 objects are placed one at a time")
def step_place_requests(context):
    context.placed_on = {}
    for number in range(200):
        server = place(context, f"o{number % 20}")
        context.placed_on.setdefault(number % 20, set()).add(server.registration.id)


@then("each object went to one server")
def step_one_server(context):
    assert all(len(servers) == 1 for servers in context.placed_on.values()), context.placed_on


@when("the first server of an object is full")
def step_first_full(context):
    first = place(context, "o1")
    first.in_flight = first.registration.slots
    # One request may queue, as the next server would take several times longer.
    assert place(context, "o1") is first
    first.in_flight += 1
    context.placed_on = {place(context, "o1").registration.id for _ in range(20)}
    context.first = first.registration.id


@then("its requests go to one other server")
def step_one_other(context):
    assert len(context.placed_on) == 1 and context.first not in context.placed_on


@when("{count:d} requests for one object arrive at once, with {allowed:d} servers allowed")
def step_burst(context, count, allowed):
    group = ServerGroup(context.servers)
    for _ in range(count):
        placement = group.choose(
            make_query("o1")._replace(servers_per_object=allowed), admit_all, 0
        )
        if placement is not None:
            placement.server.in_flight += 1


@then("{count:d} servers got requests, none beyond its slots and queue")
def step_burst_placed(context, count):
    in_flight = [state.in_flight for state in context.servers if state.in_flight]
    assert len(in_flight) == count, in_flight
    assert max(in_flight) <= 8, in_flight


@when("a server is added")
def step_server_added(context):
    before = {n: place(context, f"o{n}").registration.id for n in range(200)}
    context.servers.append(ServerState(make_registration("s-new"), 0))
    after = {n: place(context, f"o{n}").registration.id for n in range(200)}
    context.moved = [after[n] for n in before if after[n] != before[n]]


@then("at most {percent:d}% of 200 objects moved, all of them to the new server")
def step_objects_moved(context, percent):
    assert len(context.moved) <= 2 * percent
    assert set(context.moved) == {"s-new"}


@when('50 downloads of 50 objects from "{domain}" are placed one at a time')
def step_downloads(context, domain):
    context.placed_on = {place(context, f"o{n}", domain) for n in range(50)}


@then('all went to servers in "{domain}"')
def step_in_domain(context, domain):
    assert {state.registration.failure_domain for state in context.placed_on} == {domain}


@when("requests that never end are placed, with {queue:g} queued per slot")
def step_place_until_full(context, queue):
    context.placed = 0
    while (server := place(context, f"o{context.placed}", queue=queue)) is not None:
        server.in_flight += 1
        context.placed += 1


@then("{count:d} were placed and the next was not")
def step_placed_count(context, count):
    assert context.placed == count, context.placed


@when("one server answers 10 times slower than the others")
def step_one_slow_server(context):
    for state in context.servers:
        for _ in range(10):
            state.record_success(1000 if state is context.servers[0] else 100)


@then("it counts as less than 1 slot")
def step_counts_as_less_than_one_slot(context):
    slots = compute_effective_slots(context.servers[0], compute_median_latency_ms(context.servers))
    assert slots < 1
    assert (
        compute_effective_slots(context.servers[1], compute_median_latency_ms(context.servers)) == 4
    )


@when("{count:d} of them fail three times in a row")
def step_servers_fail(context, count):
    for state in context.servers[:count]:
        for _ in range(3):
            state.record_failure(0)
    context.now_ms = 1


@then("all {count:d} are usable")
@then("{count:d} are usable")
def step_usable_count(context, count):
    assert len(exclude_ejected(context.servers, context.now_ms)) == count


@when("a second passes and one fails three times in a row")
def step_second_passes_and_one_fails(context):
    context.now_ms = 1_001
    for state in context.servers:
        state.record_success(10)
    for _ in range(3):
        context.servers[0].record_failure(context.now_ms)


# Regions


def parse_loads(text):
    parts = (part.split() for part in text.split(","))
    return {name: RegionLoad(float(demand), float(slots)) for name, demand, slots in parts}


@given('regions with demand and slots "{text}"')
def step_regions(context, text):
    context.loads = parse_loads(text)


@then('"{region}" keeps all of its requests')
def step_keeps_all(context, region):
    assert plan_fractions(context.loads, region).get(region) == 1.0


@then('"{region}" keeps {percent:d}% of its requests')
def step_keeps(context, region, percent):
    plan = plan_fractions(context.loads, region)
    assert round(100 * plan.get(region, 0.0)) == percent, plan
    assert abs(sum(plan.values()) - 1) < 1e-9


@given('a split of "{region}" for demand and slots "{text}"')
def step_split(context, region, text):
    context.split = RegionSplit(region, 0.15)
    context.split.update(parse_loads(text), 0)


@when('demand and slots become "{text}" for 20 s')
def step_demand(context, text):
    context.shares, context.object_shares = [], []
    for now_ms in range(0, 20_000, TICK_INTERVAL_MS):
        context.split.update(parse_loads(text), now_ms)
        context.shares.append(dict(context.split.local.fractions))
        context.object_shares.append(dict(context.split.by_object.fractions))


@then("no two successive windows of 2 s differ by more than {limit:g}")
def step_windows(context, limit):
    for shares in (context.shares, context.object_shares):
        check_windows(shares, limit)


def check_windows(all_shares, limit):
    width = 2_000 // TICK_INTERVAL_MS
    for start in range(len(all_shares) - 2 * width):
        first, second = (
            compute_mean_shares(all_shares[start + shift : start + shift + width])
            for shift in (0, width)
        )
        moved = sum(abs(second[n] - first.get(n, 0)) for n in second) / 2
        assert moved <= limit, (start, moved)


@given('3 VMs that route by object, with servers "{text}"')
def step_object_regions(context, text):
    servers = [part.split() for part in text.split(",")]
    context.steerings = []
    for index in range(3):
        steering = Steering(make_deployment(f"vm-{index}", "ab"[index % 2]), ROW_CODEC, 1, 0)
        for number, (server_id, domain) in enumerate(servers):
            info = {"service": "desk", "version": "v1", "zone": domain, "capacity": 4}
            steering.routing_state.apply_row(server_row(server_id, number + 1, info=info), 0)
        set_configuration(steering)
        steering.tick(250, 250)
        context.steerings.append(steering)
    record_round_trips(context, 70)


def record_round_trips(context, connect_ms):
    for steering in context.steerings:
        steering.region_planner.round_trips.estimates_ms.clear()
        for region in set(steering.deployment.regions.values()) - {steering.deployment.region}:
            steering.region_planner.round_trips.record(region, connect_ms)


def set_configuration(steering):
    service = Service("desk", "", 100, 0, 0.0)
    steering.routing_state.configuration = Configuration(
        1, (ROUTE,), {"desk": service}, (), False, CallerLimits()
    )


def pick_server_for(steering, number, now_ms=300, **changes):
    request = PickRequest(
        ROUTE._replace(**changes), "desk", f"o{number}", frozenset(), frozenset(), 900
    )
    return steering.pick(request, now_ms)


@then("each object has one server, the same from every VM")
def step_same_server(context):
    for number in range(200):
        ids = {
            pick_server_for(steering, number).server.registration.id
            for steering in context.steerings
        }
        assert len(ids) == 1, (number, ids)


@then('about {percent:d}% of the objects are in region "{region}"')
def step_objects_in(context, percent, region):
    steering = context.steerings[0]
    found = [
        pick_server_for(steering, number).server.registration.failure_domain
        for number in range(400)
    ]
    share = sum(1 for domain in found if steering.deployment.regions[domain] == region) / 4
    assert abs(share - percent) <= 6, share


@then("downloads stay in the region of each VM")
def step_downloads_near(context):
    for steering in context.steerings:
        deployment = steering.deployment
        for number in range(50):
            found = pick_server_for(steering, number, kind=RequestKind.DOWNLOAD).server.registration
            assert deployment.regions[found.failure_domain] == deployment.region


@when("a round trip between regions takes {ms:d} ms, for an objective of {objective:d}")
def step_distant_regions(context, ms, objective):
    context.objective = objective
    record_round_trips(context, ms)


@then("each object stays in the region of each VM")
def step_stay_near(context):
    for steering in context.steerings:
        deployment = steering.deployment
        for number in range(50):
            found = pick_server_for(
                steering, number, objective_ms=context.objective
            ).server.registration
            assert deployment.regions[found.failure_domain] == deployment.region


@when('three servers of "{domain}" can\'t be reached')
def step_unreachable(context, domain):
    for steering in context.steerings:
        servers = [
            s
            for s in steering.routing_state.servers.values()
            if s.registration.failure_domain == domain
        ]
        for state in servers[:3]:
            steering.record_unreachable(Pick(state, False, None), 300)


@when('three servers of "{domain}" can\'t be reached, a minute apart')
def step_unreachable_apart(context, domain):
    for steering in context.steerings:
        servers = [
            s
            for s in steering.routing_state.servers.values()
            if s.registration.failure_domain == domain
        ]
        for minute, state in enumerate(servers[:3]):
            steering.record_unreachable(Pick(state, False, None), 300 + minute * 60_000)


@then('the others of "{domain}" are still used')
def step_still_used(context, domain):
    for steering in context.steerings:
        (other,) = [s for s in steering.routing_state.servers.values() if s.registration.id == "s3"]
        assert not other.is_ejected(120_301), domain


@then('no object is sent to "{domain}"')
def step_none_in(context, domain):
    for steering in context.steerings:
        for number in range(200):
            assert (
                pick_server_for(steering, number, 310).server.registration.failure_domain != domain
            )


def compute_mean_shares(shares):
    names = {name for share in shares for name in share}
    return {name: sum(s.get(name, 0) for s in shares) / len(shares) for name in names}


# Quotas


@given("12 VMs that share a rate of {rate:d} and a burst of {burst:d}")
def step_quota_vms(context, rate, burst):
    set_up_quota_vms(context, 12, rate, burst)


@given("{vms:d} VMs in 3 regions that share a rate of {rate:d} and a burst of {burst:d}")
def step_many_quota_vms(context, vms, rate, burst):
    set_up_quota_vms(context, vms, rate, burst)


def set_up_quota_vms(context, vms, rate, burst):
    context.organisation = Organisation("alder", (), 0, rate, burst, frozenset())
    context.vms = vms
    context.managers = [make_quota_manager(index) for index in range(vms)]
    context.reachable_vms = [list(range(vms)) for _ in range(vms)]
    context.running = list(range(vms))
    context.admitted = []
    context.sent_demands = [{} for _ in range(vms)]
    context.token_requests = context.sent = 0


def get_region(index):
    return f"r{index % 3}"


def make_quota_manager(index):
    return QuotaManager(Bounds(), get_region(index))


def find_owners(context, index):
    """Return the VMs that a VM asks for tokens, among those of its region that it reaches."""
    region_vms = tuple(
        n for n in context.reachable_vms[index] if get_region(n) == get_region(index)
    )
    return rank_region_owners(region_vms)


@functools.cache
def rank_region_owners(region_vms):
    return [int(name) for name in rank_owners("alder", {str(n): 1.0 for n in region_vms})]


def exchange_demands(context, now_ms):
    """Exchange the demands among the VMs that reach each other."""
    sent_demands = [manager.demands(now_ms) for manager in context.managers]
    for index, manager in enumerate(context.managers):
        reported = {}
        # Demands that other VMs sent arrive one heartbeat later.
        for other in context.reachable_vms[index]:
            amount = context.sent_demands[other].get("alder", 0.0)
            reported[get_region(other)] = max(amount, reported.get(get_region(other), 0.0))
        live_vms = len(context.reachable_vms[index])
        manager.update_fleet({"alder": reported}, 3, live_vms / context.vms, context.vms)
        owned = [context.organisation] if find_owners(context, index)[0] == index else []
        manager.update_owned(owned, now_ms)
    context.sent_demands = sent_demands


def admit(context, index, now_ms):
    """Admit a request as :class:`RateLimiter` does; token requests are answered at once or lost."""
    manager, organisation = context.managers[index], context.organisation
    if manager.take(organisation, now_ms):
        return True
    for owner in find_owners(context, index):
        request = manager.make_token_request(organisation, now_ms)
        if owner in context.running and index in context.reachable_vms[owner]:
            context.token_requests += 1
            granted = context.managers[owner].grant(organisation, request, now_ms)
            return manager.accept_grant(organisation, granted, now_ms)
    return manager.take_fallback(organisation, now_ms)


def send_requests(context, per_s, vms, seconds, inject_fault=None):
    rng = random.Random(SEED)
    start_ms = 2_000
    for now_ms in range(0, start_ms, TICK_INTERVAL_MS):
        exchange_demands(context, now_ms)
    for now_ms in range(start_ms, start_ms + seconds * 1000, TIME_STEP_MS):
        if now_ms % TICK_INTERVAL_MS == 0:
            exchange_demands(context, now_ms)
        if inject_fault is not None and now_ms == start_ms + 10_000:
            inject_fault(context, now_ms)
        for _ in range(draw_poisson(rng, per_s * TIME_STEP_MS / 1000)):
            vm = rng.choice([n for n in context.running if n < vms])
            context.sent += 1
            if admit(context, vm, now_ms):
                context.admitted.append(now_ms)
    context.seconds = seconds


def draw_poisson(rng, mean):
    count, total = 0, rng.expovariate(1.0)
    while total < mean:
        count += 1
        total += rng.expovariate(1.0)
    return count


@when("it sends {per_s:d} requests a second to {vms:d} VMs for {seconds:d} s")
def step_send(context, per_s, vms, seconds):
    send_requests(context, per_s, vms, seconds)


@when("it sends {per_s:d} requests a second to {vms:d} VMs for {seconds:d} s while {fault}")
def step_send_with_fault(context, per_s, vms, seconds, fault):
    send_requests(context, per_s, vms, seconds, FAULTS[fault])


def partition_two(context, _now_ms):
    context.reachable_vms = [
        [n for n in range(12) if (n < 2) == (index < 2)] for index in range(12)
    ]


def restart_all(context, now_ms):
    context.managers = [make_quota_manager(index) for index in range(12)]


def kill_half(context, _now_ms):
    context.running = list(range(6))
    context.reachable_vms = [list(range(6)) for _ in range(12)]


def kill_owners(context, _now_ms):
    """Kill the VMs that own the token buckets; the others do not detect it during the test."""
    owners = {find_owners(context, index)[0] for index in range(12)}
    context.running = [n for n in range(12) if n not in owners]


def silence_cold_owner(context, _now_ms):
    """Let the others no longer hear the VM that owns the cold server; it hears them."""
    owner = int(find_owner("s0", [f"vm-{n}" for n in range(12)]).removeprefix("vm-"))
    others = [n for n in range(12) if n != owner]
    context.reachable_vms = [others if index != owner else list(range(12)) for index in range(12)]


FAULTS = {
    "2 VMs are partitioned from the others": partition_two,
    "its owner is no longer heard": silence_cold_owner,
    "all VMs restart at once": restart_all,
    "half of the VMs are killed": kill_half,
    "the VMs that own the tokens are killed": kill_owners,
    "nothing happens": lambda context, now_ms: None,
}


@when("11 of them receive its requests for 5 s and then the last one receives its first")
def step_last_vm(context):
    send_requests(context, 60, 11, 5)
    exchange_demands(context, 7_000)
    context.first_admitted = admit(context, 11, 7_010)


@then("the last one admits it")
def step_first_admitted(context):
    assert context.first_admitted


@then("no window of 5 s had more admitted requests than the bound")
def step_within_bound(context):
    organisation = context.organisation
    bound = (organisation.rate_per_s * 5 + organisation.burst) * 1.1 + 20
    first = 0
    for last, at_ms in enumerate(context.admitted):
        while context.admitted[first] <= at_ms - 5_000:
            first += 1
        assert last - first + 1 <= bound, (at_ms, last - first + 1)


@then("at least {per_s:g} requests a second were admitted")
def step_admitted(context, per_s):
    assert len(context.admitted) >= per_s * context.seconds * 0.97, len(context.admitted)


@then("at most {percent:d}% of them were refused")
def step_refused(context, percent):
    refused = context.sent - len(context.admitted)
    assert refused * 100 <= percent * context.sent, (refused, context.sent)


@then("less than {count:d} token requests were sent")
def step_token_requests(context, count):
    assert context.token_requests < count, context.token_requests


def make_digest(number, incarnation=5, sequence=1, **fields):
    values = {"ready": True, "leaving": False, "reading": True, **fields}
    host = f"10.0.0.{number}"
    member = Member(f"vm-{number}", host, f"{host}:80", "a", incarnation, sequence, 1.0, **values)
    domains = (DomainMembers("a", (member,)),)
    return StateDigest(DigestScope.VM, member.vm, host, "a", incarnation, sequence, (), domains)


DATAGRAMS = {
    "digest": make_digest(1),
    "digest with sums": make_digest(1)._replace(
        scope=DigestScope.FLEET,
        positions=(Position("t", 7),),
        live_domains=("a", "b"),
        loads={1: 2.0, 2**32 - 1: 0.5},
        regions=(RegionSums("one", {3: 1.5}, {}),),
        releases=(ReleaseReport("desk", 7, 2, True, 100, 3, (RouteEvidence("r", 1, 2, 3, 4),), 1),),
        hosts=("10.0.0.9",),
        age_ms=750,
    ),
    "token request": TokenRequest("alder", 3, 5, 17),
    "token grant": TokenGrant(17, 3),
    "grant for an unknown organisation": TokenGrant(17, 0, known=False),
}


@then("a {kind} is decoded as it was encoded")
def step_datagram(context, kind):
    assert decode_datagram(encode_datagram(DATAGRAMS[kind])) == DATAGRAMS[kind]


# Seconds of real time for one second of a test.
TIME_SCALE = 0.05


class VmTable:
    """An in-memory table of VMs with conditional writes, in place of the store."""

    def __init__(self):
        self.era = 0
        self.rows = {}
        self.calls = 0

    async def write(self, key, value, expected):
        self.calls += 1
        known = self.rows.get(key)
        if (known.revision if known is not None else 0) != expected:
            raise ConditionFailedError(known)
        self.rows[key] = Row(key, value, len(self.rows) + 1)
        return self.rows[key].revision

    async def read_table(self, table):
        self.calls += 1
        return TableSnapshot(table, tuple(self.rows.values()), len(self.rows))


@given("an empty table of VMs")
def step_empty_vm_table(context):
    context.vm_table = VmTable()


@given("a table of VMs with {count:d} readers")
def step_vm_table(context, count):
    context.vm_table = VmTable()
    for number in range(count):
        key = RowKey("vms", f"reader-{number}")
        anyio.run(context.vm_table.write, key, f"10.1.0.{number}".encode(), 0)
    context.vm_table.calls = 0


def start_registries(context, count, first_start):
    async def start_all():
        async with anyio.create_task_group() as group:
            for membership in context.started:
                registry = VmRegistry(context.vm_table, membership, "vms", lambda: False)
                group.start_soon(registry.run)
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    deployments = [
        make_deployment(f"vm-{n}")._replace(first_start=first_start) for n in range(count)
    ]
    context.started = [Membership(deployment) for deployment in deployments]
    anyio.run(start_all)


@given("a table of VMs with the rows {rows}")
def step_rows(context, rows):
    context.vm_table = VmTable()
    for number, text in enumerate(rows.split(", ")):
        anyio.run(context.vm_table.write, RowKey("vms", f"reader-{number}"), text.encode(), 0)


@when("1 VM starts again and hears no other VM for {seconds:d} s")
def step_hears_none(context, seconds):
    run_lone_registry(context, seconds, is_reader=False)


@when("1 VM starts again as a reader and hears no other VM for {seconds:d} s")
def step_reader_hears_none(context, seconds):
    run_lone_registry(context, seconds, is_reader=True)


@then("its row in the table is {value}")
def step_holds(context, value):
    assert context.vm_table.rows[RowKey("vms", "vm-0")].value == value.encode()


@given("a VM that has heard {count:d} others every {interval:d} ms for {seconds:d} s")
def step_regular(context, count, interval, seconds):
    context.membership = Membership(make_deployment("vm-0"))
    for context.now_ms in range(0, seconds * 1000, interval):
        for number in range(1, count + 1):
            digest = make_digest(number, sequence=context.now_ms)
            context.membership.record_digest(digest, context.now_ms)
        context.membership.update(context.now_ms)


@when("nothing arrives for {ms:d} ms")
def step_nothing(context, ms):
    context.now_ms += ms


@then("its share is {share} of the fleet")
def step_share(context, share):
    found = context.membership.fleet_share(context.now_ms)
    assert abs(found - float(Fraction(share))) < 1e-9, found


def run_lone_registry(context, seconds, *, is_reader):
    membership = Membership(make_deployment("vm-0"))
    context.started = [membership]

    async def run_registry():
        registry = VmRegistry(context.vm_table, membership, "vms", lambda: is_reader)
        with anyio.move_on_after(seconds * TIME_SCALE):
            await registry.run()

    names = ("PEER_CHECK_INTERVAL_S", "READER_CHECK_INTERVAL_S")
    intervals_s = {name: getattr(registry_module, name) for name in names}
    for name, interval_s in intervals_s.items():
        setattr(registry_module, name, interval_s * TIME_SCALE)
    try:
        anyio.run(run_registry)
    finally:
        for name, interval_s in intervals_s.items():
            setattr(registry_module, name, interval_s)
    membership.update(seconds * 1000)
    context.now_ms = seconds * 1000


@when("1 VM starts again and after {seconds:d} s hears a VM of {domains}")
def step_hears_domains(context, seconds, domains):
    run_lone_registry(context, seconds, is_reader=False)
    for number, domain in enumerate(domains.split(" and "), start=1):
        digest = make_digest(number)
        (member,) = digest.domains[0].members
        lists = (DomainMembers(domain, (member._replace(failure_domain=domain),)),)
        digest = digest._replace(failure_domain=domain, domains=lists)
        context.started[0].record_digest(digest, context.now_ms)
    context.started[0].update(context.now_ms)


@then("it uses {rates} of the rates of organisations, and {rest} of what else VMs may do together")
def step_parts(context, rates, rest):
    membership = context.started[0]
    assert membership.rate_share(context.now_ms) == float(Fraction(rates))
    assert membership.fleet_share(context.now_ms) == float(Fraction(rest))


@then("it uses 1 of {size:d} parts of what all VMs may do together")
def step_part(context, size):
    assert context.started[0].fleet_share(context.now_ms) == 1 / size


@when("a reader that hears {first:d} VMs later hears {later:d}")
def step_reader_hears(context, first, later):
    membership = Membership(make_deployment("vm-0"))
    context.values = []

    async def run_registry():
        registry = VmRegistry(context.vm_table, membership, "vms", lambda: True)
        async with anyio.create_task_group() as group:
            group.start_soon(registry._register_while_reader)
            for count in (first, later):
                for number in range(1, count + 1):
                    membership.record_digest(make_digest(number, sequence=count), 0)
                await anyio.sleep(3)
                (row,) = context.vm_table.rows.values()
                context.values.append(row.value)
            group.cancel_scope.cancel()

    anyio.run(run_registry)


@then(
    "the table holds its host with {first:d} and then {later:d} VMs, and no call was made without "
    "a change"
)
def step_recorded(context, first, later):
    assert context.values == [f"10.0.0.0 {count}".encode() for count in (first, later)]
    assert context.vm_table.calls == 2


@given("a VM that has not heard {silent:d} of {count:d} others for {seconds:d} s")
def step_partly_silent(context, silent, count, seconds):
    membership = Membership(make_deployment("vm-0"))
    for number in range(1, count + 1):
        membership.record_digest(make_digest(number, sequence=1), 0)
    context.now_ms = seconds * 1000
    for number in range(silent + 1, count + 1):
        membership.record_digest(make_digest(number, sequence=2), context.now_ms)
    membership.update(context.now_ms)
    context.exchange = DigestExchange(make_deployment("vm-0"), membership, 1)
    context.silent = {f"vm-{number}" for number in range(1, silent + 1)}


@when("another VM appears")
def step_appears(context):
    now_ms = context.now_ms
    assert context.exchange.receive(make_digest(20, sequence=1), now_ms)
    context.newcomer = Membership(make_deployment("vm-20"), now_ms)
    own = OwnState(True, False, True, {}, {}, {}, {}, ())
    for answer, _ in context.exchange.make_answers(own, "vm-20", now_ms):
        digest = decode_datagram(encode_datagram(answer))
        context.newcomer.record_digest(digest, now_ms)


@then("the other VM knows that there may be {count:d} VMs, and takes the silent ones for silent")
def step_newcomer(context, count):
    later_ms = context.now_ms + 1_000
    context.newcomer.update(later_ms)
    assert context.newcomer.possible_vm_count(later_ms) == count
    assert not context.silent & set(context.newcomer.heard_vms())


@when("{count:d} VMs start for the first time")
def step_first_start(context, count):
    start_registries(context, count, True)


@when("1 VM starts again")
def step_starts_again(context):
    start_registries(context, 1, False)


@then("all but the first know the host of the first, after one call each")
def step_know_first(context):
    first, *others = context.started
    assert first.hosts == set()
    assert all(membership.hosts == {first.host} for membership in others)
    assert context.vm_table.calls == len(context.started)


@then("it knows the {count:d} readers, after one call")
def step_know_readers(context, count):
    assert context.started[0].hosts == {f"10.1.0.{n}" for n in range(count)}
    assert context.vm_table.calls == 1


class TokenOwner:
    """Grants one token for each token request."""

    def handle_digest(self, digest):
        pass

    def grant_tokens(self, request):
        return TokenGrant(request.number, 1)


@when("a VM sends another VM {count:d} token requests and digests at once")
def step_many_token_requests(context, count):
    digest = DATAGRAMS["digest"]

    async def exchange():
        port = free_port()
        client, owner = (PeerTransport(f"127.0.2.{n}", port, TokenOwner()) for n in (1, 2))
        async with anyio.create_task_group() as group:
            for transport in (client, owner):
                group.start_soon(transport.run)
            await anyio.sleep(0.2)
            context.granted = []
            async with anyio.create_task_group() as requests:
                for number in range(count):
                    client.send_digest(digest, ["127.0.2.2"])
                    requests.start_soon(request_tokens, client, number)
            group.cancel_scope.cancel()

    async def request_tokens(client, number):
        request = TokenRequest(f"organisation-{number}", 1, 1)
        context.granted.append(await client.ask_tokens("127.0.2.2", request, 10.0))

    anyio.run(exchange)


@then("all {count:d} are answered")
def step_all_answered(context, count):
    assert None not in context.granted, context.granted.count(None)
    assert [grant.tokens for grant in context.granted] == [1] * count


@given("{count:d} callers refused at the same moment, with a service time of {ms:d} ms")
def step_refused_callers(context, count, ms):
    spread = RetryAfterSpread()
    context.retry_delays = [spread.next_delay_ms(ms) for _ in range(count)]


@then("they retry within {ms:d} ms, at most {limit:d} in any {window:d} ms")
def step_retry_spread(context, ms, limit, window):
    assert max(context.retry_delays) <= ms, max(context.retry_delays)
    for start in context.retry_delays:
        assert sum(1 for at in context.retry_delays if start <= at < start + window) <= limit


# Warm-up


@given("12 VMs and a cold server that tolerates {rate:g} requests a second")
def step_cold_server(context, rate):
    context.rate = rate
    context.reachable_vms = [list(range(12)) for _ in range(12)]
    context.running = list(range(12))


@when("every VM has 50 requests a second for it for 4 s while {fault}")
def step_send_cold(context, fault):
    buckets = [ColdServerBucket(0) for _ in range(12)]
    context.sent = []
    for now_ms in range(0, 4_000, 20):
        if now_ms == 1_000:
            FAULTS[fault](context, now_ms)
        for vm in context.running:
            names = [f"vm-{n}" for n in context.reachable_vms[vm]]
            if find_owner("s0", names) == f"vm-{vm}" and buckets[vm].take(
                context.rate, len(names) / 12, now_ms
            ):
                context.sent.append(now_ms)


@then("no second had more requests than 1.5 times the rate plus 5")
def step_cold_server_within_bound(context):
    for start in context.sent:
        count = sum(1 for at_ms in context.sent if start <= at_ms < start + 1_000)
        assert count <= context.rate * 1.5 + 5, (start, count)
    assert len(context.sent) >= context.rate


@given(
    "a cold server that tolerates {rate:g} requests a second, and its owner, which hears {share:g} "
    "of the fleet"
)
def step_quiet_owner(context, rate, share):
    context.rate, context.share = rate, share


@when("a request for it comes every {ms:d} ms")
def step_few_requests(context, ms):
    bucket = ColdServerBucket(0)
    times_ms = range(0, 10 * ms, ms)
    context.taken = [bucket.take(context.rate, context.share, at_ms) for at_ms in times_ms]


@then("it gets all of them but at most the first")
def step_gets_all(context):
    assert all(context.taken[1:]), context.taken


# Routing state


@given('a routing state with a server in "a"')
def step_routing_state(context):
    context.routing_state = RoutingState(ROW_CODEC)
    context.routing_state.apply_row(server_row("s0", 1), 0)


@when('"{domain}" is evacuated')
def step_evacuate(context, domain):
    context.routing_state.apply_row(
        Row(RowKey(ROW_CODEC.orders_table, f"evacuate/{domain}"), b"{}", 2), 10
    )


@then("the server gets no requests")
def step_server_unused(context):
    assert context.routing_state.servers_of("desk") == []


@when('the evacuation of "{domain}" ends')
def step_evacuation_ends(context, domain):
    context.routing_state.apply_row(
        Row(RowKey(ROW_CODEC.orders_table, f"evacuate/{domain}"), None, 3), 100
    )


@then("the server is cold for {ms:d} ms")
def step_is_cold(context, ms):
    (state,) = context.routing_state.servers_of("desk")
    assert state.is_cold(100 + ms - 1) and not state.is_cold(100 + ms)


INVALID_REGISTRATIONS = {
    "no address": lambda: server_row("s1", 2, address=None),
    "an unknown state": lambda: server_row(
        "s1", 2, status={"state": "odd", "sequence": 1, "warmupLeftS": 0}
    ),
    "slots as text": lambda: server_row(
        "s1", 2, info={"service": "desk", "version": "v1", "zone": "a", "capacity": "4"}
    ),
    "bytes that are not JSON": lambda: Row(RowKey(ROW_CODEC.servers_table, "s1"), b"\xff{", 2),
    "a list instead of an object": lambda: Row(RowKey(ROW_CODEC.servers_table, "s1"), b"[1]", 2),
    "very deep nesting": lambda: raw_server_row(b"[" * 30_000),
    "deep nesting in a field": lambda: changed_server_row(b'"v1"', b"[" * 20_000 + b"]" * 20_000),
    "an infinite warm-up time": lambda: changed_server_row(b'LeftS": 0', b'LeftS": 1e999'),
    "a warm-up time of 400 digits": lambda: changed_server_row(
        b'LeftS": 0', b'LeftS": 1' + b"0" * 400
    ),
    "slots of 400 digits": lambda: changed_server_row(
        b'"capacity": 4', b'"capacity": 4' + b"0" * 400
    ),
    "negative slots": lambda: changed_server_row(b'"capacity": 4', b'"capacity": -4'),
    "a start time of 5000 digits": lambda: changed_server_row(
        b'"born": 1', b'"born": 1' + b"0" * 5_000
    ),
    "a start time that is infinite": lambda: changed_server_row(b'"born": 1', b'"born": Infinity'),
    "a port out of range": lambda: server_row("s1", 2, address="10.0.0.1:70000"),
    "a host name as its address": lambda: server_row("s1", 2, address="backend.example:80"),
    "an address of another type": lambda: server_row("s1", 2, address=["10.0.0.1:80"]),
    "a service that no text can hold": lambda: changed_server_row(b'"desk"', b'"\\ud800"'),
    "a line break in its id": lambda: server_row("s1\r\nx-evil: 1", 2),
}


def raw_server_row(value):
    return Row(RowKey(ROW_CODEC.servers_table, "s1"), value, 2)


def changed_server_row(part, replacement):
    value = server_row("s1", 2).value
    assert value.count(part) == 1, (part, value)
    return raw_server_row(value.replace(part, replacement))


@when("a registration with {fault} arrives")
def step_invalid_registration(context, fault):
    context.routing_state.apply_row(INVALID_REGISTRATIONS[fault](), 10)


@then("only the first server is known")
def step_only_first(context):
    assert list(context.routing_state.servers) == ["s0"]


@when("the store comes back without its registration")
def step_store_back(context):
    context.routing_state.removal_grace_until_ms = 1_000 + 2_000
    context.routing_state.apply_row(Row(RowKey(ROW_CODEC.servers_table, "s0"), None, 2), 1_000)


@then("the server is used for {ms:d} ms and then removed")
def step_used_then_removed(context, ms):
    context.routing_state.remove_missing_servers(1_000 + ms - 1)
    assert len(context.routing_state.servers_of("desk")) == 1
    context.routing_state.remove_missing_servers(1_000 + ms)
    assert context.routing_state.servers_of("desk") == []


@when("its draining state arrives at {known:d} ms, and its last request was sent at {sent:d} ms")
def step_draining_and_last_request(context, known, sent):
    state = context.routing_state.servers["s0"]
    status = {"state": "draining", "warmupLeftS": 0, "sequence": 2}
    context.routing_state.apply_rows([server_row("s0", 2, status=status)], "feed", known)
    state.last_sent_ms = sent


@then("{delay:d} ms are reported as the delay of its departure, once, from {ms:d} ms on")
def step_departure_delay(context, delay, ms):
    assert context.routing_state.report_departures(ms - 1) == []
    assert context.routing_state.report_departures(ms) == [delay]
    assert context.routing_state.report_departures(ms + 1) == []


@when('a server of version "v2" registers')
def step_new_version(context):
    assert context.routing_state.stable_version("desk") == "v1"
    for number in range(3):
        info = {"service": "desk", "version": "v2", "zone": "a", "capacity": 4}
        context.routing_state.apply_row(server_row(f"n{number}", 2 + number, info=info), 10)


def version_row(name, version, started_ms):
    info = {"service": "desk", "version": version, "zone": "a", "capacity": 4}
    return server_row(name, 2, info=info, born=started_ms)


@when('every server of version "v1" starts again')
def step_start_again(context):
    assert context.routing_state.stable_version("desk") == "v1"
    context.routing_state.apply_row(version_row("s0", "v1", 9_000), 20)


@when(
    'a release to version "v2" is ordered, and every server of version "v1" is away and then'
    " starts again"
)
def step_away_during_release(context):
    state = context.routing_state
    (order,) = make_release_rows("v2", None)
    state.apply_row(order, 20)
    assert state.stable_version("desk") == "v1"
    state.apply_row(Row(RowKey(ROW_CODEC.servers_table, "s0"), None, 10), 20)
    assert state.stable_version("desk") == "v1"
    state.apply_row(version_row("s0", "v1", 9_000), 30)


@given('servers of version "v9" that started first, and as many of "v10" that started later')
def step_two_versions_registered(context):
    context.version_rows = [
        version_row("a0", "v9", 1_000),
        # It has been restarted since.
        version_row("a1", "v9", 9_000),
        version_row("b0", "v10", 5_000),
        version_row("b1", "v10", 5_000),
    ]


def make_release_rows(to, state):
    order = {"service": "desk", "to": to, "durationS": 10}
    key = RowKey(ROW_CODEC.orders_table, "rollout/desk")
    rows = [Row(key, json.dumps(order).encode(), 3)]
    if state is not None:
        value = ROW_CODEC.encode_status(ReleaseStatus("desk", to, state))
        rows.append(Row(ROW_CODEC.status_key("desk"), value, 4))
    return rows


@when("no release is ordered yet")
def step_no_order(context):
    context.release_rows = []


@when('a server of "{version}" states no start')
def step_no_start(context, version):
    context.release_rows = [version_row("c0", version, 0)]


@when('a release to "{to}" is ordered')
def step_order_row(context, to):
    context.release_rows = make_release_rows(to, None)


@when('a release to "{to}" has been rolled back')
def step_rolled_back_row(context, to):
    context.release_rows = make_release_rows(to, ReleaseState.ROLLED_BACK)


@when('a release to "{to}" has succeeded')
@when('a release to "{to}" succeeded before')
def step_succeeded_row(context, to):
    context.release_rows = make_release_rows(to, ReleaseState.SUCCEEDED)


@then('in any order of arrival version "{version}" gets the requests')
def step_any_arrival(context, version):
    for rows in itertools.permutations([*context.version_rows, *context.release_rows]):
        state = RoutingState(ROW_CODEC)
        for row in rows:
            state.apply_row(row, 0)
            state.stable_version("desk")
        assert state.stable_version("desk") == version, [row.key.key for row in rows]


@then('version "{version}" gets the requests')
def step_version_serves(context, version):
    assert context.routing_state.stable_version("desk") == version


# Rows


def make_row(key, revision, value=b"x"):
    return Row(RowKey("t", key), value, revision)


@given('a table with row "{key}" at revision {revision:d}')
def step_cached_row(context, key, revision):
    context.cache, context.other_cache = RowCache(), RowCache()
    for table in (context.cache, context.other_cache):
        table.apply(make_row(key, revision, b"new"))


@when('row "{key}" arrives at revision {revision:d}')
def step_row_arrives(context, key, revision):
    context.cache.apply(make_row(key, revision, b"old"))


@then('row "{key}" is the one of revision {revision:d}')
def step_row_is(context, key, revision):
    assert context.cache.rows[RowKey("t", key)] == make_row(key, revision, b"new")


@when("a snapshot at revision {revision:d} without it arrives")
def step_snapshot_without(context, revision):
    context.cache.apply_snapshot(TableSnapshot("t", (), revision))
    for row in context.cache.rows_after("t", 5):
        context.other_cache.apply(row)


@then('row "{key}" is removed')
def step_removed(context, key):
    assert context.cache.rows[RowKey("t", key)].value is None


@when('a snapshot at revision {revision:d} with row "{key}" at revision {row:d} arrives')
def step_snapshot_with(context, revision, key, row):
    context.cache.apply_snapshot(TableSnapshot("t", (make_row(key, row, b"new"),), revision))


@then('row "{key}" is present')
def step_present(context, key):
    assert context.cache.rows[RowKey("t", key)].value == b"new"


@then("another VM that knew the removal restores the row too")
def step_other_restores(context):
    assert context.other_cache.rows[RowKey("t", "a")].value is None
    for row in context.cache.rows_after("t", 9):
        context.other_cache.apply(row)
    assert context.other_cache.rows[RowKey("t", "a")].value == b"new"


# Membership


@given("a VM that receives digests from 8 others")
def step_members(context):
    context.membership = Membership(make_deployment())
    context.now_ms = 0
    for number in range(1, 9):
        receive(context, make_digest(number), 0)


def receive(context, digest, now_ms):
    membership = context.membership
    if membership.is_newer(digest, now_ms):
        membership.record_digest(digest, now_ms)
    membership.update(now_ms)


@when("one sends no digests for {ms:d} ms")
def step_silent_vm(context, ms):
    context.now_ms = ms
    for number in range(2, 9):
        receive(context, make_digest(number, sequence=9), ms)


@then("it is not live, but still counts in the fleet size")
def step_not_live(context):
    assert "vm-1" not in {member.vm for member in context.membership.live}
    assert context.membership.fleet_size(context.now_ms) == 9


@when("an older digest of one arrives after a newer one")
def step_older_digest(context):
    receive(context, make_digest(1, sequence=7, leaving=True), 100)
    receive(context, make_digest(1, sequence=6), 110)


@then("its newest digest is kept")
def step_newest(context):
    assert context.membership.known["vm-1"].member.leaving


@when("it restarts with an older incarnation")
def step_restart_older(context):
    receive(context, make_digest(1, incarnation=4), context.now_ms)


@then("it is live")
def step_live(context):
    assert "vm-1" in {member.vm for member in context.membership.live}


def choose_readers_everywhere(now_ms, failed_vm=""):
    """Return the readers as each of 9 VMs chooses them, by VM."""
    chosen = {}
    for own in range(9):
        membership = Membership(make_deployment(f"vm-{own}"))
        membership.reads_store = f"vm-{own}" != failed_vm
        for number in set(range(9)) - {own}:
            digest = make_digest(number, reading=f"vm-{number}" != failed_vm)
            membership.record_digest(digest, 0)
        for known in membership.known.values():
            known.heard_ms = now_ms
        membership.update(now_ms)
        chosen[f"vm-{own}"] = membership.choose_readers(now_ms)
    return chosen


@then("all VMs choose the same 2 readers of the store")
def step_readers(context):
    chosen = list(choose_readers_everywhere(0).values())
    assert all(readers == chosen[0] for readers in chosen) and len(chosen[0]) == 2
    context.readers = chosen[0]


@when("a reader gets no answer from the store")
def step_reader_unanswered(context):
    context.failed_reader = sorted(context.readers)[0]


@then("all other VMs choose {count:d} readers without it {ms:d} ms later")
def step_other_readers(context, count, ms):
    chosen = choose_readers_everywhere(ms, context.failed_reader)
    del chosen[context.failed_reader]
    first = next(iter(chosen.values()))
    for readers in chosen.values():
        assert readers == first and len(readers) == count, chosen
        assert context.failed_reader not in readers


@then("the first 2 readers of 9 VMs in 3 regions are in different regions")
def step_readers_apart(context):
    regions = {"a": "one", "b": "one", "c": "two", "d": "three"}
    for names in itertools.permutations("abcd" * 2, 2):
        candidates = {f"vm-{n}": d for n, d in enumerate([*names, *"abcdabc"])}
        first, second = rank_readers(candidates, regions)[:2]
        assert regions[candidates[first]] != regions[candidates[second]]


@when(
    'every server of region "{region}" is full while 1000 requests for objects arrive at a VM '
    "and the others have {used:d} of 4 slots in use"
)
def step_full_region(context, region, used):
    steering = context.steerings[0]
    regions = steering.deployment.regions
    planned = {number: pick_server_for(steering, number) for number in range(1_000)}
    context.in_full_region = [
        number
        for number, pick in planned.items()
        if regions[pick.server.registration.failure_domain] == region
    ]
    for state in steering.routing_state.servers.values():
        is_full = regions[state.registration.failure_domain] == region
        state.in_flight = 100 if is_full else used
    context.overflowed = [
        number
        for number in context.in_full_region
        if pick_server_for(steering, number, 1_000) is not None
    ]


@then('at most {limit:d} of them were sent to region "{other}" in place of region "{region}"')
def step_overflow(context, limit, other, region):
    # The bound: 3% of the requests, and the credit that was saved up before.
    assert len(context.in_full_region) > 300
    assert len(context.overflowed) <= limit, len(context.overflowed)


@then('all of them were sent to region "{other}"')
def step_all_overflow(context, other):
    assert context.overflowed == context.in_full_region


@given("3 VMs with 200 Mbit/s and 19 VMs with 6 Mbit/s in a region")
def step_unequal_links(context):
    wide = make_deployment()._replace(cores=2.15, link_mbps=200.0).capacity
    narrow = make_deployment()._replace(cores=0.43, link_mbps=6.0).capacity
    context.capacities = {f"wide-{n}": wide for n in range(3)}
    context.capacities.update({f"narrow-{n}": narrow for n in range(19)})


def find_owner_of_each(capacities):
    return {f"o{n}": rank_owners(f"o{n}", capacities)[0] for n in range(500)}


@then("the 3 VMs own the tokens of at least 80% of 500 organisations")
def step_wide_owners(context):
    context.owner_of = find_owner_of_each(context.capacities)
    owned = sum(1 for owner in context.owner_of.values() if owner.startswith("wide"))
    assert owned >= 400, owned


@then("when one of the 3 fails, only its organisations change their owner")
def step_wide_fails(context):
    left = {vm: weight for vm, weight in context.capacities.items() if vm != "wide-0"}
    after = find_owner_of_each(left)
    changed = {name for name, owner in after.items() if owner != context.owner_of[name]}
    assert changed == {name for name, owner in context.owner_of.items() if owner == "wide-0"}


@when("3 rows arrive and the handling of the second one fails")
def step_failing_row(context):
    state = context.routing_state
    apply_server = context.apply_server = state._apply_server

    def fail_once(row, *arguments):
        if row.key.key == "n1":
            raise RuntimeError("row of an unknown shape")
        apply_server(row, *arguments)

    state._apply_server = fail_once
    context.lines = []
    sink = logger.add(context.lines.append, level="ERROR", format="{message}")
    try:
        state.apply_rows([server_row(f"n{n}", 2 + n) for n in range(3)], "feed", 10)
    finally:
        logger.remove(sink)


@when("the handling of rows works again, and the failed ones are tried again")
def step_handling_works(context):
    context.routing_state._apply_server = context.apply_server
    context.routing_state.retry_failed_rows(20)


@when("a newer row of the same server arrives before the failed one is tried again")
def step_newer_row(context):
    context.routing_state._apply_server = context.apply_server
    context.routing_state.apply_rows([Row(server_row("n1", 0).key, None, 9)], "feed", 15)
    context.routing_state.retry_failed_rows(20)


@then("the servers {server_ids} are known")
def step_servers_known(context, server_ids):
    assert set(context.routing_state.servers) == set(server_ids.split(", "))


@then("the servers of the first and the third one are known, and the log has an error line")
def step_other_rows_known(context):
    assert set(context.routing_state.servers) == {"s0", "n0", "n2"}
    assert len(context.lines) == 1 and "n1" in context.lines[0], context.lines
