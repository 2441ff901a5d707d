"""Orders the regions in which a request looks for a server.

Load patterns answered: those of :mod:`regions`; and a planned region that is full or dark for a
moment, whose requests may go elsewhere in a small number only, or they would be cold there.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from berylbankd._internal.facts.deployment import Deployment
from berylbankd._internal.facts.types import RequestKind
from berylbankd._internal.steering.asks import Ask
from berylbankd._internal.steering.placement import ServerGroup, hash_unit
from berylbankd._internal.steering.regions import (
    RegionLoad,
    RegionSplit,
    RoundTrips,
    assume_loads,
    pick_region,
)
from berylbankd._internal.steering.world import World

# Part of the requests that may leave the planned region because it has no room.
OVERFLOW_RATE = 0.03
OVERFLOW_MOST = 3.0


class RegionPlanner:
    """The splits of all services on one VM, and the way to other regions."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.splits: dict[str, RegionSplit] = {}
        self.round_trips = RoundTrips()
        self.overflow: dict[str, float] = defaultdict(float)

    def order(self, ask: Ask, groups: dict[str, ServerGroup], now_ms: int) -> list[str]:
        """Return regions to try: the planned one, then others within the overflow allowance."""
        reached = {name: group for name, group in groups.items() if group.is_reachable(now_ms)}
        groups = reached or groups
        if len(groups) <= 1:
            return list(groups)
        first = self._planned(ask, groups)
        allowance = min(OVERFLOW_MOST, self.overflow[ask.service] + OVERFLOW_RATE)
        self.overflow[ask.service] = allowance
        if allowance < 1:
            return [first]
        others = sorted(
            (name for name in groups if name != first),
            key=lambda name: name != self.deployment.region,
        )
        return [first, *others]

    def update(
        self,
        services: Iterable[str],
        world: World,
        demands: Mapping[str, Mapping[str, float]],
        now_ms: int,
    ) -> None:
        """Move the splits; ``demands`` are slots in use by region and service, as reported."""
        for service in services:
            split = self.splits.get(service)
            if split is None:
                place = self.deployment
                split = self.splits[service] = RegionSplit(place.region, place.bounds.max_shift)
            split.update(self._loads(service, world, demands, now_ms), now_ms)

    def _planned(self, ask: Ask, groups: dict[str, ServerGroup]) -> str:
        own, split = self.deployment.region, self.splits.get(ask.service)
        if self._spreads(ask, groups):
            known, first = split.spread.fractions if split is not None else {}, ""
        else:
            known, first = split.near.fractions if split is not None else {own: 1.0}, own
        fractions = {name: known.get(name, 0.0) for name in groups}
        if sum(fractions.values()) <= 0:
            fractions = {name: float(len(group.servers)) for name, group in groups.items()}
        total = sum(fractions.values())
        fractions = {name: part / total for name, part in fractions.items()}
        unit = hash_unit("region", ask.object_key or ask.route.name, ask.service)
        return pick_region(fractions, first, unit)

    def _spreads(self, ask: Ask, groups: dict[str, ServerGroup]) -> bool:
        """Tell whether a request goes to its object's region rather than to a near one."""
        if not ask.has_affinity or ask.route.kind is RequestKind.DOWNLOAD:
            return False
        others = (name for name in groups if name != self.deployment.region)
        return all(self.round_trips.is_near(name, ask.route.objective_ms) for name in others)

    def _loads(
        self, service: str, world: World, demands: Mapping[str, Mapping[str, float]], now_ms: int
    ) -> dict[str, RegionLoad]:
        slots: dict[str, float] = dict.fromkeys(set(self.deployment.regions.values()), 0.0)
        for state in world.servers_of(service):
            region = self.deployment.regions.get(state.entry.failure_domain)
            if region is not None and not state.is_ejected(now_ms):
                slots[region] += state.entry.slots
        demand = {region: by_service.get(service, 0.0) for region, by_service in demands.items()}
        if sum(demand.values()) < 1:
            return assume_loads(slots)
        return {name: RegionLoad(demand.get(name, 0.0), count) for name, count in slots.items()}
