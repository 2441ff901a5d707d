"""Windows of what was seen on both sides of a shift, and the verdict on them."""

from enum import Enum
from math import sqrt
from typing import NamedTuple

MIN_SAMPLES = 30
MIN_ERRORS = 5
ERROR_FACTOR = 2.0
ERROR_MARGIN = 0.01
SLOW_FACTOR = 1.5
SLOW_MARGIN_MS = 20
MAX_ROUTES = 16
OTHER_ROUTE = "(other)"


class Tally(NamedTuple):
    """Requests, failed ones, and the sum of their latencies in ms."""

    requests: int = 0
    errors: int = 0
    latency_ms: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(
            self.requests + other.requests,
            self.errors + other.errors,
            self.latency_ms + other.latency_ms,
        )

    def error_rate(self) -> float:
        """Return the part of the requests that failed."""
        return self.errors / self.requests if self.requests else 0.0

    def mean_ms(self) -> float:
        """Return the mean latency."""
        return self.latency_ms / self.requests if self.requests else 0.0


class Place(NamedTuple):
    """One side of a shift on one route."""

    route: str
    target: bool


class Verdict(Enum):
    """What evidence says of the target."""

    GOOD = "good"
    BAD = "bad"
    TOO_LITTLE = "too little"


class Judgement(NamedTuple):
    """A verdict and its reason."""

    verdict: Verdict
    reason: str


class Window:
    """Tallies of the last one to two spans of time, by place.

    A span lasts ``span_ms``, and longer until enough requests went to the target.
    """

    def __init__(self, span_ms: int) -> None:
        self.span_ms = span_ms
        self.begun_ms = 0
        self.current: dict[Place, Tally] = {}
        self.previous: dict[Place, Tally] = {}

    def add(self, place: Place, tally: Tally, now_ms: int) -> None:
        """Add what was seen; routes beyond a number are joined."""
        self._roll(now_ms)
        if place not in self.current and len(self.current) >= 2 * MAX_ROUTES:
            place = place._replace(route=OTHER_ROUTE)
        self.current[place] = self.current.get(place, Tally()).plus(tally)

    def totals(self, now_ms: int) -> dict[Place, Tally]:
        """Return the tallies of the window."""
        self._roll(now_ms)
        return add_up([self.previous, self.current])

    def _roll(self, now_ms: int) -> None:
        if now_ms < self.begun_ms + self.span_ms:
            return
        if _sum_side(self.current, target=True).requests < MIN_SAMPLES:
            return
        self.previous = self.current
        self.current = {}
        self.begun_ms = now_ms


def add_up(parts: list[dict[Place, Tally]]) -> dict[Place, Tally]:
    """Return the sum of several windows."""
    total: dict[Place, Tally] = {}
    for part in parts:
        for place, tally in part.items():
            total[place] = total.get(place, Tally()).plus(tally)
    return total


def judge(tallies: dict[Place, Tally]) -> Judgement:
    """Compare the target with the source, on each route and over all."""
    routes = sorted({place.route for place in tallies})
    for route in routes:
        old = tallies.get(Place(route, False), Tally())
        new = tallies.get(Place(route, True), Tally())
        reason = find_fault(old, new)
        if reason is not None:
            return Judgement(Verdict.BAD, f"route {route!r}: {reason}")
    old = _sum_side(tallies, target=False)
    new = _sum_side(tallies, target=True)
    reason = find_fault(old, new)
    if reason is not None:
        return Judgement(Verdict.BAD, reason)
    if new.requests < MIN_SAMPLES:
        return Judgement(Verdict.TOO_LITTLE, f"{new.requests} requests seen on the target")
    return Judgement(Verdict.GOOD, f"{new.requests} requests seen on the target")


def find_fault(old: Tally, new: Tally) -> str | None:
    """Return what is worse on the target than chance explains, or None."""
    expected = new.requests * (ERROR_FACTOR * old.error_rate() + ERROR_MARGIN)
    if new.errors >= MIN_ERRORS and new.errors - 2 * sqrt(new.errors) > expected:
        return f"{new.errors} of {new.requests} requests failed"
    if min(old.requests, new.requests) < MIN_SAMPLES:
        return None
    if new.mean_ms() > SLOW_FACTOR * old.mean_ms() + SLOW_MARGIN_MS:
        return f"{new.mean_ms():.0f} ms in the mean against {old.mean_ms():.0f} ms"
    return None


def _sum_side(tallies: dict[Place, Tally], target: bool) -> Tally:
    total = Tally()
    for place, tally in tallies.items():
        if place.target is target:
            total = total.plus(tally)
    return total
