"""Request statistics of both sides of a shift, and the comparison of target and source."""

from enum import Enum
from math import sqrt
from typing import NamedTuple

MIN_SAMPLE_REQUESTS = 30
MIN_ERRORS = 5
# The target is bad if it exceeds the source's value times the factor plus the margin.
ERROR_RATE_FACTOR = 2.0
ERROR_RATE_MARGIN_RATIO = 0.01
LATENCY_FACTOR = 1.5
LATENCY_MARGIN_MS = 20
MAX_ROUTES = 16
OTHER_ROUTE = "(other)"


class RequestStats(NamedTuple):
    """The number of requests, the number of failed ones, and the sum of the latencies."""

    requests: int = 0
    errors: int = 0
    latency_sum_ms: int = 0

    def plus(self, other: "RequestStats") -> "RequestStats":
        """Return the sum of two statistics."""
        return RequestStats(
            self.requests + other.requests,
            self.errors + other.errors,
            self.latency_sum_ms + other.latency_sum_ms,
        )

    def error_rate(self) -> float:
        """Return the fraction of requests that failed, 0 without requests."""
        return self.errors / self.requests if self.requests else 0.0

    def mean_latency_ms(self) -> float:
        """Return the mean latency in milliseconds, 0 without requests."""
        return self.latency_sum_ms / self.requests if self.requests else 0.0


class RouteSide(NamedTuple):
    """One side of a shift, the target or the source, on one route."""

    route: str
    target: bool


class Verdict(Enum):
    """How the target compares with the source.

    ``INSUFFICIENT_DATA``: the target had fewer than ``MIN_SAMPLE_REQUESTS`` requests.
    """

    GOOD = "good"
    BAD = "bad"
    INSUFFICIENT_DATA = "insufficient data"


class Assessment(NamedTuple):
    """A verdict, and the reason that is stored with the shift and shown to operators."""

    verdict: Verdict
    reason: str


class EvidenceWindow:
    """Statistics of the current and the previous interval, by route and side.

    An interval ends after ``interval_ms``, but not before the target has got
    ``MIN_SAMPLE_REQUESTS`` requests in it.
    """

    def __init__(self, interval_ms: int) -> None:
        self.interval_ms = interval_ms
        self.interval_started_ms = 0
        self.current: dict[RouteSide, RequestStats] = {}
        self.previous: dict[RouteSide, RequestStats] = {}

    def add(self, route_side: RouteSide, stats: RequestStats, now_ms: int) -> None:
        """Add statistics; routes beyond ``MAX_ROUTES`` are counted together as one."""
        self._rotate(now_ms)
        if route_side not in self.current and len(self.current) >= 2 * MAX_ROUTES:
            route_side = route_side._replace(route=OTHER_ROUTE)
        self.current[route_side] = self.current.get(route_side, RequestStats()).plus(stats)

    def totals(self, now_ms: int) -> dict[RouteSide, RequestStats]:
        """Return the statistics of both intervals together."""
        self._rotate(now_ms)
        return merge_stats([self.previous, self.current])

    def _rotate(self, now_ms: int) -> None:
        if now_ms < self.interval_started_ms + self.interval_ms:
            return
        if _sum_side(self.current, target=True).requests < MIN_SAMPLE_REQUESTS:
            return
        self.previous = self.current
        self.current = {}
        self.interval_started_ms = now_ms


def merge_stats(parts: list[dict[RouteSide, RequestStats]]) -> dict[RouteSide, RequestStats]:
    """Return the sum of several sets of statistics."""
    total: dict[RouteSide, RequestStats] = {}
    for part in parts:
        for route_side, stats in part.items():
            total[route_side] = total.get(route_side, RequestStats()).plus(stats)
    return total


def assess_target(stats: dict[RouteSide, RequestStats]) -> Assessment:
    """Compare the target with the source, first on each route and then on all together."""
    routes = sorted({route_side.route for route_side in stats})
    for route in routes:
        source = stats.get(RouteSide(route, False), RequestStats())
        target = stats.get(RouteSide(route, True), RequestStats())
        reason = find_regression(source, target)
        if reason is not None:
            return Assessment(Verdict.BAD, f"route {route!r}: {reason}")
    source = _sum_side(stats, target=False)
    target = _sum_side(stats, target=True)
    reason = find_regression(source, target)
    if reason is not None:
        return Assessment(Verdict.BAD, reason)
    if target.requests < MIN_SAMPLE_REQUESTS:
        return Assessment(
            Verdict.INSUFFICIENT_DATA, f"{target.requests} requests seen on the target"
        )
    return Assessment(Verdict.GOOD, f"{target.requests} requests seen on the target")


def find_regression(source: RequestStats, target: RequestStats) -> str | None:
    """Return how the target is significantly worse than the source, or None if it is not.

    The target is worse if its errors, less two standard deviations, exceed the number allowed; one
    deviation is estimated as the square root of the errors. The mean latencies are compared once
    both sides have ``MIN_SAMPLE_REQUESTS`` requests.
    """
    max_errors = target.requests * (
        ERROR_RATE_FACTOR * source.error_rate() + ERROR_RATE_MARGIN_RATIO
    )
    if target.errors >= MIN_ERRORS and target.errors - 2 * sqrt(target.errors) > max_errors:
        return f"{target.errors} of {target.requests} requests failed"
    if min(source.requests, target.requests) < MIN_SAMPLE_REQUESTS:
        return None
    if target.mean_latency_ms() > LATENCY_FACTOR * source.mean_latency_ms() + LATENCY_MARGIN_MS:
        return (
            f"{target.mean_latency_ms():.0f} ms in the mean"
            f" against {source.mean_latency_ms():.0f} ms"
        )
    return None


def _sum_side(stats: dict[RouteSide, RequestStats], target: bool) -> RequestStats:
    total = RequestStats()
    for route_side, item in stats.items():
        if route_side.target is target:
            total = total.plus(item)
    return total
