"""Moves a service's requests to a new version, or takes them back.

Load pattern answered: a new version that fails or slows down at once, later, under load or on one
route only must get a small part of the requests; a good one must have all of them in time. Every
VM gives the new version the same small share for the first half of the time, then more by steps
while the evidence of all VMs stays good. Any VM that finds it bad takes it back for all.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.types import ReleaseOrder, ReleaseState
from berylbankd._internal.peers.messages import ReleaseReport, RouteEvidence

# Shares of the new version by step; the first is the canary's.
STEP_SHARES = (0.07, 0.2, 0.4, 0.7, 1.0)
LAST_STEP = len(STEP_SHARES) - 1
# The canary lasts this part of the time that the operator gave.
CANARY_DURATION_SHARE = 0.5
# Evidence needed before the canary ends, unless this part of the time has passed.
MIN_CANARY_RESPONSES = 30
CANARY_TIMEOUT_SHARE = 0.65
STEP_INTERVAL_MS = 700
# All requests must have been on the new version for this long before the old one may stop.
FULL_SHARE_HOLD_MS = 800
# Past this part of the time the release ends even if a VM still reports requests on the old side.
FORCED_END_SHARE = 0.92
# A new version may be this much worse than the old one: a multiple of its bad answers, and a part
# of all answers.
TOLERATED_BAD_RATIO = 1.3
TOLERATED_BAD_SHARE = 0.03
# It is bad when its bad answers exceed what is tolerated by this many standard deviations and this
# count, so that neither chance nor a few early answers decide.
REGRESSION_DEVIATIONS = 3.0
MIN_EXCESS_RESPONSES = 2.0
# Weight of the newest answer in the old version's mean latency.
LATENCY_WEIGHT = 0.1
# An answer counts as slow above this multiple of the old version's mean on its route, and above
# this multiple of the route's objective: objects new to a server cost a few times more.
SLOW_RESPONSE_RATIO = 4.0
SLOW_OBJECTIVE_RATIO = 1.5


class VersionPreference(NamedTuple):
    """Which versions a request may go to, in order of preference."""

    prefer_new: bool
    allow_fallback: bool


class RouteCounts:
    """What this VM saw on one route, by side."""

    def __init__(self) -> None:
        self.new_requests = 0
        self.new_bad = 0
        self.old_requests = 0
        self.old_bad = 0


class Release:
    """One order on one VM."""

    def __init__(self, order: ReleaseOrder, bounds: Bounds, now_ms: int) -> None:
        self.order = order
        self.share = min(STEP_SHARES[0], bounds.canary_share * 0.7)
        self.started_ms = now_ms
        self.step = 0
        self.step_started_ms = now_ms
        self.rolled_back = False
        self.succeeded = False
        self.new_version_credit = 0.0
        self.old_in_flight = 0
        self.route_counts: dict[str, RouteCounts] = {}

    def elapsed_ms(self, now_ms: int) -> int:
        """Return how long the order has been known to the VM that learned of it first."""
        return now_ms - self.started_ms

    def current_share(self) -> float:
        """Return the new version's share of this VM's requests."""
        if self.rolled_back:
            return 0.0
        if self.succeeded:
            return 1.0
        return self.share if self.step == 0 else STEP_SHARES[self.step]

    def choose_version(self) -> VersionPreference:
        """Decide for one request; the share holds for any run of requests."""
        if self.rolled_back:
            return VersionPreference(False, False)
        if self.succeeded:
            return VersionPreference(True, False)
        self.new_version_credit = min(1.0, self.new_version_credit) + self.current_share()
        if self.new_version_credit < 1:
            return VersionPreference(False, False)
        return VersionPreference(True, self.step < LAST_STEP)

    def record_dispatch(self, new: bool) -> None:
        """Count a request that leaves; only then the new version's credit is spent."""
        if new:
            self.new_version_credit -= 1
        else:
            self.old_in_flight += 1

    def record_end(self, new: bool) -> None:
        """Count a request that has ended, however it did."""
        if not new:
            self.old_in_flight -= 1

    def record_response(self, route: str, new: bool, bad: bool) -> None:
        """Record an answer as evidence."""
        counts = self.route_counts.setdefault(route, RouteCounts())
        if new:
            counts.new_requests += 1
            counts.new_bad += bad
        else:
            counts.old_requests += 1
            counts.old_bad += bad

    def make_report(self, now_ms: int) -> ReleaseReport:
        """Return this VM's view for the others."""
        evidence = tuple(
            RouteEvidence(route, r.new_requests, r.new_bad, r.old_requests, r.old_bad)
            for route, r in self.route_counts.items()
        )
        return ReleaseReport(
            self.order.service,
            self.order.revision,
            LAST_STEP if self.succeeded else self.step,
            self.rolled_back,
            max(0, self.elapsed_ms(now_ms)),
            self.old_in_flight,
            evidence,
        )

    def merge_reports(self, reports: Iterable[ReleaseReport], now_ms: int) -> bool:
        """Take the others' views; tell whether this VM's step or verdict changed."""
        before = (self.step, self.rolled_back)
        for report in reports:
            self.started_ms = min(self.started_ms, now_ms - report.elapsed_ms)
            if report.step > self.step:
                self.step, self.step_started_ms = report.step, now_ms
            if report.rolled_back and not self.succeeded:
                self.rolled_back = True
        return before != (self.step, self.rolled_back)

    def evaluate(self, reports: list[ReleaseReport], now_ms: int) -> str | None:
        """Return why the new version is bad, or None; take it back at once if it is."""
        if self.rolled_back or self.succeeded:
            return None
        evidence = [
            item for report in [self.make_report(now_ms), *reports] for item in report.evidence
        ]
        regression = find_regression(evidence)
        if regression is not None:
            self.rolled_back = True
        return regression

    def advance(self, reports: list[ReleaseReport], now_ms: int) -> bool:
        """As the driver, take the next step if it is due; tell whether it was."""
        if self.rolled_back or self.succeeded or self.step == LAST_STEP:
            return False
        elapsed, duration = self.elapsed_ms(now_ms), self.order.duration_ms
        if self.step == 0:
            responses = sum(
                item.new_requests
                for report in [self.make_report(now_ms), *reports]
                for item in report.evidence
            )
            due = elapsed >= duration * CANARY_DURATION_SHARE and responses >= MIN_CANARY_RESPONSES
            due = due or (elapsed >= duration * CANARY_TIMEOUT_SHARE and responses > 0)
        else:
            due = now_ms - self.step_started_ms >= STEP_INTERVAL_MS
        if due:
            self.step, self.step_started_ms = self.step + 1, now_ms
        return due

    def is_complete(self, reports: list[ReleaseReport], now_ms: int) -> bool:
        """Tell the driver whether no VM uses the old version any more."""
        if self.step < LAST_STEP or self.rolled_back:
            return False
        if now_ms - self.step_started_ms < FULL_SHARE_HOLD_MS:
            return False
        on_old_version = [r for r in reports if r.step < LAST_STEP or r.old_in_flight]
        if not on_old_version and not self.old_in_flight:
            return True
        return self.elapsed_ms(now_ms) >= self.order.duration_ms * FORCED_END_SHARE

    def state(self) -> ReleaseState:
        """Return what operators are told."""
        if self.rolled_back:
            return ReleaseState.ROLLED_BACK
        return ReleaseState.SUCCEEDED if self.succeeded else ReleaseState.RUNNING


def find_regression(evidence: Iterable[RouteEvidence]) -> str | None:
    """Return why the new version is bad, over all routes or on one, or None."""
    total = RouteCounts()
    by_route: dict[str, RouteCounts] = {"all routes": total}
    for item in evidence:
        for counts in (total, by_route.setdefault(item.route, RouteCounts())):
            counts.new_requests += item.new_requests
            counts.new_bad += item.new_bad
            counts.old_requests += item.old_requests
            counts.old_bad += item.old_bad
    for route, counts in by_route.items():
        if is_regression(counts):
            return (
                f"{route}: {counts.new_bad} of {counts.new_requests} answers bad, "
                f"old version {counts.old_bad} of {counts.old_requests}"
            )
    return None


def is_regression(counts: RouteCounts) -> bool:
    """Tell whether the new version does worse than the old one at the same time."""
    requests = counts.new_requests
    old_bad_share = counts.old_bad / counts.old_requests if counts.old_requests else 0.0
    tolerated = min(1.0, old_bad_share * TOLERATED_BAD_RATIO + TOLERATED_BAD_SHARE)
    noise = REGRESSION_DEVIATIONS * math.sqrt(requests * tolerated * (1 - tolerated))
    return counts.new_bad > requests * tolerated + noise + MIN_EXCESS_RESPONSES


class BaselineLatency:
    """Mean latency of the old version by route, to know a slow answer by."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}

    def record(self, route: str, latency_ms: float) -> None:
        """Record an answer of the version that serves now."""
        mean = self.means.get(route, latency_ms)
        self.means[route] = mean + LATENCY_WEIGHT * (latency_ms - mean)

    def is_slow(self, route: str, latency_ms: float, objective_ms: int) -> bool:
        """Tell whether an answer is several times slower than usual."""
        mean = self.means.get(route)
        if mean is None:
            return False
        return latency_ms > max(SLOW_RESPONSE_RATIO * mean, SLOW_OBJECTIVE_RATIO * objective_ms)
