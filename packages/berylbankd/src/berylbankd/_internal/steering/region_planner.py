"""Orders the regions that are searched for a request's backend server.

The order follows the splits of :mod:`regions`. When the planned region has no capacity, requests go
to a region with many free slots. To busy regions only a few may go: servers there have not handled
their objects recently, so each would take several times longer and push objects out of their cache,
until all regions are full of slow requests.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.models.types import RequestKind
from berylbankd._internal.steering.hashing import hash_to_fraction
from berylbankd._internal.steering.picks import PickRequest
from berylbankd._internal.steering.placement import ServerGroup
from berylbankd._internal.steering.regions import (
    RegionLoad,
    RegionSplit,
    RoundTripEstimates,
    assume_loads,
    pick_region,
)
from berylbankd._internal.steering.routing_state import RoutingState

# Share of the requests that may leave their planned region when it has no capacity. Unused credit
# is kept up to the maximum, in requests.
OVERFLOW_CREDIT_PER_REQUEST = 0.03
MAX_OVERFLOW_CREDIT = 3.0
# A region below this utilisation of its slots serves requests of full regions without a limit.
FREE_REGION_UTILISATION = 0.5


class RegionPlanner:
    """The splits of all services on one VM, and the round-trip times to other regions."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.splits: dict[str, RegionSplit] = {}
        self.round_trips = RoundTripEstimates()
        self.overflow_credit: dict[str, float] = defaultdict(float)

    def order_regions(
        self, request: PickRequest, groups: dict[str, ServerGroup], now_ms: int
    ) -> list[str]:
        """Return the regions to try: the planned one, then free ones or, for credit, all others."""
        reachable = {
            name: group for name, group in groups.items() if group.has_usable_server(now_ms)
        }
        groups = reachable or groups
        if len(groups) <= 1:
            return list(groups)
        first_region = self._plan_region(request, groups)
        if not request.tried:
            # Each request earns credit once, however often it is picked a server.
            self.overflow_credit[request.service] = min(
                MAX_OVERFLOW_CREDIT,
                self.overflow_credit[request.service] + OVERFLOW_CREDIT_PER_REQUEST,
            )
        others = sorted(
            (name for name in groups if name != first_region),
            key=lambda name: name != self.deployment.region,
        )
        if self.overflow_credit[request.service] < 1:
            others = [name for name in others if is_free(groups[name], now_ms)]
        return [first_region, *others]

    def record_overflow(self, service: str, group: ServerGroup, now_ms: int) -> None:
        """Spend credit for a request that is sent to another region than the planned one."""
        if not is_free(group, now_ms):
            self.overflow_credit[service] -= 1

    def update(
        self,
        services: Iterable[str],
        routing_state: RoutingState,
        demands: Mapping[str, Mapping[str, float]],
        now_ms: int,
    ) -> None:
        """Update the splits; ``demands`` holds the reported slots in use by region and service."""
        for service in services:
            split = self.splits.get(service)
            if split is None:
                deployment = self.deployment
                split = self.splits[service] = RegionSplit(
                    deployment.region, deployment.bounds.max_shift
                )
            split.update(self._sum_region_loads(service, routing_state, demands, now_ms), now_ms)

    def _plan_region(self, request: PickRequest, groups: dict[str, ServerGroup]) -> str:
        own_region, split = self.deployment.region, self.splits.get(request.service)
        if self._uses_object_region(request, groups):
            planned, first_region = split.by_object.fractions if split is not None else {}, ""
        else:
            planned, first_region = (
                split.local.fractions if split is not None else {own_region: 1.0}
            ), own_region
        fractions = {name: planned.get(name, 0.0) for name in groups}
        if sum(fractions.values()) <= 0:
            fractions = {name: float(len(group.servers)) for name, group in groups.items()}
        total = sum(fractions.values())
        fractions = {name: fraction / total for name, fraction in fractions.items()}
        fraction = hash_to_fraction(
            "region", request.object_key or request.route.name, request.service
        )
        return pick_region(fractions, first_region, fraction)

    def _uses_object_region(self, request: PickRequest, groups: dict[str, ServerGroup]) -> bool:
        """Tell whether a request goes to its object's region instead of staying near the caller."""
        if not request.has_affinity or request.route.kind is RequestKind.DOWNLOAD:
            return False
        others = (name for name in groups if name != self.deployment.region)
        return all(self.round_trips.is_near(name, request.route.objective_ms) for name in others)

    def _sum_region_loads(
        self,
        service: str,
        routing_state: RoutingState,
        demands: Mapping[str, Mapping[str, float]],
        now_ms: int,
    ) -> dict[str, RegionLoad]:
        slots: dict[str, float] = dict.fromkeys(set(self.deployment.regions.values()), 0.0)
        for state in routing_state.servers_of(service):
            region = self.deployment.regions.get(state.registration.failure_domain)
            if region is not None and not state.is_ejected(now_ms):
                slots[region] += state.registration.slots
        demand = {region: by_service.get(service, 0.0) for region, by_service in demands.items()}
        if sum(demand.values()) < 1:
            return assume_loads(slots)
        return {name: RegionLoad(demand.get(name, 0.0), count) for name, count in slots.items()}


def is_free(group: ServerGroup, now_ms: int) -> bool:
    """Tell whether the servers of a region have many free slots."""
    return group.utilisation(now_ms) < FREE_REGION_UTILISATION
