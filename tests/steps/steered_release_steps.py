"""Steps for releases on a simulated fleet, with simulated time and a fixed seed."""

import json
import random

from behave import given, then, when

from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.models.types import ReleaseOrder, RequestKind, Route
from berylbankd._internal.peers.codec import decode_datagram, encode_datagram
from berylbankd._internal.steering.picks import PickRequest
from berylbankd._internal.steering.releases import BaselineLatency, Release
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


class Fleet:
    """Simulated VMs that send requests to both versions and exchange release reports."""

    def __init__(self, vms, per_s, duration_ms):
        self.rng = random.Random(SEED)
        self.order = ReleaseOrder("desk", "v2", duration_ms, 7)
        self.per_s = per_s
        self.vms = {n: Release(self.order, Bounds(), 0) for n in range(vms)}
        self.baselines = {n: BaselineLatency() for n in range(vms)}
        self.reports = {}
        self.pending = []
        self.requests = 0
        self.new_sent_ms = []
        self.new_bad_ms = []
        self.succeeded_ms = None
        self.kills_driver = False
        self.old_in_flight_at_end = None

    def run(self, regress, failure_share=0.0):
        for now_ms in range(0, self.order.duration_ms, TIME_STEP_MS):
            self.end_requests(now_ms)
            for _ in range(round(self.per_s * TIME_STEP_MS / 1000)):
                self.send(now_ms, regress, failure_share)
            if now_ms % REPORT_INTERVAL_MS == 0:
                self.exchange_reports(now_ms)
            if now_ms % DRIVE_INTERVAL_MS == 0:
                self.advance_release(now_ms)
        return self

    def send(self, now_ms, regress, failure_share):
        self.requests += 1
        vm = self.rng.choice(sorted(self.vms))
        release, route = self.vms[vm], self.rng.choice(ROUTES)
        new = release.choose_version().prefer_new
        release.record_dispatch(new)
        latency, failed = (
            self.rng.gauss(OLD_VERSION_LATENCY_MS, 20),
            self.rng.random() < failure_share,
        )
        if new:
            self.new_sent_ms.append(now_ms)
            if self.rng.random() < REGRESSION_SHARE:
                latency, failed = regress(now_ms, route, release, latency, failed)
        self.pending.append((now_ms + latency, vm, route, new, failed, latency))

    def end_requests(self, now_ms):
        due = [item for item in self.pending if item[0] <= now_ms]
        self.pending = [item for item in self.pending if item[0] > now_ms]
        for _, vm, route, new, failed, latency in due:
            if vm not in self.vms:
                continue
            release, baseline = self.vms[vm], self.baselines[vm]
            bad = failed or baseline.is_slow(route, latency, OBJECTIVE_MS)
            if new and bad:
                self.new_bad_ms.append(now_ms)
            if not new and not failed:
                baseline.record(route, latency)
            release.record_end(new)
            release.record_response(route, new, bad)
            release.evaluate(self.reports_for(vm), now_ms)

    def reports_for(self, vm):
        return [report for n, report in self.reports.items() if n != vm and n in self.vms]

    def exchange_reports(self, now_ms):
        self.reports = {n: release.make_report(now_ms) for n, release in self.vms.items()}
        for vm, release in self.vms.items():
            release.merge_reports(self.reports_for(vm), now_ms)
            release.evaluate(self.reports_for(vm), now_ms)

    def advance_release(self, now_ms):
        driver = min(self.vms)
        release = self.vms[driver]
        stepped = release.advance(self.reports_for(driver), now_ms)
        if stepped and self.kills_driver and len(self.vms) > 5:
            # The step may not have been reported to any other VM yet.
            del self.vms[driver]
            return
        if release.is_complete(self.reports_for(driver), now_ms) and self.succeeded_ms is None:
            self.succeeded_ms = now_ms
            self.old_in_flight_at_end = sum(vm.old_in_flight for vm in self.vms.values())
            release.succeeded = True


def no_regression(now_ms, route, release, latency, failed):
    return latency, failed


REGRESSIONS = {
    "at once": lambda now, route, release, latency, failed: (latency, True),
    "after 3 s": lambda now, route, release, latency, failed: (latency, failed or now > 3_000),
    "after 8 s": lambda now, route, release, latency, failed: (latency, failed or now > 8_000),
    "under load": lambda now, route, release, latency, failed: (
        latency,
        failed or release.current_share() >= 0.2,
    ),
    "on one route": lambda now, route, release, latency, failed: (
        latency,
        failed or route == "scans",
    ),
    "by being slow": lambda now, route, release, latency, failed: (latency * 8, failed),
}


@given("{vms:d} VMs, {per_s:d} requests a second and a release within {seconds:d} s")
def step_fleet(context, vms, per_s, seconds):
    context.fleet_model = Fleet(vms, per_s, seconds * 1000)


@when("the new version is good")
def step_good(context):
    context.fleet_model.run(no_regression)


@when("the new version is bad {how}")
def step_bad(context, how):
    context.fleet_model.run(REGRESSIONS[how])


@when("a third of the responses of both versions fail")
def step_both_fail(context):
    context.fleet_model.run(no_regression, failure_share=1 / 3)


@when("the driving VM is killed at each step")
def step_kill(context):
    context.fleet_model.kills_driver = True
    context.fleet_model.run(no_regression)


@then("it has succeeded within {seconds:d} s")
def step_succeeded(context, seconds):
    fleet = context.fleet_model
    assert (
        fleet.succeeded_ms is not None and fleet.succeeded_ms <= seconds * 1000
    ), fleet.succeeded_ms
    assert not any(release.rolled_back for release in fleet.vms.values())


@then("no VM used the old version when success was reported")
def step_unused(context):
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
def step_ordered(context):
    order = {"service": "desk", "to": "v2", "durationS": 10}
    key = RowKey(ROW_CODEC.orders_table, "rollout/desk")
    context.steering_model.routing_state.apply_row(Row(key, json.dumps(order).encode(), 2), 10)
    context.steering_model.sync_releases(10)
    context.steering_model.record_end(context.pick)


@then("the VM reports no requests on the old version")
def step_no_requests(context):
    heartbeat = context.steering_model.make_heartbeat(True, True, {}, 20)
    assert heartbeat.releases[0].old_in_flight == 0
    decoded = decode_datagram(encode_datagram(heartbeat))
    assert decoded == heartbeat
