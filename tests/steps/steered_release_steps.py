"""Steps for releases on a simulated fleet, with simulated time and a fixed seed."""

import json
import random

from behave import given, then, when

from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.models.types import ReleaseOrder, RequestKind, Route
from berylbankd._internal.peers.codec import decode_datagram, encode_datagram
from berylbankd._internal.peers.messages import RouteEvidence
from berylbankd._internal.steering.picks import PickRequest
from berylbankd._internal.steering.releases import (
    FORCED_END_SHARE,
    FULL_SHARE_HOLD_MS,
    LAST_STEP,
    Release,
    find_regression,
)
from berylbankd._internal.steering.steering import Steering
from tests.support.steered_releases import (
    OLD_VERSION_LATENCY_MS,
    REGRESSIONS,
    ROUTE_TIMEOUT_MS,
    SEED,
    UNRELATED_FAILURE_SHARE,
    WORK,
    Service,
    SimulatedFleet,
    keep_response,
)
from tests.support.steering import ROW_CODEC, make_deployment, server_row


@given("{vms:d} VMs, {per_s:d} requests a second and a release within {seconds:d} s")
def step_fleet(context, vms, per_s, seconds):
    context.fleet_model = SimulatedFleet(vms, per_s, seconds * 1000)


@given("a release within {seconds:d} s on {vms:d} VMs, {per_s:d} requests a second")
def step_release(context, seconds, vms, per_s):
    context.fleet_arguments = (vms, per_s, seconds * 1000)


@given("servers that work {ms:d} ms, {way_ms:d} ms away, which is {measured}")
def step_distant_servers(context, ms, way_ms, measured):
    service = Service(
        lambda rng: WORK["evenly around"](rng, ms),
        (way_ms, way_ms),
        measured == "measured",
        sticky=False,
    )
    context.fleet_model = SimulatedFleet(*context.fleet_arguments, service)


@given("servers that work {ms:d} ms, {old_ms:d} ms away, and those of the new version {new_ms:d}")
def step_moved_servers(context, ms, old_ms, new_ms):
    service = Service(lambda rng: WORK["evenly around"](rng, ms), (old_ms, new_ms), sticky=False)
    context.fleet_model = SimulatedFleet(*context.fleet_arguments, service)


@given("callers who wait {waits} ms for servers that work 200 ms")
def step_waiting_callers(context, waits):
    service = Service(
        lambda rng: WORK["evenly around"](rng, 200),
        sticky=False,
        waits=tuple(int(item) for item in waits.split(" or ")),
    )
    context.fleet_model = SimulatedFleet(*context.fleet_arguments, service)


@given("a route on which callers wait {ms:d} ms, and both versions take longer")
def step_endless_route(context, ms):
    service = Service(
        lambda rng: WORK["evenly around"](rng, 20), sticky=False, waits=(ms,), endless_route="scans"
    )
    context.fleet_model = SimulatedFleet(*context.fleet_arguments, service)


@given("a release at step {step:d} whose new version {behaviour} since the step began")
def step_release_at_step(context, step, behaviour):
    release = context.release = Release(ReleaseOrder("desk", "v2", 16_000, 7), Bounds(), 0)
    release.service_ms = OLD_VERSION_LATENCY_MS
    release.record_response("reads", True, False)
    while release.step < step:
        release.step_started_ms -= 10_000
        release.record_response("reads", True, False)
        assert release.advance([], 11_000)
    if behaviour != "is not asked":
        while not release.choose_version().prefer_new:
            pass
    if behaviour == "responds":
        release.record_response("reads", True, False)


@then("after 5 s it {outcome}")
def step_step_outcome(context, outcome):
    release = context.release
    moved = release.advance([], 16_000) or release.is_complete([], 16_000)
    assert moved == (outcome == "goes on"), vars(release)


@given("no response of the old version on a route is known")
def step_no_old_response(context):
    context.evidence = [RouteEvidence("reads", 50, 1, 600, 10), RouteEvidence("scans", 5, 5, 0, 0)]


@then("failures of the new version on that route are no regression, but its share of all is")
def step_unknown_route(context):
    assert find_regression(context.evidence) is None
    reads, scans = context.evidence
    assert find_regression([reads, scans._replace(old_requests=60)]) is not None
    assert find_regression([reads, scans._replace(new_requests=20, new_bad=20)]) is not None
    # Without any response of the old version there is nothing to compare with.
    assert find_regression([scans]) is not None


@when("the new version works {factor:g} times as long on one route")
def step_slower_version(context, factor):
    context.fleet_model.run(
        lambda now_ms, route, release, work_ms, failed: (
            work_ms * (factor if route == "scans" else 1),
            failed,
        )
    )


@when("{count:d} good versions are released, of services that work {kind} {ms:d} ms")
def step_many_good_versions(context, count, kind, ms):
    context.outcomes = []
    for seed in range(count):
        service = Service(
            lambda rng: WORK[kind](rng, ms),
            (1.0, 1.0),
            sticky=False,
            waits=(ms / 2, ms * 1.5, ms * 4, ROUTE_TIMEOUT_MS),
        )
        fleet = SimulatedFleet(*context.fleet_arguments, service, seed)
        fleet.run(keep_response, failure_share=UNRELATED_FAILURE_SHARE)
        context.outcomes.append(fleet)


@then("none of them is rolled back")
def step_none_rolled_back(context):
    failed = [
        seed
        for seed, fleet in enumerate(context.outcomes)
        if any(release.rolled_back for release in fleet.vms.values())
    ]
    assert not failed, f"seeds {failed}"


@when("the new version is good")
def step_good_version(context):
    context.fleet_model.run(keep_response)


@when("the new version is bad {fault}")
def step_bad_version(context, fault):
    context.fleet_model.run(REGRESSIONS[fault])


@when("a third of the responses of both versions fail")
def step_both_fail(context):
    context.fleet_model.run(keep_response, failure_share=1 / 3)


@when("the driving VM is killed at each step")
def step_kill_driver(context):
    context.fleet_model.kills_driver_at_each_step = True
    context.fleet_model.run(keep_response)


@then("it has succeeded within {seconds:d} s")
def step_succeeded(context, seconds):
    fleet = context.fleet_model
    assert (
        fleet.succeeded_ms is not None and fleet.succeeded_ms <= seconds * 1000
    ), fleet.succeeded_ms
    assert not any(release.rolled_back for release in fleet.vms.values())


@then("no VM used the old version when success was reported")
def step_old_version_unused(context):
    assert context.fleet_model.old_in_flight_at_end == 0


@then("it is rolled back")
def step_rolled_back(context):
    assert all(release.rolled_back for release in context.fleet_model.vms.values())
    assert context.fleet_model.succeeded_ms is None


@then("it got at most a tenth of the requests plus 50")
def step_exposure(context):
    fleet = context.fleet_model
    assert len(fleet.new_sent_ms) <= fleet.requests * 0.1 + 50, len(fleet.new_sent_ms)


@then("nothing was sent to it 5 s after its 50th bad response")
def step_no_late_requests(context):
    fleet = context.fleet_model
    if len(fleet.new_bad_ms) >= 50:
        assert max(fleet.new_sent_ms) <= fleet.new_bad_ms[49] + 5_000


@given("a VM with a request in flight")
def step_in_flight(context):
    context.steering_model = Steering(make_deployment(), ROW_CODEC, 1, 0)
    context.steering_model.routing_state.apply_row(server_row("s0", 1), 0)
    route = Route(
        "reads", "a", "/", RequestKind.SAFE, (), 1000, 300, 2, 1, False, True, frozenset()
    )
    request = PickRequest(route, "desk", "o1", frozenset(), frozenset(), 1000)
    context.pick = context.steering_model.pick(request, 0)
    context.steering_model.record_dispatch(context.pick)


@when("a release is ordered and the request ends")
def step_release_ordered(context):
    order = {"service": "desk", "to": "v2", "durationS": 10}
    key = RowKey(ROW_CODEC.orders_table, "rollout/desk")
    context.steering_model.routing_state.apply_row(Row(key, json.dumps(order).encode(), 2), 10)
    context.steering_model.sync_releases(10)
    context.steering_model.record_end(context.pick)


@then("the VM reports no requests on the old version")
def step_no_requests(context):
    steering = context.steering_model
    own_state = steering.make_own_state(True, True, {}, 20)
    assert own_state.releases[0].old_in_flight == 0
    steering.membership.hosts.add("10.0.0.9")
    ((digest, _),) = steering.digest_exchange.make_digests(own_state, 20, urgent=False)
    assert decode_datagram(encode_datagram(digest)) == digest


@given("a VM with {old:d} servers of a version and {new:d} of the version being released")
def step_two_versions(context, old, new):
    steering = context.steering_model = Steering(make_deployment(), ROW_CODEC, 1, 0)
    for number in range(old + new):
        version = "v1" if number < old else "v2"
        info = {"service": "desk", "version": version, "zone": "a", "capacity": 50}
        steering.routing_state.apply_row(server_row(f"s{number}", number + 1, info=info), 0)
        if number == old - 1:
            order_release(steering)


def order_release(steering):
    order = {"service": "desk", "to": "v2", "durationS": 16}
    key = RowKey(ROW_CODEC.orders_table, "rollout/desk")
    steering.routing_state.apply_row(Row(key, json.dumps(order).encode(), 99), 10)
    steering.sync_releases(10)


@when("{count:d} requests for {objects:d} objects arrive during the canary")
def step_canary_requests(context, count, objects):
    steering = context.steering_model
    route = Route(
        "reads", "a", "/", RequestKind.SAFE, (), 1000, 300, 2, 1, False, True, frozenset()
    )
    context.canary_servers, context.canary_objects, context.sent = [], [], count
    rng = random.Random(SEED)
    for _ in range(count):
        key = f"o{rng.randrange(objects)}"
        pick = steering.pick(PickRequest(route, "desk", key, frozenset(), frozenset(), 1000), 300)
        steering.record_dispatch(pick)
        steering.record_end(pick)
        if pick.new_version:
            context.canary_servers.append(pick.server.registration.id)
            context.canary_objects.append(key)


@then("the new version got at most {most:d}% of the requests, and at least {least:d}%")
def step_canary_share(context, most, least):
    percent = 100 * len(context.canary_servers) / context.sent
    assert least <= percent <= most + 0.1, percent


@then("they went to {servers:d} of its servers, and were for less than a fifth of the objects")
def step_canary_concentrated(context, servers):
    assert len(set(context.canary_servers)) == servers, set(context.canary_servers)
    assert len(set(context.canary_objects)) * 5 < 200, len(set(context.canary_objects))


@when("the release is at the step with 40% of the requests")
def step_second_step(context):
    context.steering_model.releases["desk"].step = 2


@then("the new version may use {count:d} of its servers, the first ones among them")
def step_more_servers(context, count):
    (group,) = context.steering_model._find_groups("desk", True).values()
    ids = {state.registration.id for state in group.servers}
    assert len(ids) == count and set(context.canary_servers) <= ids


@given("a release within {seconds:d} s of a service whose requests take {ms:d} ms")
def step_slow_service(context, seconds, ms):
    context.release = Release(ReleaseOrder("desk", "v2", seconds * 1000, 7), Bounds(), 0)
    context.release.service_ms = ms


@then("each step lasts at least {least:d} ms, and all steps end in time")
def step_interval(context, least):
    release = context.release
    interval_ms = release.step_interval_ms()
    assert interval_ms >= least, interval_ms
    duration_ms = release.order.duration_ms
    end_ms = duration_ms * 0.5 + interval_ms * (LAST_STEP - 1) + FULL_SHARE_HOLD_MS
    assert end_ms < duration_ms * FORCED_END_SHARE, end_ms
