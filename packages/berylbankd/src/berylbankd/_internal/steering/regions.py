"""Splits requests between regions.

Demand shifts from region to region over time, while backend servers are unevenly distributed.
Servers are several times faster on objects that they handled recently, but can cache only a few.

A request for an object therefore goes to the object's region, which is chosen by hash and by the
slots of each region and is the same from everywhere. Each object is then handled by one or two
servers of the fleet instead of some in every region, and all regions are used evenly. Where regions
are too far apart for the latency objective, and for responses with large bodies, requests stay near
their callers: only demand beyond a region's capacity moves to regions with free slots, by a plan
that all VMs compute from the same reported demand.

Both splits change gradually, so that no region is overloaded by a sudden shift.
"""

import math
from typing import NamedTuple

# Utilisation of its slots up to which a region keeps all of its requests.
LOCAL_UTILISATION_TARGET = 0.7
# Until demand is known, it is assumed to use this share of all slots, evenly by region.
ASSUMED_UTILISATION = 0.45
# When all regions are busy, the target utilisation is the mean times this factor.
UTILISATION_HEADROOM = 1.05
# Share of the permitted shift that the plan uses; the rest is left for changes of demand itself.
PLANNED_SHIFT_SHARE = 0.6
SHIFT_WINDOW_MS = 2_000
# A region is too far for an object's requests if its round trip takes more than this share of the
# latency objective; the rest is needed for processing and queueing.
MAX_ROUND_TRIP_SHARE = 0.25
# Weight of a round trip above the current estimate, as queues delay some connections; a shorter
# one replaces the estimate.
ROUND_TRIP_INCREASE_WEIGHT = 0.05


class RegionLoad(NamedTuple):
    """Slots in use by the requests that arrive in a region, and the slots of its servers."""

    demand: float
    slots: float


def plan_fractions(loads: dict[str, RegionLoad], region: str) -> dict[str, float]:
    """Return the share of a region's requests that goes to each region; shares add up to 1."""
    demand = sum(load.demand for load in loads.values())
    slots = sum(load.slots for load in loads.values())
    own = loads.get(region, RegionLoad(0, 0))
    if slots <= 0:
        return {region: 1.0}
    target = max(LOCAL_UTILISATION_TARGET, demand / slots * UTILISATION_HEADROOM)
    excess = own.demand - target * own.slots
    if own.slots and (excess <= 0 or own.demand <= 0):
        return {region: 1.0}
    free_slots = {
        name: max(0.0, target * load.slots - load.demand)
        for name, load in loads.items()
        if name != region and load.slots > 0
    }
    total = sum(free_slots.values())
    if total <= 0:
        free_slots = {name: loads[name].slots for name in free_slots}
        total = sum(free_slots.values())
    if total <= 0:
        return {region: 1.0}
    moved_share = min(1.0, excess / own.demand) if own.slots and own.demand > 0 else 1.0
    plan = {name: moved_share * part / total for name, part in free_slots.items()}
    plan[region] = 1.0 - moved_share
    return plan


def plan_object_fractions(loads: dict[str, RegionLoad]) -> dict[str, float]:
    """Return the share of all objects that each region handles, which is its share of the slots."""
    slots = sum(load.slots for load in loads.values())
    if slots <= 0:
        return {}
    return {name: load.slots / slots for name, load in loads.items()}


def assume_loads(slots: dict[str, float]) -> dict[str, RegionLoad]:
    """Return the loads to plan with before any demand has been reported."""
    demand_per_region = ASSUMED_UTILISATION * sum(slots.values()) / max(1, len(slots))
    return {region: RegionLoad(demand_per_region, count) for region, count in slots.items()}


def step_fractions(
    current: dict[str, float], target: dict[str, float], max_change: float
) -> dict[str, float]:
    """Return fractions nearer to a target that move at most ``max_change`` of the requests."""
    names = set(current) | set(target)
    change = sum(max(0.0, target.get(n, 0.0) - current.get(n, 0.0)) for n in names)
    part = 1.0 if change <= max_change else max_change / change
    return {
        n: current.get(n, 0.0) + part * (target.get(n, 0.0) - current.get(n, 0.0)) for n in names
    }


def pick_region(fractions: dict[str, float], first_region: str, fraction: float) -> str:
    """Return the region for a request whose object hashes to ``fraction``.

    The regions divide the range from 0 to 1 by their fractions: first ``first_region``, unless it
    is empty, then the others by name.
    """
    names_in_order = sorted(fractions, key=lambda name: (name != first_region, name))
    for name in names_in_order:
        fraction -= fractions[name]
        if fraction < 0:
            return name
    return names_in_order[0]


class GradualSplit:
    """Fractions of requests by region that move towards a plan at a bounded rate."""

    def __init__(self, max_shift: float) -> None:
        self.max_change_per_ms = max_shift * PLANNED_SHIFT_SHARE / SHIFT_WINDOW_MS
        self.fractions: dict[str, float] = {}
        self.updated_ms = 0

    def update(self, target: dict[str, float], loads: dict[str, RegionLoad], now_ms: int) -> None:
        """Move towards a plan; adopt it at once if a region in use has no servers left."""
        without_servers = [
            n for n, part in self.fractions.items() if part > 0 and not _slots_of(loads, n)
        ]
        if not self.fractions or without_servers:
            self.fractions, self.updated_ms = target, now_ms
            return
        max_change = self.max_change_per_ms * (now_ms - self.updated_ms)
        self.fractions = step_fractions(self.fractions, target, max_change)
        self.updated_ms = now_ms


class RegionSplit:
    """The splits of one service's requests that arrive in one region.

    ``local`` is the split of requests that stay near their callers, ``by_object`` of those that go
    to their object's region.
    """

    def __init__(self, region: str, max_shift: float) -> None:
        self.region = region
        self.local = GradualSplit(max_shift)
        self.by_object = GradualSplit(max_shift)

    def update(self, loads: dict[str, RegionLoad], now_ms: int) -> None:
        """Update both splits from the load of all regions."""
        self.local.update(plan_fractions(loads, self.region), loads, now_ms)
        self.by_object.update(plan_object_fractions(loads), loads, now_ms)


class RoundTripEstimates:
    """Estimated round trip to each place, measured by the time to open a connection there."""

    def __init__(self) -> None:
        self.estimates_ms: dict[str, float] = {}

    def record(self, place: str, connect_ms: float) -> None:
        """Record how long it took to open a connection to a region or failure domain."""
        estimate_ms = self.estimates_ms.get(place, connect_ms)
        weight = 1.0 if connect_ms < estimate_ms else ROUND_TRIP_INCREASE_WEIGHT
        self.estimates_ms[place] = estimate_ms + weight * (connect_ms - estimate_ms)

    def estimate_ms(self, place: str) -> float:
        """Return the estimated round trip, 0 for a place that was not measured."""
        return self.estimates_ms.get(place, 0.0)

    def is_near(self, region: str, objective_ms: int) -> bool:
        """Tell whether a region is near enough for an objective; an unmeasured one is not."""
        return self.estimates_ms.get(region, math.inf) <= MAX_ROUND_TRIP_SHARE * objective_ms


def _slots_of(loads: dict[str, RegionLoad], region: str) -> float:
    load = loads.get(region)
    return load.slots if load is not None else 0.0
