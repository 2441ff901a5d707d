"""Simulated releases on the platform's path: VMs, their callers, and servers of two versions."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.types import ReleaseOrder, RequestKind, Route
from berylbankd._internal.steering.picks import Pick, PickRequest
from berylbankd._internal.steering.releases import Release
from berylbankd._internal.steering.servers import ServerState
from berylbankd._internal.steering.steering import Steering
from tests.support.steering import ROW_CODEC, make_deployment, make_registration

SEED = 20261204
TIME_STEP_MS = 10
DRIVE_INTERVAL_MS = 200
REPORT_INTERVAL_MS = 250
ROUTES = ("reads", "scans", "books")
OLD_VERSION_LATENCY_MS = 120.0
OBJECTIVE_MS = 300
ROUTE_TIMEOUT_MS = 4_000
REGRESSION_SHARE = 0.4
UNRELATED_FAILURE_SHARE = 0.02


class Service(NamedTuple):
    """How the servers of both versions respond; times are in ms.

    ``work`` returns the time for a request, given the random generator. ``round_trip`` is from each
    VM to the servers of the old and of the new version, and is ``measured`` by the VM if the
    network delays the opening of connections too. ``waits`` are those of the callers, and requests
    on the ``endless_route`` take longer at either version; some of these end with a server's own
    timeout.
    """

    work: Callable[[random.Random], float] = lambda rng: rng.gauss(OLD_VERSION_LATENCY_MS, 20)
    round_trip: tuple[float, float] = (0.0, 0.0)
    measured: bool = True
    sticky: bool = True
    waits: tuple[float, ...] = (ROUTE_TIMEOUT_MS,)
    endless_route: str = ""


class Request(NamedTuple):
    """A request in flight, and what will come of it."""

    ends_ms: float
    vm: int
    route: str
    is_new: bool
    failed: bool
    latency_ms: float
    wait_ms: float
    is_regression: bool


class SimulatedFleet:
    """Simulated VMs that send requests to both versions and exchange release reports."""

    def __init__(self, vms, per_s, duration_ms, service=None, seed=SEED):
        self.rng = random.Random(seed)
        self.service = service or Service()
        self.order = ReleaseOrder("desk", "v2", duration_ms, 7)
        self.per_s = per_s
        self.vms = {vm: Release(self.order, Bounds(), 0) for vm in range(vms)}
        self.steering_by_vm = {vm: Steering(make_deployment(), ROW_CODEC, 1, 0) for vm in self.vms}
        self.servers = [
            ServerState(make_registration(version, f"domain of {version}"), 0)
            for version in ("v1", "v2")
        ]
        self.reports = {}
        self.pending = []
        self.requests = 0
        self.new_sent_ms = []
        self.new_bad_ms = []
        self.succeeded_ms = None
        self.kills_driver_at_each_step = False
        self.old_in_flight_at_end = None
        for vm, steering in self.steering_by_vm.items():
            steering.collect_peer_reports = lambda _, vm=vm: self.reports_for(vm)
            if self.service.measured:
                for is_new, round_trip_ms in enumerate(self.service.round_trip):
                    steering.record_connected(self.make_pick(vm, is_new), round_trip_ms)

    def make_pick(self, vm, is_new):
        return Pick(self.servers[is_new], bool(is_new), self.vms[vm])

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
        good = work_ms, failed = (
            max(1.0, self.service.work(self.rng)),
            self.rng.random() < failure_share,
        )
        if is_new:
            self.new_sent_ms.append(now_ms)
            if self.rng.random() < REGRESSION_SHARE:
                work_ms, failed = apply_regression(now_ms, route, release, work_ms, failed)
        latency_ms = work_ms + self.service.round_trip[is_new]
        if route == self.service.endless_route:
            latency_ms = math.inf
        wait_ms = self.rng.choice(self.service.waits)
        self.pending.append(
            Request(
                now_ms + min(latency_ms, wait_ms),
                vm,
                route,
                is_new,
                failed,
                latency_ms,
                wait_ms,
                (work_ms, failed) != good,
            )
        )

    def end_requests(self, now_ms):
        due = [item for item in self.pending if item.ends_ms <= now_ms]
        self.pending = [item for item in self.pending if item.ends_ms > now_ms]
        for item in due:
            if item.vm not in self.vms:
                continue
            if item.is_regression:
                self.new_bad_ms.append(now_ms)
            self.record(item, now_ms)
            self.vms[item.vm].evaluate(self.reports_for(item.vm), now_ms)

    def record(self, item, now_ms):
        steering, pick = self.steering_by_vm[item.vm], self.make_pick(item.vm, item.is_new)
        route = Route(
            item.route, "a", "/", RequestKind.SAFE, (), ROUTE_TIMEOUT_MS, OBJECTIVE_MS, 2, 1,
            False, self.service.sticky, frozenset(),
        )  # fmt: skip
        request = PickRequest(route, "desk", "o1", frozenset(), frozenset(), ROUTE_TIMEOUT_MS)
        self.vms[item.vm].record_end(item.is_new)
        if item.latency_ms > item.wait_ms:
            if item.route == self.service.endless_route and self.rng.random() < 0.5:
                steering.record_response(
                    request,
                    pick,
                    failed=True,
                    latency_ms=item.wait_ms,
                    now_ms=now_ms,
                    timed_out=True,
                )
            else:
                steering.record_unanswered(request, pick, waited_ms=item.wait_ms, now_ms=now_ms)
            return
        steering.record_response(
            request, pick, failed=item.failed, latency_ms=item.latency_ms, now_ms=now_ms
        )

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
    "past the callers' wait": lambda now_ms, route, release, latency_ms, failed: (
        latency_ms + (ROUTE_TIMEOUT_MS if route == "scans" else 0),
        failed,
    ),
    "by being silent": lambda now_ms, route, release, latency_ms, failed: (math.inf, failed),
    "by being slow": lambda now_ms, route, release, latency_ms, failed: (latency_ms * 8, failed),
}

# By kind of service: the time for a request, given the random generator and the mean.
WORK = {
    "always": lambda rng, ms: ms,
    "evenly around": lambda rng, ms: rng.gauss(ms, ms / 5),
    "often far from": lambda rng, ms: rng.expovariate(1 / ms),
    "mostly near": lambda rng, ms: ms * rng.lognormvariate(0, 0.5),
}
