"""Splits requests between regions.

Load patterns answered: demand moves between regions in waves while backend servers sit unevenly;
and servers that work several times faster on objects that they handled lately, but remember few.

A request for an object goes to the object's region, the same from everywhere, by hash and by slots:
each object is then known to one or two servers of the fleet in place of some in each region, and
every region is used alike. Where regions are too far apart for the objective, and for answers with
large bodies, requests stay near their callers: what a region cannot carry moves to where there is
room, by a plan that all VMs compute from the same reported demand.
Both change slowly, so that no region is flooded by a sudden shift.
"""

import math
from typing import NamedTuple

# Utilisation up to which requests stay in their region.
LOCAL_TARGET = 0.7
# Before demand is known it is taken as this part of all slots, spread evenly.
ASSUMED_UTILISATION = 0.45
# The plan leaves this much above the mean utilisation when all regions are busy.
SPREAD = 1.05
# Part of the permitted shift that the plan uses; the rest is for demand itself.
SHIFT_MARGIN = 0.6
SHIFT_WINDOW_MS = 2_000
# A region is too far for an object's requests where its round trip takes more of the objective: the
# rest has to do for work and for waiting.
FAR_PART = 0.25
# Weight of a round trip above the least known one; connections queue at times.
ROUND_TRIP_WEIGHT = 0.05


class RegionLoad(NamedTuple):
    """Slots in use by the requests of a region, and slots that stand there."""

    demand: float
    slots: float


def plan_fractions(loads: dict[str, RegionLoad], region: str) -> dict[str, float]:
    """Return which part of a region's requests goes to each region; parts add up to 1."""
    demand = sum(load.demand for load in loads.values())
    slots = sum(load.slots for load in loads.values())
    own = loads.get(region, RegionLoad(0, 0))
    if slots <= 0:
        return {region: 1.0}
    target = max(LOCAL_TARGET, demand / slots * SPREAD)
    excess = own.demand - target * own.slots
    if own.slots and (excess <= 0 or own.demand <= 0):
        return {region: 1.0}
    room = {
        name: max(0.0, target * load.slots - load.demand)
        for name, load in loads.items()
        if name != region and load.slots > 0
    }
    total = sum(room.values())
    if total <= 0:
        room = {name: loads[name].slots for name in room}
        total = sum(room.values())
    if total <= 0:
        return {region: 1.0}
    moved = min(1.0, excess / own.demand) if own.slots and own.demand > 0 else 1.0
    plan = {name: moved * part / total for name, part in room.items()}
    plan[region] = 1.0 - moved
    return plan


def plan_spread(loads: dict[str, RegionLoad]) -> dict[str, float]:
    """Return the part of all objects that each region handles: its part of the slots."""
    slots = sum(load.slots for load in loads.values())
    if slots <= 0:
        return {}
    return {name: load.slots / slots for name, load in loads.items()}


def assume_loads(slots: dict[str, float]) -> dict[str, RegionLoad]:
    """Return loads to plan with before any demand was seen."""
    each = ASSUMED_UTILISATION * sum(slots.values()) / max(1, len(slots))
    return {region: RegionLoad(each, count) for region, count in slots.items()}


def step_fractions(
    current: dict[str, float], target: dict[str, float], most: float
) -> dict[str, float]:
    """Move towards a target, changing at most ``most`` of the requests."""
    names = set(current) | set(target)
    change = sum(max(0.0, target.get(n, 0.0) - current.get(n, 0.0)) for n in names)
    part = 1.0 if change <= most else most / change
    return {
        n: current.get(n, 0.0) + part * (target.get(n, 0.0) - current.get(n, 0.0)) for n in names
    }


def pick_region(fractions: dict[str, float], first: str, unit: float) -> str:
    """Return the region for a request whose object hashes to ``unit``.

    Regions stand in order of their names, after ``first`` where one is given.
    """
    order = sorted(fractions, key=lambda name: (name != first, name))
    for name in order:
        unit -= fractions[name]
        if unit < 0:
            return name
    return order[0]


class MovingSplit:
    """Fractions of requests by region, moving towards a plan with a bounded speed."""

    def __init__(self, max_shift: float) -> None:
        self.speed_per_ms = max_shift * SHIFT_MARGIN / SHIFT_WINDOW_MS
        self.fractions: dict[str, float] = {}
        self.moved_ms = 0

    def update(self, target: dict[str, float], loads: dict[str, RegionLoad], now_ms: int) -> None:
        """Step towards a plan; a region without servers is left at once."""
        lost = [n for n, part in self.fractions.items() if part > 0 and not _slots(loads, n)]
        if not self.fractions or lost:
            self.fractions, self.moved_ms = target, now_ms
            return
        most = self.speed_per_ms * (now_ms - self.moved_ms)
        self.fractions = step_fractions(self.fractions, target, most)
        self.moved_ms = now_ms


class RegionSplit:
    """The split of one service for the requests of one region."""

    def __init__(self, region: str, max_shift: float) -> None:
        self.region = region
        self.near = MovingSplit(max_shift)
        self.spread = MovingSplit(max_shift)

    def update(self, loads: dict[str, RegionLoad], now_ms: int) -> None:
        """Take the load of all regions."""
        self.near.update(plan_fractions(loads, self.region), loads, now_ms)
        self.spread.update(plan_spread(loads), loads, now_ms)


class RoundTrips:
    """The time to reach each region, from how long connections to it took to open."""

    def __init__(self) -> None:
        self.least_ms: dict[str, float] = {}

    def note(self, region: str, taken_ms: float) -> None:
        """Record how long a connection to a region took."""
        known = self.least_ms.get(region, taken_ms)
        weight = 1.0 if taken_ms < known else ROUND_TRIP_WEIGHT
        self.least_ms[region] = known + weight * (taken_ms - known)

    def is_near(self, region: str, objective_ms: int) -> bool:
        """Tell whether a region is near enough for any object; unknown regions are not."""
        return self.least_ms.get(region, math.inf) <= FAR_PART * objective_ms


def _slots(loads: dict[str, RegionLoad], region: str) -> float:
    load = loads.get(region)
    return load.slots if load is not None else 0.0
