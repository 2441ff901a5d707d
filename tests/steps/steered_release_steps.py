"""Steps for releases on a simulated fleet, with simulated time and a fixed seed."""

import json
import random

from behave import given, then, when

from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.models.types import ReleaseOrder, RequestKind, Route
from berylbankd._internal.peers.codec import decode_datagram, encode_datagram
from berylbankd._internal.steering.picks import PickRequest
from berylbankd._internal.steering.releases import (
    FORCED_END_SHARE,
    FULL_SHARE_HOLD_MS,
    LAST_STEP,
    BaselineLatency,
    Release,
)
from berylbankd._internal.steering.steering import Steering
from tests.support.steering import ROW_CODEC, make_deployment, server_row

SEED = 20261204
TIME_STEP_MS = 10
DRIVE_INTERVAL_MS = 200
REPORT_INTERVAL_MS = 250
ROUTES = ("reads", "scans", "books")
OLD_VERSION_LATENCY_MS = 120.0
OBJECTIVE_MS = 300
REGRESSION_SHARE = 0.4


class SimulatedFleet:
    """Simulated VMs that send requests to both versions and exchange release reports."""

    def __init__(self, vms, per_s, duration_ms):
        self.rng = random.Random(SEED)
        self.order = ReleaseOrder("desk", "v2", duration_ms, 7)
        self.per_s = per_s
        self.vms = {vm: Release(self.order, Bounds(), 0) for vm in range(vms)}
        self.baseline_by_vm = {vm: BaselineLatency() for vm in range(vms)}
        self.reports = {}
        self.pending = []
        self.requests = 0
        self.new_sent_ms = []
        self.new_bad_ms = []
        self.succeeded_ms = None
        self.kills_driver_at_each_step = False
        self.old_in_flight_at_end = None

    def run(self, apply_regression, failure_share=0.0):
        for now_ms in range(0, self.order.duration_ms, TIME_STEP_MS):
            self.end_requests(now_ms)
            for _ in range(round(self.per_s * TIME_STEP_MS / 1000)):
                self.send(now_ms, apply_regression, failure_share)
            if now_ms % REPORT_INTERVAL_MS == 0:
                self.exchange_reports(now_ms)
            if now_ms % DRIVE_INTERVAL_MS == 0:
                self.advance_release(now_ms)
        return self

    def send(self, now_ms, apply_regression, failure_share):
        self.requests += 1
        vm = self.rng.choice(sorted(self.vms))
        release, route = self.vms[vm], self.rng.choice(ROUTES)
        is_new = release.choose_version().prefer_new
        release.record_dispatch(is_new)
        latency_ms, failed = (
            self.rng.gauss(OLD_VERSION_LATENCY_MS, 20),
            self.rng.random() < failure_share,
        )
        if is_new:
            self.new_sent_ms.append(now_ms)
            if self.rng.random() < REGRESSION_SHARE:
                latency_ms, failed = apply_regression(now_ms, route, release, latency_ms, failed)
        self.pending.append((now_ms + latency_ms, vm, route, is_new, failed, latency_ms))

    def end_requests(self, now_ms):
        due = [item for item in self.pending if item[0] <= now_ms]
        self.pending = [item for item in self.pending if item[0] > now_ms]
        for _, vm, route, is_new, failed, latency_ms in due:
            if vm not in self.vms:
                continue
            release, baseline = self.vms[vm], self.baseline_by_vm[vm]
            bad = failed or baseline.is_slow(route, latency_ms, OBJECTIVE_MS)
            if is_new and bad:
                self.new_bad_ms.append(now_ms)
            if not is_new and not failed:
                baseline.record(route, latency_ms)
            release.record_end(is_new)
            release.record_response(route, is_new, bad)
            release.evaluate(self.reports_for(vm), now_ms)

    def reports_for(self, vm):
        return [
            report for other, report in self.reports.items() if other != vm and other in self.vms
        ]

    def exchange_reports(self, now_ms):
        self.reports = {vm: release.make_report(now_ms) for vm, release in self.vms.items()}
        for vm, release in self.vms.items():
            release.merge_reports(self.reports_for(vm), now_ms)
            release.evaluate(self.reports_for(vm), now_ms)

    def advance_release(self, now_ms):
        driver = min(self.vms)
        release = self.vms[driver]
        advanced = release.advance(self.reports_for(driver), now_ms)
        if advanced and self.kills_driver_at_each_step and len(self.vms) > 5:
            # The step may not have been reported to any other VM yet.
            del self.vms[driver]
            return
        if release.is_complete(self.reports_for(driver), now_ms) and self.succeeded_ms is None:
            self.succeeded_ms = now_ms
            self.old_in_flight_at_end = sum(item.old_in_flight for item in self.vms.values())
            release.succeeded = True


def keep_response(now_ms, route, release, latency_ms, failed):
    return latency_ms, failed


# By fault: a function from a response of the new version to its latency and whether it failed.
REGRESSIONS = {
    "at once": lambda now_ms, route, release, latency_ms, failed: (latency_ms, True),
    "after 3 s": lambda now_ms, route, release, latency_ms, failed: (
        latency_ms,
        failed or now_ms > 3_000,
    ),
    "after 8 s": lambda now_ms, route, release, latency_ms, failed: (
        latency_ms,
        failed or now_ms > 8_000,
    ),
    "under load": lambda now_ms, route, release, latency_ms, failed: (
        latency_ms,
        failed or release.current_share() >= 0.2,
    ),
    "on one route": lambda now_ms, route, release, latency_ms, failed: (
        latency_ms,
        failed or route == "scans",
    ),
    "by being slow": lambda now_ms, route, release, latency_ms, failed: (latency_ms * 8, failed),
}


@given("{vms:d} VMs, {per_s:d} requests a second and a release within {seconds:d} s")
def step_fleet(context, vms, per_s, seconds):
    context.fleet_model = SimulatedFleet(vms, per_s, seconds * 1000)


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
