"""Splits each region's requests between regions.

Load pattern answered: demand moves between regions in waves while backend servers sit unevenly.
What a region cannot carry moves to where there is room, by a plan that all VMs compute from the
same reported demand, and changes slowly, so that no region is flooded by a sudden shift.
"""

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


def pick_region(fractions: dict[str, float], region: str, unit: float) -> str:
    """Return the region for a request whose object hashes to ``unit``; the own one first."""
    order = [region, *sorted(name for name in fractions if name != region)]
    for name in order:
        unit -= fractions.get(name, 0.0)
        if unit < 0:
            return name
    return region


class RegionSplit:
    """The split of one service for the requests of one region, moving with a bounded speed."""

    def __init__(self, region: str, max_shift: float) -> None:
        self.region = region
        self.speed_per_ms = max_shift * SHIFT_MARGIN / SHIFT_WINDOW_MS
        self.fractions: dict[str, float] = {}
        self.moved_ms = 0

    def update(self, loads: dict[str, RegionLoad], now_ms: int) -> None:
        """Step towards the plan for these loads; a region without servers is left at once."""
        target = plan_fractions(loads, self.region)
        lost = [n for n, part in self.fractions.items() if part > 0 and not _slots(loads, n)]
        if not self.fractions or lost:
            self.fractions, self.moved_ms = target, now_ms
            return
        most = self.speed_per_ms * (now_ms - self.moved_ms)
        self.fractions = step_fractions(self.fractions, target, most)
        self.moved_ms = now_ms


def _slots(loads: dict[str, RegionLoad], region: str) -> float:
    load = loads.get(region)
    return load.slots if load is not None else 0.0
