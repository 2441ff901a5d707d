"""Steps on releases over a modelled fleet, on virtual time and a fixed seed."""

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
STEP_MS = 10
DRIVE_MS = 200
TALK_MS = 250
ROUTES = ("reads", "scans", "books")
OLD_MS = 120.0
OBJECTIVE_MS = 300
BAD_PART = 0.4


class Fleet:
    """VMs that each send requests to both versions and tell the others what they saw."""

    def __init__(self, vms, per_s, duration_ms):
        self.rng = random.Random(SEED)
        self.order = ReleaseOrder("desk", "v2", duration_ms, 7)
        self.per_s = per_s
        self.vms = {n: Release(self.order, Bounds(), 0) for n in range(vms)}
        self.books = {n: BaselineLatency() for n in range(vms)}
        self.told = {}
        self.pending = []
        self.requests = 0
        self.new_sent = []
        self.bad_ms = []
        self.ended = None
        self.kill_steps = False
        self.old_used_at_end = None

    def run(self, is_bad, old_fails=0.0):
        for now_ms in range(0, self.order.duration_ms, STEP_MS):
            self.finish(now_ms)
            for _ in range(round(self.per_s * STEP_MS / 1000)):
                self.send(now_ms, is_bad, old_fails)
            if now_ms % TALK_MS == 0:
                self.talk(now_ms)
            if now_ms % DRIVE_MS == 0:
                self.drive(now_ms)
        return self

    def send(self, now_ms, is_bad, old_fails):
        self.requests += 1
        vm = self.rng.choice(sorted(self.vms))
        release, route = self.vms[vm], self.rng.choice(ROUTES)
        new = release.choose_version().prefer_new
        release.record_dispatch(new)
        latency, failed = self.rng.gauss(OLD_MS, 20), self.rng.random() < old_fails
        if new:
            self.new_sent.append(now_ms)
            if self.rng.random() < BAD_PART:
                latency, failed = is_bad(now_ms, route, release, latency, failed)
        self.pending.append((now_ms + latency, vm, route, new, failed, latency))

    def finish(self, now_ms):
        due = [item for item in self.pending if item[0] <= now_ms]
        self.pending = [item for item in self.pending if item[0] > now_ms]
        for _, vm, route, new, failed, latency in due:
            if vm not in self.vms:
                continue
            release, book = self.vms[vm], self.books[vm]
            bad = failed or book.is_slow(route, latency, OBJECTIVE_MS)
            if new and bad:
                self.bad_ms.append(now_ms)
            if not new and not failed:
                book.record(route, latency)
            release.record_end(new)
            release.record_response(route, new, bad)
            release.evaluate(self.reports_for(vm), now_ms)

    def reports_for(self, vm):
        return [report for n, report in self.told.items() if n != vm and n in self.vms]

    def talk(self, now_ms):
        self.told = {n: release.make_report(now_ms) for n, release in self.vms.items()}
        for vm, release in self.vms.items():
            release.merge_reports(self.reports_for(vm), now_ms)
            release.evaluate(self.reports_for(vm), now_ms)

    def drive(self, now_ms):
        driver = min(self.vms)
        release = self.vms[driver]
        stepped = release.advance(self.reports_for(driver), now_ms)
        if stepped and self.kill_steps and len(self.vms) > 5:
            # The step may have been told to nobody yet.
            del self.vms[driver]
            return
        if release.is_complete(self.reports_for(driver), now_ms) and self.ended is None:
            self.ended = now_ms
            self.old_used_at_end = sum(vm.old_in_flight for vm in self.vms.values())
            release.succeeded = True


def keep(now_ms, route, release, latency, failed):
    return latency, failed


BAD_WAYS = {
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
    context.fleet_model.run(keep)


@when("the new version is bad {how}")
def step_bad(context, how):
    context.fleet_model.run(BAD_WAYS[how])


@when("a third of the answers of both versions fail")
def step_both_fail(context):
    context.fleet_model.run(keep, old_fails=1 / 3)


@when("the driver is killed at each step")
def step_kill(context):
    context.fleet_model.kill_steps = True
    context.fleet_model.run(keep)


@then("it has succeeded within {seconds:d} s")
def step_succeeded(context, seconds):
    fleet = context.fleet_model
    assert fleet.ended is not None and fleet.ended <= seconds * 1000, fleet.ended
    assert not any(release.rolled_back for release in fleet.vms.values())


@then("no VM used the old version when it was told")
def step_unused(context):
    assert context.fleet_model.old_used_at_end == 0


@then("it is rolled back")
def step_rolled_back(context):
    assert all(release.rolled_back for release in context.fleet_model.vms.values())
    assert context.fleet_model.ended is None


@then("it got at most a tenth of the requests and 50")
def step_exposure(context):
    fleet = context.fleet_model
    assert len(fleet.new_sent) <= fleet.requests * 0.1 + 50, len(fleet.new_sent)


@then("nothing was sent to it 5 s after its 50th bad answer")
def step_cut(context):
    fleet = context.fleet_model
    if len(fleet.bad_ms) >= 50:
        assert max(fleet.new_sent) <= fleet.bad_ms[49] + 5_000


@given("a VM with a request under way")
def step_under_way(context):
    context.steering_model = Steering(make_deployment(), ROW_CODEC, 1, 0)
    context.steering_model.routing_state.apply(server_row("s0", 1), 0)
    route = Route(
        "reads", "a", "/", RequestKind.SAFE, (), 1000, 300, 2, 1, False, True, frozenset()
    )
    ask = PickRequest(route, "desk", "o1", frozenset(), frozenset(), 1000)
    context.pick = context.steering_model.pick(ask, 0)
    context.steering_model.record_dispatch(context.pick)


@when("a release is ordered and the request ends")
def step_ordered(context):
    order = {"service": "desk", "to": "v2", "durationS": 10}
    key = RowKey(ROW_CODEC.orders_table, "rollout/desk")
    context.steering_model.routing_state.apply(Row(key, json.dumps(order).encode(), 2), 10)
    context.steering_model.sync_releases(10)
    context.steering_model.record_end(context.pick)


@then("the VM reports no requests on the old version")
def step_no_requests(context):
    beat = context.steering_model.make_heartbeat(True, True, {}, 20)
    assert beat.releases[0].old_in_flight == 0
    decoded = decode_datagram(encode_datagram(beat))
    assert decoded == beat
