"""Assigns the token buckets of organisations to VMs, and updates those that this VM owns.

VMs start and stop while organisations send requests. The VMs of a region compute the same ranking
for each organisation, so that they agree on the owner without exchanging messages.
"""

from collections.abc import Mapping
from typing import NamedTuple

from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.models.types import Configuration
from berylbankd._internal.peers.messages import TokenGrant, TokenRequest
from berylbankd._internal.steering.fleet_sums import hash_name
from berylbankd._internal.steering.quotas import QuotaManager, rank_owners


class FleetView(NamedTuple):
    """The share of the fleet that a VM hears, how many VMs may be running, and the live regions."""

    share: float
    possible_vms: int
    regions: int


class QuotaCoordinator:
    """Ownership of token buckets as one VM sees it.

    ``advertised_demand`` is this region's demand for the organisations that this VM owns, as sent
    in the last digest.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.vm = deployment.vm
        self.region = deployment.region
        self.manager = QuotaManager(deployment.bounds, deployment.region)
        self.region_capacities: Mapping[str, float] = {deployment.vm: deployment.capacity}
        self.owners_by_organisation: dict[str, list[str]] = {}
        self.advertised_demand: dict[str, float] = {}

    def set_region_vms(self, capacities: Mapping[str, float]) -> None:
        """Set the VMs of this region that may own token buckets, with their capacities."""
        if capacities != self.region_capacities:
            self.region_capacities = capacities
            self.owners_by_organisation.clear()

    def owners(self, organisation: str) -> list[str]:
        """Return the VMs of this region to ask for an organisation's tokens, owner first.

        The result is cached until the VMs of the region change.
        """
        owners = self.owners_by_organisation.get(organisation)
        if owners is None:
            owners = self.owners_by_organisation[organisation] = rank_owners(
                organisation, self.region_capacities
            )
        return owners

    def grant(
        self, request: TokenRequest, configuration: Configuration | None, now_ms: int
    ) -> TokenGrant:
        """Answer a token request of this or another VM of the region."""
        organisation = (
            configuration.find_organisation(request.organisation) if configuration else None
        )
        if organisation is None:
            return TokenGrant(request.number, 0, known=False)
        is_owner = self.owners(organisation.name)[:1] == [self.vm]
        granted = self.manager.grant(organisation, request, now_ms, is_owner=is_owner)
        return TokenGrant(request.number, granted)

    def update(
        self,
        configuration: Configuration | None,
        peer_demand: Mapping[str, Mapping[int, float]],
        fleet: FleetView,
        now_ms: int,
    ) -> None:
        """Update the regional shares from the reports of other VMs, and this VM's own buckets.

        ``peer_demand`` is by region and by the hash of the organisation's name.
        """
        owned = []
        reported_demand: dict[str, dict[str, float]] = {}
        for organisation in configuration.organisations if configuration is not None else ():
            name = organisation.name
            if self.owners(name)[:1] == [self.vm]:
                owned.append(organisation)
            key = hash_name(name)
            demands = {
                region: amounts[key] for region, amounts in peer_demand.items() if key in amounts
            }
            own = max(demands.get(self.region, 0.0), self.advertised_demand.get(name, 0.0))
            if own > 0:
                demands[self.region] = own
            reported_demand[name] = demands
        self.manager.update_fleet(reported_demand, fleet.regions, fleet.share, fleet.possible_vms)
        self.manager.update_owned(owned, now_ms)
        # The other VMs know the demand sent in the previous digest, so this VM uses that too.
        self.advertised_demand = self.manager.demands(now_ms)
