"""Steps on the pure decisions, on virtual time and fixed seeds."""

import functools
import random

import anyio
from behave import given, then, when
from steering_fleet import free_port

from berylbankd._internal.facts.deployment import Bounds
from berylbankd._internal.facts.rows import (
    ConditionFailedError,
    Row,
    RowKey,
    RowTable,
    TableRead,
)
from berylbankd._internal.facts.types import (
    BackendServer,
    CallerLimits,
    Configuration,
    Organisation,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from berylbankd._internal.feeds.registry import VmRegistry
from berylbankd._internal.peers.codec import decode_datagram, encode_datagram
from berylbankd._internal.peers.messages import Heartbeat, TokenGrant, TokenRequest
from berylbankd._internal.peers.transport import PeerTransport
from berylbankd._internal.steering.asks import Ask, Pick
from berylbankd._internal.steering.membership import Membership, choose_readers
from berylbankd._internal.steering.placement import (
    ServerGroup,
    Wanted,
    effective_slots,
    find_usable,
    median_latency,
)
from berylbankd._internal.steering.quotas import QuotaBook, rank_owners
from berylbankd._internal.steering.regions import RegionLoad, RegionSplit, plan_fractions
from berylbankd._internal.steering.returning import ReturnTimes
from berylbankd._internal.steering.servers import ServerState
from berylbankd._internal.steering.steering import Steering
from berylbankd._internal.steering.warming import ColdAllowance, find_owner
from berylbankd._internal.steering.world import World
from tests.support.steering import DOCUMENTS, entry_row, make_place

SEED = 20261204
TICK_MS = 250
STEP_MS = 10
ROUTE = Route(
    "r", "a.example", "/", RequestKind.SAFE, (WeightedService("desk", 1.0),), 2_000, 600, 2, 1,
    False, True, frozenset(),
)  # fmt: skip


def make_entry(server_id="s0", domain="a", slots=4, **fields):
    values = {
        "address": "10.0.0.1:80",
        "service": "desk",
        "version": "v1",
        "draining": False,
        "warmup_left_ms": 0,
        "sequence": 1,
        "born_ms": 1,
    }
    return BackendServer(id=server_id, failure_domain=domain, slots=slots, **{**values, **fields})


def want(object_key, domain="", tried=(), wait=1.0):
    return Wanted(object_key, domain, frozenset(tried), wait)


def admit_all(_state):
    return True


# Placement


@given("{count:d} servers of {slots:d} slots in {domains:d} failure domains")
def step_servers(context, count, slots, domains):
    context.servers = [
        ServerState(make_entry(f"s{n}", "abcdef"[n % domains], slots), 0) for n in range(count)
    ]


def place(context, object_key, domain="", wait=1.0):
    group = ServerGroup(context.servers)
    found = group.choose(want(object_key, domain, wait=wait), admit_all, 0)
    return found.server if found is not None else None


@when("200 requests for 20 objects are placed one at a time")
def step_place(context):
    context.went = {}
    for number in range(200):
        found = place(context, f"o{number % 20}")
        context.went.setdefault(number % 20, set()).add(found.entry.id)


@then("each object went to one server")
def step_one_server(context):
    assert all(len(servers) == 1 for servers in context.went.values()), context.went


@when("the first server of an object is full")
def step_first_full(context):
    first = place(context, "o1")
    first.in_flight = first.entry.slots
    # One request may wait for a moment, as the next server would work several times longer.
    assert place(context, "o1") is first
    first.in_flight += 1
    context.went = {place(context, "o1").entry.id for _ in range(20)}
    context.first = first.entry.id


@then("its requests go to one other server")
def step_one_other(context):
    assert len(context.went) == 1 and context.first not in context.went


@when("{count:d} requests for one object arrive at once, with {ranks:d} ranks")
def step_burst(context, count, ranks):
    group = ServerGroup(context.servers)
    for _ in range(count):
        found = group.choose(want("o1")._replace(ranks=ranks), admit_all, 0)
        if found is not None:
            found.server.in_flight += 1


@then("{count:d} servers got some, and none got more than slots and queue")
def step_burst_spread(context, count):
    held = [state.in_flight for state in context.servers if state.in_flight]
    assert len(held) == count, held
    assert max(held) <= 8, held


@when("a server joins")
def step_joins(context):
    before = {n: place(context, f"o{n}").entry.id for n in range(200)}
    context.servers.append(ServerState(make_entry("s-new"), 0))
    after = {n: place(context, f"o{n}").entry.id for n in range(200)}
    context.moved = [after[n] for n in before if after[n] != before[n]]


@then("at most {percent:d}% of 200 objects moved, all of them to the new server")
def step_moved(context, percent):
    assert len(context.moved) <= 2 * percent
    assert set(context.moved) == {"s-new"}


@when('50 downloads of 50 objects from "{domain}" are placed one at a time')
def step_downloads(context, domain):
    context.went = {place(context, f"o{n}", domain) for n in range(50)}


@then('all went to servers in "{domain}"')
def step_in_domain(context, domain):
    assert {state.entry.failure_domain for state in context.went} == {domain}


@when("requests are placed that never end, with {wait:g} waiting for each slot")
def step_fill(context, wait):
    context.placed = 0
    while (found := place(context, f"o{context.placed}", wait=wait)) is not None:
        found.in_flight += 1
        context.placed += 1


@then("{count:d} were placed and the next had no room")
def step_filled(context, count):
    assert context.placed == count, context.placed


@when("one server answers 10 times slower than the others")
def step_slow(context):
    for state in context.servers:
        for _ in range(10):
            state.note_success(1000 if state is context.servers[0] else 100)


@then("it counts as less than 1 slot")
def step_few_slots(context):
    slots = effective_slots(context.servers[0], median_latency(context.servers))
    assert slots < 1
    assert effective_slots(context.servers[1], median_latency(context.servers)) == 4


@when("{count:d} of them fail three times in a row")
def step_fail(context, count):
    for state in context.servers[:count]:
        for _ in range(3):
            state.note_failure(0)
    context.now_ms = 1


@then("all {count:d} are usable")
@then("{count:d} are usable")
def step_usable(context, count):
    assert len(find_usable(context.servers, context.now_ms)) == count


@when("a second passes and one fails three times in a row")
def step_later(context):
    context.now_ms = 1_001
    for state in context.servers:
        state.note_success(10)
    for _ in range(3):
        context.servers[0].note_failure(context.now_ms)


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


@given('a split of "{region}" that has settled on "{text}"')
def step_split(context, region, text):
    context.split = RegionSplit(region, 0.15)
    context.split.update(parse_loads(text), 0)


@when('demand becomes "{text}" and stays so for 20 s')
def step_demand(context, text):
    context.shares, context.spread_shares = [], []
    for now_ms in range(0, 20_000, TICK_MS):
        context.split.update(parse_loads(text), now_ms)
        context.shares.append(dict(context.split.near.fractions))
        context.spread_shares.append(dict(context.split.spread.fractions))


@then("no two windows of 2 s differ by more than {most:g}")
def step_windows(context, most):
    for shares in (context.shares, context.spread_shares):
        check_windows(shares, most)


def check_windows(all_shares, most):
    width = 2_000 // TICK_MS
    for start in range(len(all_shares) - 2 * width):
        first, second = (
            mean_shares(all_shares[start + shift : start + shift + width]) for shift in (0, width)
        )
        moved = sum(abs(second[n] - first.get(n, 0)) for n in second) / 2
        assert moved <= most, (start, moved)


@given('the objects\' regions of 3 VMs with servers "{text}"')
def step_object_regions(context, text):
    servers = [part.split() for part in text.split(",")]
    context.steerings = []
    for index in range(3):
        steering = Steering(make_place(f"vm-{index}", "ab"[index % 2]), DOCUMENTS, 1, 0)
        for number, (server_id, domain) in enumerate(servers):
            info = {"service": "desk", "version": "v1", "zone": domain, "capacity": 4}
            steering.world.apply(entry_row(server_id, number + 1, info=info), 0)
        put_configuration(steering)
        steering.tick(250, 250)
        context.steerings.append(steering)
    measure_regions(context, 70)


def measure_regions(context, taken_ms):
    for steering in context.steerings:
        steering.regions.round_trips.least_ms.clear()
        for region in set(steering.deployment.regions.values()) - {steering.deployment.region}:
            steering.regions.round_trips.note(region, taken_ms)


def put_configuration(steering):
    service = Service("desk", "", 100, 0, 0.0)
    steering.world.configuration = Configuration(
        1, (ROUTE,), {"desk": service}, (), False, CallerLimits()
    )


def pick_for(steering, number, now_ms=300, **changes):
    ask = Ask(ROUTE._replace(**changes), "desk", f"o{number}", frozenset(), frozenset(), 900)
    return steering.pick(ask, now_ms)


@then("each object has one server, the same from every VM")
def step_same_server(context):
    for number in range(200):
        ids = {pick_for(steering, number).server.entry.id for steering in context.steerings}
        assert len(ids) == 1, (number, ids)


@then('about {percent:d}% of the objects are in region "{region}"')
def step_objects_in(context, percent, region):
    steering = context.steerings[0]
    found = [pick_for(steering, number).server.entry.failure_domain for number in range(400)]
    share = sum(1 for domain in found if steering.deployment.regions[domain] == region) / 4
    assert abs(share - percent) <= 6, share


@then("downloads stay in the region of each VM")
def step_downloads_near(context):
    for steering in context.steerings:
        place = steering.deployment
        for number in range(50):
            found = pick_for(steering, number, kind=RequestKind.DOWNLOAD).server.entry
            assert place.regions[found.failure_domain] == place.region


@when("a round trip between regions takes {ms:d} ms, for an objective of {objective:d}")
def step_far(context, ms, objective):
    context.objective = objective
    measure_regions(context, ms)


@then("each object stays in the region of each VM")
def step_stay_near(context):
    for steering in context.steerings:
        place = steering.deployment
        for number in range(50):
            found = pick_for(steering, number, objective_ms=context.objective).server.entry
            assert place.regions[found.failure_domain] == place.region


@when('three servers of "{domain}" can\'t be reached')
def step_dark(context, domain):
    for steering in context.steerings:
        dark = [s for s in steering.world.servers.values() if s.entry.failure_domain == domain]
        for state in dark[:3]:
            steering.note_unreached(Pick(state, False, None), 300)


@when('three servers of "{domain}" can\'t be reached, a minute after each other')
def step_dark_apart(context, domain):
    for steering in context.steerings:
        near = [s for s in steering.world.servers.values() if s.entry.failure_domain == domain]
        for minute, state in enumerate(near[:3]):
            steering.note_unreached(Pick(state, False, None), 300 + minute * 60_000)


@then('the others of "{domain}" are still used')
def step_still_used(context, domain):
    for steering in context.steerings:
        (other,) = [s for s in steering.world.servers.values() if s.entry.id == "s3"]
        assert not other.is_ejected(120_301), domain


@then('no object is sent to "{domain}"')
def step_none_in(context, domain):
    for steering in context.steerings:
        for number in range(200):
            assert pick_for(steering, number, 310).server.entry.failure_domain != domain


def mean_shares(shares):
    names = {name for share in shares for name in share}
    return {name: sum(s.get(name, 0) for s in shares) / len(shares) for name in names}


# Quotas


@given("12 VMs that share a rate of {rate:d} and a burst of {burst:d}")
def step_quota_vms(context, rate, burst):
    use_quota_vms(context, 12, rate, burst)


@given("{vms:d} VMs in 3 regions that share a rate of {rate:d} and a burst of {burst:d}")
def step_many_quota_vms(context, vms, rate, burst):
    use_quota_vms(context, vms, rate, burst)


def use_quota_vms(context, vms, rate, burst):
    context.organisation = Organisation("alder", (), 0, rate, burst, frozenset())
    context.vms = vms
    context.books = [make_book(index, 0) for index in range(vms)]
    context.live = [list(range(vms)) for _ in range(vms)]
    context.alive = list(range(vms))
    context.admitted = []
    context.told = [{} for _ in range(vms)]
    context.asked = context.sent = 0


def region_of(index):
    return f"r{index % 3}"


def make_book(index, now_ms):
    return QuotaBook(Bounds(), region_of(index), now_ms)


def owners_known_to(context, index):
    """Return the VMs that a VM asks: those of its region that it hears."""
    near = tuple(n for n in context.live[index] if region_of(n) == region_of(index))
    return rank_known(near)


@functools.cache
def rank_known(near):
    return [int(name) for name in rank_owners("alder", [str(n) for n in near])]


def share_demands(context, now_ms):
    """Exchange what the VMs know, among those that hear each other."""
    told = [book.demands(now_ms) for book in context.books]
    for index, book in enumerate(context.books):
        reported = {}
        # What the others told arrives a heartbeat later.
        for heard in context.live[index]:
            amount = context.told[heard].get("alder", 0.0)
            reported[region_of(heard)] = max(amount, reported.get(region_of(heard), 0.0))
        heard = len(context.live[index])
        book.note_fleet({"alder": reported}, 3, heard, context.vms, now_ms)
        owned = [context.organisation] if owners_known_to(context, index)[0] == index else []
        book.keep(owned, now_ms)
    context.told = told


def admit(context, index, now_ms):
    """Decide as the rate gate does, with asks that are answered at once or lost."""
    book, organisation = context.books[index], context.organisation
    if book.take(organisation, now_ms):
        return True
    for owner in owners_known_to(context, index):
        ask = book.make_ask(organisation, now_ms)
        if owner in context.alive and index in context.live[owner]:
            context.asked += 1
            granted = context.books[owner].grant(organisation, ask, now_ms)
            return book.put(organisation, granted, now_ms)
    return book.take_spare(organisation, now_ms)


def send_requests(context, per_s, vms, seconds, strike=None):
    rng = random.Random(SEED)
    start_ms = 2_000
    for now_ms in range(0, start_ms, TICK_MS):
        share_demands(context, now_ms)
    for now_ms in range(start_ms, start_ms + seconds * 1000, STEP_MS):
        if now_ms % TICK_MS == 0:
            share_demands(context, now_ms)
        if strike is not None and now_ms == start_ms + 10_000:
            strike(context, now_ms)
        for _ in range(poisson(rng, per_s * STEP_MS / 1000)):
            vm = rng.choice([n for n in context.alive if n < vms])
            context.sent += 1
            if admit(context, vm, now_ms):
                context.admitted.append(now_ms)
    context.seconds = seconds


def poisson(rng, mean):
    count, total = 0, rng.expovariate(1.0)
    while total < mean:
        count += 1
        total += rng.expovariate(1.0)
    return count


@when("it sends {per_s:d} a second to {vms:d} VMs for {seconds:d} s")
def step_send(context, per_s, vms, seconds):
    send_requests(context, per_s, vms, seconds)


@when("it sends {per_s:d} a second to {vms:d} VMs for {seconds:d} s while {trouble}")
def step_send_in_trouble(context, per_s, vms, seconds, trouble):
    send_requests(context, per_s, vms, seconds, TROUBLES[trouble])


def cut_two(context, _now_ms):
    context.live = [[n for n in range(12) if (n < 2) == (index < 2)] for index in range(12)]


def restart_all(context, now_ms):
    context.books = [make_book(index, now_ms) for index in range(12)]


def kill_half(context, _now_ms):
    context.alive = list(range(6))
    context.live = [list(range(6)) for _ in range(12)]


def lose_owners(context, _now_ms):
    """The VMs that keep the tokens die, and for a while nobody knows it."""
    owners = {owners_known_to(context, index)[0] for index in range(12)}
    context.alive = [n for n in range(12) if n not in owners]


TROUBLES = {
    "2 VMs are cut off from the others": cut_two,
    "all VMs restart at once": restart_all,
    "half of the VMs are killed": kill_half,
    "the VMs that keep the tokens are killed": lose_owners,
    "nothing happens": lambda context, now_ms: None,
}


@when("11 of them get its requests for 5 s and the last one gets its first")
def step_first_at_last(context):
    send_requests(context, 60, 11, 5)
    share_demands(context, 7_000)
    context.first_admitted = admit(context, 11, 7_010)


@then("the last one admits it")
def step_first_admitted(context):
    assert context.first_admitted


@then("no window of 5 s got more than the bound")
def step_bound(context):
    organisation = context.organisation
    bound = (organisation.rate_per_s * 5 + organisation.burst) * 1.1 + 20
    first = 0
    for last, at_ms in enumerate(context.admitted):
        while context.admitted[first] <= at_ms - 5_000:
            first += 1
        assert last - first + 1 <= bound, (at_ms, last - first + 1)


@then("at least {per_s:g} a second were admitted")
def step_admitted(context, per_s):
    assert len(context.admitted) >= per_s * context.seconds * 0.97, len(context.admitted)


@then("at most {percent:d}% of them were refused")
def step_refused(context, percent):
    refused = context.sent - len(context.admitted)
    assert refused * 100 <= percent * context.sent, (refused, context.sent)


@then("less than {count:d} asks were sent")
def step_asked(context, count):
    assert context.asked < count, context.asked


DATAGRAMS = {
    "heartbeat": Heartbeat("vm-1", 7, 8, "10.0.0.1", "10.0.0.1:80", "one", "a", True, False, True),
    "token ask": TokenRequest("alder", 3, 5, 17),
    "token grant": TokenGrant(17, 3),
    "grant that is not known": TokenGrant(17, 0, known=False),
}


@then("a {kind} is read as it was written")
def step_datagram(context, kind):
    assert decode_datagram(encode_datagram(DATAGRAMS[kind])) == DATAGRAMS[kind]


class VmRows:
    """The store's table of VMs, with conditional writes."""

    def __init__(self):
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
        return TableRead(table, tuple(self.rows.values()), len(self.rows))


@given("an empty table of VMs")
def step_no_vms(context):
    context.vm_rows = VmRows()


@given("a table of VMs with {count:d} readers")
def step_readers_rows(context, count):
    context.vm_rows = VmRows()
    for number in range(count):
        key = RowKey("vms", f"reader-{number}")
        anyio.run(context.vm_rows.write, key, f"10.1.0.{number}".encode(), 0)
    context.vm_rows.calls = 0


def start_registries(context, count, first_start):
    async def start_all():
        async with anyio.create_task_group() as group:
            for members in context.started:
                registry = VmRegistry(context.vm_rows, members, "vms", lambda: False)
                group.start_soon(registry.run)
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    places = [make_place(f"vm-{n}")._replace(first_start=first_start) for n in range(count)]
    context.started = [Membership(place) for place in places]
    anyio.run(start_all)


@when("{count:d} VMs start for the first time")
def step_first_start(context, count):
    start_registries(context, count, True)


@when("1 VM starts again")
def step_starts_again(context):
    start_registries(context, 1, False)


@then("all but the first know where the first one is, after one call each")
def step_know_first(context):
    first, *others = context.started
    assert first.hosts == set()
    assert all(members.hosts == {first.host} for members in others)
    assert context.vm_rows.calls == len(context.started)


@then("it knows the {count:d} readers, after one call")
def step_know_readers(context, count):
    assert context.started[0].hosts == {f"10.1.0.{n}" for n in range(count)}
    assert context.vm_rows.calls == 1


class Granter:
    """Grants one token to each VM that asks."""

    def handle_heartbeat(self, beat):
        pass

    def grant_tokens(self, ask):
        return TokenGrant(ask.number, 1)


@when("a VM sends another {count:d} token asks and heartbeats at once")
def step_many_asks(context, count):
    beat = DATAGRAMS["heartbeat"]

    async def exchange():
        port = free_port()
        asker, owner = (PeerTransport(f"127.0.2.{n}", port, Granter()) for n in (1, 2))
        async with anyio.create_task_group() as group:
            for transport in (asker, owner):
                group.start_soon(transport.run)
            await anyio.sleep(0.2)
            context.granted = []
            async with anyio.create_task_group() as asks:
                for number in range(count):
                    asker.send_heartbeat(beat, ["127.0.2.2"])
                    asks.start_soon(ask_once, asker, number)
            group.cancel_scope.cancel()

    async def ask_once(asker, number):
        ask = TokenRequest(f"organisation-{number}", 1, 1)
        context.granted.append(await asker.ask_tokens("127.0.2.2", ask, 10.0))

    anyio.run(exchange)


@then("all {count:d} are answered")
def step_all_answered(context, count):
    assert None not in context.granted, context.granted.count(None)
    assert [grant.tokens for grant in context.granted] == [1] * count


@given("{count:d} callers that are refused at one moment, at {ms:d} ms a request")
def step_refused_callers(context, count, ms):
    times = ReturnTimes()
    context.returns = [times.next_ms(ms) for _ in range(count)]


@then("they come back within {ms:d} ms, at most {most:d} in any {window:d} ms")
def step_return_spread(context, ms, most, window):
    assert max(context.returns) <= ms, max(context.returns)
    for start in context.returns:
        assert sum(1 for at in context.returns if start <= at < start + window) <= most


# Warming


@given("12 VMs and a cold server that tolerates {rate:g} a second")
def step_cold(context, rate):
    context.rate = rate
    context.live = [list(range(12)) for _ in range(12)]
    context.alive = list(range(12))


@when("every VM wants to send 50 a second to it for 4 s while {trouble}")
def step_send_cold(context, trouble):
    allowances = [ColdAllowance(0) for _ in range(12)]
    context.sent = []
    for now_ms in range(0, 4_000, 20):
        if now_ms == 1_000:
            TROUBLES[trouble](context, now_ms)
        for vm in context.alive:
            names = [f"vm-{n}" for n in context.live[vm]]
            if find_owner("s0", names) == f"vm-{vm}" and allowances[vm].take(context.rate, now_ms):
                context.sent.append(now_ms)


@then("no second had more than 1.5 times the rate and 5")
def step_cold_bound(context):
    for start in context.sent:
        count = sum(1 for at_ms in context.sent if start <= at_ms < start + 1_000)
        assert count <= context.rate * 1.5 + 5, (start, count)
    assert len(context.sent) >= context.rate


# Facts


@given('a world with a server in "a"')
def step_world(context):
    context.world = World(DOCUMENTS)
    context.world.apply(entry_row("s0", 1), 0)


@when('"{domain}" is evacuated')
def step_evacuate(context, domain):
    context.world.apply(Row(RowKey(DOCUMENTS.orders_table, f"evacuate/{domain}"), b"{}", 2), 10)


@then("the server gets nothing")
def step_gets_nothing(context):
    assert context.world.servers_of("desk") == []


@when('"{domain}" is taken back')
def step_take_back(context, domain):
    context.world.apply(Row(RowKey(DOCUMENTS.orders_table, f"evacuate/{domain}"), None, 3), 100)


@then("the server is cold for {ms:d} ms")
def step_is_cold(context, ms):
    (state,) = context.world.servers_of("desk")
    assert state.is_cold(100 + ms - 1) and not state.is_cold(100 + ms)


BROKEN_ENTRIES = {
    "no address": lambda: entry_row("s1", 2, address=None),
    "a state not known": lambda: entry_row(
        "s1", 2, status={"state": "odd", "sequence": 1, "warmupLeftS": 0}
    ),
    "slots as text": lambda: entry_row(
        "s1", 2, info={"service": "desk", "version": "v1", "zone": "a", "capacity": "4"}
    ),
    "bytes that are no JSON": lambda: Row(RowKey(DOCUMENTS.servers_table, "s1"), b"\xff{", 2),
    "a list in place of it": lambda: Row(RowKey(DOCUMENTS.servers_table, "s1"), b"[1]", 2),
}


@when("an entry with {fault} arrives")
def step_broken_entry(context, fault):
    context.world.apply(BROKEN_ENTRIES[fault](), 10)


@then("only the first server is known")
def step_only_first(context):
    assert list(context.world.servers) == ["s0"]


@when("the store comes back without its entry")
def step_back_without(context):
    context.world.settled_ms = 1_000 + 2_000
    context.world.apply(Row(RowKey(DOCUMENTS.servers_table, "s0"), None, 2), 1_000)


@then("the server is used for {ms:d} ms and then gone")
def step_used_then_gone(context, ms):
    context.world.expire_lapsed(1_000 + ms - 1)
    assert len(context.world.servers_of("desk")) == 1
    context.world.expire_lapsed(1_000 + ms)
    assert context.world.servers_of("desk") == []


@when('a server of version "v2" registers')
def step_new_version(context):
    assert context.world.stable_version("desk") == "v1"
    for number in range(3):
        info = {"service": "desk", "version": "v2", "zone": "a", "capacity": 4}
        context.world.apply(entry_row(f"n{number}", 2 + number, info=info), 10)


@then('version "{version}" serves')
def step_version_serves(context, version):
    assert context.world.stable_version("desk") == version


# Rows


def make_row(key, revision, value=b"x"):
    return Row(RowKey("t", key), value, revision)


@given('a table with row "{key}" at revision {revision:d}')
def step_table(context, key, revision):
    context.known, context.other = RowTable(), RowTable()
    for table in (context.known, context.other):
        table.apply(make_row(key, revision, b"new"))


@when('row "{key}" arrives at revision {revision:d}')
def step_row(context, key, revision):
    context.known.apply(make_row(key, revision, b"old"))


@then('row "{key}" is the one of revision {revision:d}')
def step_row_is(context, key, revision):
    assert context.known.rows[RowKey("t", key)] == make_row(key, revision, b"new")


@when("a whole read at revision {revision:d} without it arrives")
def step_read_without(context, revision):
    context.known.apply_read(TableRead("t", (), revision))
    for row in context.known.rows_after("t", 5):
        context.other.apply(row)


@then('row "{key}" is removed')
def step_removed(context, key):
    assert context.known.rows[RowKey("t", key)].value is None


@when('a whole read at revision {revision:d} with row "{key}" at revision {row:d} arrives')
def step_read_with(context, revision, key, row):
    context.known.apply_read(TableRead("t", (make_row(key, row, b"new"),), revision))


@then('row "{key}" is there')
def step_there(context, key):
    assert context.known.rows[RowKey("t", key)].value == b"new"


@then("another VM that knew the removal takes it back too")
def step_other_takes(context):
    assert context.other.rows[RowKey("t", "a")].value is None
    for row in context.known.rows_after("t", 9):
        context.other.apply(row)
    assert context.other.rows[RowKey("t", "a")].value == b"new"


# Membership


def make_beat(number, incarnation=5, sequence=1, **fields):
    values = {"ready": True, "leaving": False, "reading": True, **fields}
    return Heartbeat(
        f"vm-{number}", incarnation, sequence, f"10.0.0.{number}", "", "one", "a", **values
    )


@given("a VM that hears 8 others")
def step_members(context):
    context.members = Membership(make_place())
    context.now_ms = 0
    for number in range(1, 9):
        context.members.note(make_beat(number), 0)


@when("one falls silent for {ms:d} ms")
def step_silent_vm(context, ms):
    context.now_ms = ms
    for number in range(2, 9):
        context.members.note(make_beat(number, sequence=9), ms)


@then("it is not live and still counts in the size of the fleet")
def step_not_live(context):
    assert "vm-1" not in {beat.vm for beat in context.members.live(context.now_ms)}
    assert context.members.known_count(context.now_ms) == 9


@when("an older heartbeat of one arrives")
def step_older_beat(context):
    context.members.note(make_beat(1, sequence=7, leaving=True), 100)
    context.members.note(make_beat(1, sequence=6), 110)


@then("its newest one counts")
def step_newest(context):
    assert context.members.peers["vm-1"].beat.leaving


@when("it restarts with an older incarnation")
def step_restart_older(context):
    context.members.note(make_beat(1, incarnation=4), context.now_ms)


@then("it is live")
def step_live(context):
    assert "vm-1" in {beat.vm for beat in context.members.live(context.now_ms)}


def readers_seen(beats):
    return [choose_readers([b for b in beats if b is not own], own.vm, True) for own in beats]


@then("2 VMs read the store, the same for all")
def step_readers(context):
    beats = [make_beat(number) for number in range(9)]
    seen = readers_seen(beats)
    assert all(found == seen[0] for found in seen) and len(seen[0]) == 2
    context.readers = seen[0]


@when("a reader loses the store")
def step_reader_lost(context):
    context.lost = sorted(context.readers)[0]


@then("2 other VMs read the store")
def step_other_readers(context):
    beats = [make_beat(n, reading=f"vm-{n}" != context.lost) for n in range(9)]
    sound = [beat for beat in beats if beat.vm != context.lost]
    for own in sound:
        found = choose_readers([b for b in beats if b is not own], own.vm, True)
        assert len(found) == 2 and context.lost not in found
