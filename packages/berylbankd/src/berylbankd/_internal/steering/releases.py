"""Moves a service's requests to a new version, or takes them back.

Load pattern answered: a new version that fails or slows down at once, later, under load or on one
route only must get a small part of the requests; a good one must have all of them in time. Every
VM gives the new version the same small share for the first half of the time, then more by steps
while the evidence of all VMs stays good. Any VM that finds it bad takes it back for all.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from berylbankd._internal.facts.deployment import Bounds
from berylbankd._internal.facts.types import ReleaseOrder, ReleaseState
from berylbankd._internal.peers.messages import ReleaseReport, RouteEvidence

# Shares of the new version by step; the first is the canary's.
STEP_SHARES = (0.07, 0.2, 0.4, 0.7, 1.0)
LAST_STEP = len(STEP_SHARES) - 1
# The canary lasts this part of the time that the operator gave.
CANARY_PART = 0.5
# Evidence needed before the canary ends, unless this part of the time has passed.
CANARY_ANSWERS = 30
CANARY_LATEST_PART = 0.65
STEP_MS = 700
# All requests must have been on the new version for this long before the old one may stop.
SETTLE_MS = 800
# Past this part of the time the release ends even if a VM still reports requests on the old side.
LATEST_PART = 0.92
# A new version may be this much worse than the old one: a multiple of its bad answers, and a part
# of all answers.
TOLERATED_RATIO = 1.3
TOLERATED_PART = 0.03
# It is bad when its bad answers exceed what is tolerated by this many standard deviations and this
# count, so that neither chance nor a few early answers decide.
DEVIATIONS = 3.0
LEAST_EXCESS = 2.0
# Weight of the newest answer in the old version's mean latency.
LATENCY_WEIGHT = 0.1
# An answer counts as slow above this multiple of the old version's mean on its route, and above
# this multiple of the route's objective: objects new to a server cost a few times more.
SLOW_RATIO = 4.0
SLOW_OBJECTIVES = 1.5


class Side(NamedTuple):
    """Which versions a request may go to, in order of preference."""

    first_new: bool
    other_allowed: bool


class RouteRecord:
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
        self.stepped_ms = now_ms
        self.rolled_back = False
        self.succeeded = False
        self.credit = 0.0
        self.old_in_flight = 0
        self.records: dict[str, RouteRecord] = {}

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

    def choose_side(self) -> Side:
        """Decide for one request; the share holds for any run of requests."""
        if self.rolled_back:
            return Side(False, False)
        if self.succeeded:
            return Side(True, False)
        self.credit = min(1.0, self.credit) + self.current_share()
        if self.credit < 1:
            return Side(False, False)
        return Side(True, self.step < LAST_STEP)

    def note_dispatch(self, new: bool) -> None:
        """Count a request that leaves; only then the new version's credit is spent."""
        if new:
            self.credit -= 1
        else:
            self.old_in_flight += 1

    def note_end(self, new: bool) -> None:
        """Count a request that has ended, however it did."""
        if not new:
            self.old_in_flight -= 1

    def note_answer(self, route: str, new: bool, bad: bool) -> None:
        """Record an answer as evidence."""
        record = self.records.setdefault(route, RouteRecord())
        if new:
            record.new_requests += 1
            record.new_bad += bad
        else:
            record.old_requests += 1
            record.old_bad += bad

    def report(self, now_ms: int) -> ReleaseReport:
        """Return this VM's view for the others."""
        evidence = tuple(
            RouteEvidence(route, r.new_requests, r.new_bad, r.old_requests, r.old_bad)
            for route, r in self.records.items()
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

    def note_reports(self, reports: Iterable[ReleaseReport], now_ms: int) -> bool:
        """Take the others' views; tell whether this VM's step or verdict changed."""
        before = (self.step, self.rolled_back)
        for report in reports:
            self.started_ms = min(self.started_ms, now_ms - report.elapsed_ms)
            if report.step > self.step:
                self.step, self.stepped_ms = report.step, now_ms
            if report.rolled_back and not self.succeeded:
                self.rolled_back = True
        return before != (self.step, self.rolled_back)

    def judge(self, reports: list[ReleaseReport], now_ms: int) -> str | None:
        """Return why the new version is bad, or None; take it back at once if it is."""
        if self.rolled_back or self.succeeded:
            return None
        evidence = [item for report in [self.report(now_ms), *reports] for item in report.evidence]
        reason = find_fault(evidence)
        if reason is not None:
            self.rolled_back = True
        return reason

    def advance(self, reports: list[ReleaseReport], now_ms: int) -> bool:
        """As the driver, take the next step if it is due; tell whether it was."""
        if self.rolled_back or self.succeeded or self.step == LAST_STEP:
            return False
        elapsed, duration = self.elapsed_ms(now_ms), self.order.duration_ms
        if self.step == 0:
            answers = sum(
                item.new_requests
                for report in [self.report(now_ms), *reports]
                for item in report.evidence
            )
            due = elapsed >= duration * CANARY_PART and answers >= CANARY_ANSWERS
            due = due or (elapsed >= duration * CANARY_LATEST_PART and answers > 0)
        else:
            due = now_ms - self.stepped_ms >= STEP_MS
        if due:
            self.step, self.stepped_ms = self.step + 1, now_ms
        return due

    def is_complete(self, reports: list[ReleaseReport], now_ms: int) -> bool:
        """Tell the driver whether no VM uses the old version any more."""
        if self.step < LAST_STEP or self.rolled_back:
            return False
        if now_ms - self.stepped_ms < SETTLE_MS:
            return False
        left = [r for r in reports if r.step < LAST_STEP or r.old_in_flight]
        if not left and not self.old_in_flight:
            return True
        return self.elapsed_ms(now_ms) >= self.order.duration_ms * LATEST_PART

    def state(self) -> ReleaseState:
        """Return what operators are told."""
        if self.rolled_back:
            return ReleaseState.ROLLED_BACK
        return ReleaseState.SUCCEEDED if self.succeeded else ReleaseState.RUNNING


def find_fault(evidence: Iterable[RouteEvidence]) -> str | None:
    """Return why the new version is bad, over all routes or on one, or None."""
    total = RouteRecord()
    by_route: dict[str, RouteRecord] = {"all routes": total}
    for item in evidence:
        for record in (total, by_route.setdefault(item.route, RouteRecord())):
            record.new_requests += item.new_requests
            record.new_bad += item.new_bad
            record.old_requests += item.old_requests
            record.old_bad += item.old_bad
    for route, record in by_route.items():
        if is_bad(record):
            return (
                f"{route}: {record.new_bad} of {record.new_requests} answers bad, "
                f"old version {record.old_bad} of {record.old_requests}"
            )
    return None


def is_bad(record: RouteRecord) -> bool:
    """Tell whether the new version does worse than the old one at the same time."""
    requests = record.new_requests
    old = record.old_bad / record.old_requests if record.old_requests else 0.0
    tolerated = min(1.0, old * TOLERATED_RATIO + TOLERATED_PART)
    chance = DEVIATIONS * math.sqrt(requests * tolerated * (1 - tolerated))
    return record.new_bad > requests * tolerated + chance + LEAST_EXCESS


class LatencyBook:
    """Mean latency of the old version by route, to know a slow answer by."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}

    def note(self, route: str, latency_ms: float) -> None:
        """Record an answer of the version that serves now."""
        mean = self.means.get(route, latency_ms)
        self.means[route] = mean + LATENCY_WEIGHT * (latency_ms - mean)

    def is_slow(self, route: str, latency_ms: float, objective_ms: int) -> bool:
        """Tell whether an answer is several times slower than usual."""
        mean = self.means.get(route)
        if mean is None:
            return False
        return latency_ms > max(SLOW_RATIO * mean, SLOW_OBJECTIVES * objective_ms)
