"""Moves a service's requests to a new version, or rolls the release back.

A new version that fails or is slow must get only a small share of the requests, whether the fault
shows at once, later, under load or on a single route. A good version must get all requests within
the release's duration. Every VM gives the new version the same small canary share for the first
half of that duration, then increases it in steps while the evidence from all VMs stays good. Any VM
that detects a regression rolls the release back for all VMs.

At each step the new version's requests go to the same share of its servers, and are for a part of
the objects, so that these servers have the load that they will have later: a fault that shows only
under load would otherwise show when the new version already gets most requests.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.types import ReleaseOrder, ReleaseState, Route
from berylbankd._internal.peers.messages import ReleaseReport, RouteEvidence
from berylbankd._internal.steering.hashing import hash_to_fraction
from berylbankd._internal.steering.servers import ServerState

# The new version's share of the requests by step; the first step is the canary.
STEP_SHARES = (0.07, 0.2, 0.4, 0.7, 1.0)
LAST_STEP = len(STEP_SHARES) - 1
# Share of the release's duration that the canary lasts.
CANARY_DURATION_SHARE = 0.5
# Responses required before the canary ends, unless the timeout share of the duration has passed.
MIN_CANARY_RESPONSES = 30
CANARY_TIMEOUT_SHARE = 0.65
MIN_STEP_INTERVAL_MS = 700
# Time in which the responses of a step are reported to the VM that drives the release.
REPORT_DELAY_MS = 500
# Objects whose requests may go to the new version, as a multiple of its share of the requests.
ELIGIBLE_OBJECTS_RATIO = 2.0
# Time at the end of a release in which requests on the old version finish.
OLD_REQUESTS_TIME_MS = 2_500
# All requests must have gone to the new version for this long before the release can succeed.
FULL_SHARE_HOLD_MS = 800
# After this share of the duration a release at its last step succeeds even if a VM still reports an
# earlier step or requests in flight on the old version.
FORCED_END_SHARE = 0.92
# Tolerated bad responses of the new version: the old version's rate times the ratio, plus a share
# of all responses.
TOLERATED_BAD_RATIO = 1.3
TOLERATED_BAD_SHARE = 0.03
# A regression exceeds the tolerated bad responses by this many standard deviations and by this
# count, so that neither chance nor a few early responses decide.
REGRESSION_DEVIATIONS = 3.0
MIN_EXCESS_RESPONSES = 2.0
# How long VMs may know an order by two revisions after the store came back from a copy, so that
# they do not understand each other's reports.
ORDER_SPREAD_MS = 3_000
# Weight of the latest response in the latency of the old version.
LATENCY_WEIGHT = 0.1
# A response is slow if its server takes this multiple of the old version's mean on the route, the
# mean plus this many mean deviations, as some services vary a lot, and this share of the route's
# objective: times of a few milliseconds vary with the load of the VM.
SLOW_RESPONSE_RATIO = 2.5
SLOW_RESPONSE_DEVIATIONS = 5.0
MIN_SLOW_OBJECTIVE_SHARE = 0.1
# Where servers are faster on objects that they handled recently, new ones take a few times longer:
# a response is slow if its latency exceeds these multiples of the mean latency and of the route's
# objective.
SLOW_OBJECT_RATIO = 4.0
SLOW_OBJECTIVE_RATIO = 1.5
# A request for which a server had this share of its route's timeout is overdue at any version.
OVERDUE_TIMEOUT_SHARE = 0.8


class VersionPreference(NamedTuple):
    """The version to try first for a request, and whether the other may be used instead."""

    prefer_new: bool
    allow_fallback: bool


class RouteCounts:
    """Responses by version, and how many of them were bad: failed or slow."""

    def __init__(self) -> None:
        self.new_requests = 0
        self.new_bad = 0
        self.old_requests = 0
        self.old_bad = 0


class Release:
    """The progress of one release order as this VM sees it.

    ``service_ms`` is the mean time to serve a request of the service. The order is known by its
    present revision since ``adopted_ms``. ``new_choices`` requests on this VM were to go to the new
    version since the step began, and ``responses_at_step`` is how many responses of that version
    all VMs had by then, None if they were not counted yet.
    """

    def __init__(self, order: ReleaseOrder, bounds: Bounds, now_ms: int) -> None:
        self.order = order
        self.canary_share = min(STEP_SHARES[0], bounds.canary_share * 0.7)
        self.started_ms = now_ms
        self.step = 0
        self.step_started_ms = now_ms
        self.rolled_back = False
        self.succeeded = False
        self.new_version_credit = 0.0
        self.new_choices = 0
        self.responses_at_step: int | None = None
        self.old_in_flight = 0
        self.route_counts: dict[str, RouteCounts] = {}
        self.service_ms = 0.0
        self.adopted_ms = now_ms - ORDER_SPREAD_MS

    def adopt_order(self, order: ReleaseOrder, now_ms: int) -> None:
        """Know the order by another revision, under which it was written again."""
        if order.revision != self.order.revision:
            self.order, self.adopted_ms = order, now_ms

    def elapsed_ms(self, now_ms: int) -> int:
        """Return the time since the first VM learned of the order."""
        return now_ms - self.started_ms

    def current_share(self) -> float:
        """Return the new version's share of this VM's requests."""
        if self.rolled_back:
            return 0.0
        if self.succeeded:
            return 1.0
        return self.canary_share if self.step == 0 else STEP_SHARES[self.step]

    def step_interval_ms(self) -> float:
        """Return how long a step lasts: until its first responses are known, if time allows."""
        steps_ms = self.order.duration_ms * (FORCED_END_SHARE - CANARY_DURATION_SHARE)
        available_ms = (steps_ms - FULL_SHARE_HOLD_MS - OLD_REQUESTS_TIME_MS) / (LAST_STEP - 1)
        return max(MIN_STEP_INTERVAL_MS, min(available_ms, self.service_ms + REPORT_DELAY_MS))

    def choose_version(self, object_key: str = "") -> VersionPreference:
        """Choose the version for one request.

        The new version's share holds over any sequence of requests.
        """
        if self.rolled_back:
            return VersionPreference(False, False)
        if self.succeeded:
            return VersionPreference(True, False)
        self.new_version_credit = min(1.0, self.new_version_credit) + self.current_share()
        if self.new_version_credit < 1 or not self._is_eligible(object_key):
            return VersionPreference(False, False)
        self.new_choices += 1
        return VersionPreference(True, self.step < LAST_STEP)

    def return_credit(self) -> None:
        """Take back the credit of a request for which a version was chosen but no server found."""
        if not self.rolled_back and not self.succeeded:
            self.new_version_credit -= self.current_share()

    def _is_eligible(self, object_key: str) -> bool:
        """Tell whether an object's requests may go to the new version, the same on all VMs."""
        eligible_share = ELIGIBLE_OBJECTS_RATIO * self.current_share()
        if not object_key or eligible_share >= 1:
            return True
        return hash_to_fraction("release", str(self.order.revision), object_key) < eligible_share

    def record_dispatch(self, new_version: bool) -> None:
        """Count a dispatched request; the new version's credit is spent only on dispatch."""
        if new_version:
            self.new_version_credit -= 1
        else:
            self.old_in_flight += 1

    def record_end(self, new_version: bool) -> None:
        """Count a request as ended, whatever its outcome."""
        if not new_version:
            self.old_in_flight -= 1

    def record_response(self, route: str, new_version: bool, bad: bool) -> None:
        """Record a response as evidence; ``bad`` means failed or slow."""
        counts = self.route_counts.setdefault(route, RouteCounts())
        if new_version:
            counts.new_requests += 1
            counts.new_bad += bad
        else:
            counts.old_requests += 1
            counts.old_bad += bad

    def make_report(self, now_ms: int) -> ReleaseReport:
        """Return this VM's report for the other VMs."""
        evidence = tuple(
            RouteEvidence(
                route, counts.new_requests, counts.new_bad, counts.old_requests, counts.old_bad
            )
            for route, counts in self.route_counts.items()
        )
        step = LAST_STEP if self.succeeded else self.step
        return ReleaseReport(
            self.order.service,
            self.order.revision,
            step,
            self.rolled_back,
            max(0, self.elapsed_ms(now_ms)),
            self.old_in_flight,
            evidence,
            step,
        )

    def merge_reports(self, reports: Iterable[ReleaseReport], now_ms: int) -> bool:
        """Merge reports of other VMs; return whether the step or the rollback state changed."""
        before = (self.step, self.rolled_back)
        for report in reports:
            self.started_ms = min(self.started_ms, now_ms - report.elapsed_ms)
            if report.step > self.step:
                self._begin_step(report.step, None, now_ms)
            if report.rolled_back and not self.succeeded:
                self.rolled_back = True
        return before != (self.step, self.rolled_back)

    def evaluate(self, reports: list[ReleaseReport], now_ms: int) -> str | None:
        """Roll back if the new version is worse than the old one; return the reason, or None."""
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
        """Move to the next step if it is due, on the driving VM; return whether it was due."""
        if self.rolled_back or self.succeeded or self.step == LAST_STEP:
            return False
        if now_ms - self.adopted_ms < ORDER_SPREAD_MS:
            return False
        elapsed_ms, duration_ms = self.elapsed_ms(now_ms), self.order.duration_ms
        responses = self._count_new_responses(reports, now_ms)
        if self.step == 0:
            due = (
                elapsed_ms >= duration_ms * CANARY_DURATION_SHARE
                and responses >= MIN_CANARY_RESPONSES
            )
            due = due or (elapsed_ms >= duration_ms * CANARY_TIMEOUT_SHARE and responses > 0)
        else:
            due = now_ms - self.step_started_ms >= self.step_interval_ms()
            due = due and self._new_version_responds(responses)
        if due:
            self._begin_step(self.step + 1, responses, now_ms)
        return due

    def is_complete(self, reports: list[ReleaseReport], now_ms: int) -> bool:
        """Tell whether the release can end as succeeded; only the driving VM decides this."""
        if self.step < LAST_STEP or self.rolled_back:
            return False
        if now_ms - self.step_started_ms < FULL_SHARE_HOLD_MS:
            return False
        if now_ms - self.adopted_ms < ORDER_SPREAD_MS:
            return False
        if not self._new_version_responds(self._count_new_responses(reports, now_ms)):
            return False
        reports_on_old_version = [
            report for report in reports if report.lowest_step < LAST_STEP or report.old_in_flight
        ]
        if not reports_on_old_version and not self.old_in_flight:
            return True
        return self.elapsed_ms(now_ms) >= self.order.duration_ms * FORCED_END_SHARE

    def _begin_step(self, step: int, responses: int | None, now_ms: int) -> None:
        self.step, self.step_started_ms = step, now_ms
        self.new_choices, self.responses_at_step = 0, responses

    def _count_new_responses(self, reports: Iterable[ReleaseReport], now_ms: int) -> int:
        return sum(
            item.new_requests
            for report in [self.make_report(now_ms), *reports]
            for item in report.evidence
        )

    def _new_version_responds(self, responses: int) -> bool:
        """Tell whether the new version has responded in this step, or was not asked to.

        ``responses`` is the count of all its responses, which falls when a VM ends.
        """
        if self.responses_at_step is None or responses < self.responses_at_step:
            self.responses_at_step = responses
        return responses > self.responses_at_step or not self.new_choices

    def state(self) -> ReleaseState:
        """Return the state to report to operators."""
        if self.rolled_back:
            return ReleaseState.ROLLED_BACK
        return ReleaseState.SUCCEEDED if self.succeeded else ReleaseState.RUNNING


def choose_release_servers(servers: Iterable[ServerState], share: float) -> list[ServerState]:
    """Return a share of a region's servers, the same on all VMs; a larger share adds to it."""
    ranked = sorted(servers, key=lambda state: hash_to_fraction("release", state.registration.id))
    return ranked[: max(1, math.ceil(share * len(ranked)))]


def find_regression(evidence: Iterable[RouteEvidence]) -> str | None:
    """Return why the new version is worse, over all routes or on a single one, or None."""
    total = RouteCounts()
    by_route: dict[str, RouteCounts] = {"all routes": total}
    for item in evidence:
        for counts in (total, by_route.setdefault(item.route, RouteCounts())):
            counts.new_requests += item.new_requests
            counts.new_bad += item.new_bad
            counts.old_requests += item.old_requests
            counts.old_bad += item.old_bad
    for route, counts in by_route.items():
        if total.old_requests and not counts.old_requests:
            # Requests on this route may fail at either version.
            continue
        if is_regression(counts):
            return (
                f"{route}: {counts.new_bad} of {counts.new_requests} responses bad, "
                f"{counts.old_bad} of {counts.old_requests} on the old version"
            )
    return None


def is_regression(counts: RouteCounts) -> bool:
    """Tell whether the new version has more bad responses than the old version's rate allows.

    Both versions are counted over the same period.
    """
    requests = counts.new_requests
    old_bad_share = counts.old_bad / counts.old_requests if counts.old_requests else 0.0
    tolerated = min(1.0, old_bad_share * TOLERATED_BAD_RATIO + TOLERATED_BAD_SHARE)
    chance_margin = REGRESSION_DEVIATIONS * math.sqrt(requests * tolerated * (1 - tolerated))
    return counts.new_bad > requests * tolerated + chance_margin + MIN_EXCESS_RESPONSES


class RouteLatency(NamedTuple):
    """Mean latency on a route, and mean and mean absolute deviation of what servers take of it.

    All are in ms.
    """

    latency_ms: float
    mean_ms: float
    deviation_ms: float


class BaselineLatency:
    """Latency of the old version by route, the baseline for detecting slow responses.

    What the servers take of it is known apart from the round trip, which would hide a slow version
    from distant VMs, and make one look slow whose servers are farther away.
    """

    def __init__(self) -> None:
        self.latency_by_route: dict[str, RouteLatency] = {}

    def record(self, route: str, latency_ms: float, server_ms: float) -> None:
        """Record a response of the old version, and what the server took of its latency."""
        known = self.latency_by_route.get(route, RouteLatency(latency_ms, server_ms, 0.0))
        deviation_ms = abs(server_ms - known.mean_ms)
        self.latency_by_route[route] = RouteLatency(
            known.latency_ms + LATENCY_WEIGHT * (latency_ms - known.latency_ms),
            known.mean_ms + LATENCY_WEIGHT * (server_ms - known.mean_ms),
            known.deviation_ms + LATENCY_WEIGHT * (deviation_ms - known.deviation_ms),
        )

    def is_overdue(
        self, route: Route, has_affinity: bool, waited_ms: float, server_ms: float
    ) -> bool:
        """Tell whether the old version would usually have responded after a wait.

        ``server_ms`` is what the server had of the wait. The objective allows for the longer time
        that servers take with objects new to them, which ``has_affinity`` stands for, and is the
        measure until the old version has responded here.
        """
        if waited_ms >= OVERDUE_TIMEOUT_SHARE * route.timeout_ms:
            return True
        latency = self.latency_by_route.get(route.name)
        if latency is None or has_affinity:
            mean_ms = latency.mean_ms if latency is not None else 0.0
            return server_ms >= mean_ms and waited_ms >= route.objective_ms
        return server_ms >= latency.mean_ms

    def is_slow(
        self, route: Route, has_affinity: bool, latency_ms: float, server_ms: float
    ) -> bool:
        """Tell whether a response is several times slower than the baseline.

        ``server_ms`` is what the server took of its latency; ``has_affinity`` means that servers
        are faster on objects that they handled recently.
        """
        latency = self.latency_by_route.get(route.name)
        if latency is None:
            return False
        if has_affinity:
            return latency_ms > max(
                SLOW_OBJECT_RATIO * latency.latency_ms,
                SLOW_OBJECTIVE_RATIO * route.objective_ms,
            )
        return server_ms > max(
            SLOW_RESPONSE_RATIO * latency.mean_ms,
            latency.mean_ms + SLOW_RESPONSE_DEVIATIONS * latency.deviation_ms,
            MIN_SLOW_OBJECTIVE_SHARE * route.objective_ms,
        )
