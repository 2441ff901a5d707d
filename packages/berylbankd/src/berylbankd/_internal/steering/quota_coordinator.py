"""Assigns the token buckets of organisations to VMs, and updates those that this VM owns.

VMs start and stop while organisations send requests. The VMs of a region compute the same ranking
for each organisation, so that they agree on the owner without exchanging messages.
"""

from collections import defaultdict
from collections.abc import Iterable

from berylbankd._internal.models.deployment import Deployment
from berylbankd._internal.models.types import Configuration
from berylbankd._internal.peers.messages import Heartbeat, TokenGrant, TokenRequest
from berylbankd._internal.steering.quotas import QuotaManager, rank_owners


class QuotaCoordinator:
    """Ownership of token buckets as one VM sees it.

    ``advertised_demand`` is this region's demand for the organisations that this VM owns, as sent
    in the last heartbeat.
    """

    def __init__(self, deployment: Deployment, now_ms: int) -> None:
        self.vm = deployment.vm
        self.region = deployment.region
        self.manager = QuotaManager(deployment.bounds, deployment.region, now_ms)
        self.region_vms = [deployment.vm]
        self.owners_by_organisation: dict[str, list[str]] = {}
        self.advertised_demand: dict[str, float] = {}

    def set_region_vms(self, vms: list[str]) -> None:
        """Set the VMs of this region that may own token buckets."""
        if vms != self.region_vms:
            self.region_vms = vms
            self.owners_by_organisation.clear()

    def owners(self, organisation: str) -> list[str]:
        """Return the VMs of this region to ask for an organisation's tokens, owner first.

        The result is cached until the VMs of the region change.
        """
        owners = self.owners_by_organisation.get(organisation)
        if owners is None:
            owners = self.owners_by_organisation[organisation] = rank_owners(
                organisation, self.region_vms
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
        return TokenGrant(request.number, self.manager.grant(organisation, request, now_ms))

    def update(
        self,
        configuration: Configuration | None,
        heartbeats: Iterable[Heartbeat],
        known_vms: int,
        now_ms: int,
    ) -> None:
        """Update the regional shares from the reports of live VMs, and this VM's own buckets.

        ``known_vms`` includes VMs that fell silent recently.
        """
        heartbeats = list(heartbeats)
        reported_demand: dict[str, dict[str, float]] = defaultdict(dict)
        peer_demand = ((heartbeat.region, heartbeat.organisations) for heartbeat in heartbeats)
        for region, demands in [(self.region, self.advertised_demand.items()), *peer_demand]:
            for name, amount in demands:
                # Two VMs of a region can both report for a moment when the owner changes.
                reported_demand[name][region] = max(amount, reported_demand[name].get(region, 0.0))
        region_count = len({self.region, *(heartbeat.region for heartbeat in heartbeats)})
        live_vms = 1 + sum(1 for heartbeat in heartbeats if not heartbeat.leaving)
        self.manager.update_fleet(reported_demand, region_count, live_vms, known_vms, now_ms)
        if configuration is not None:
            owned = [
                organisation
                for organisation in configuration.organisations
                if self.owners(organisation.name)[:1] == [self.vm]
            ]
            self.manager.update_owned(owned, now_ms)
        # The other VMs know the demand sent in the previous heartbeat, so this VM uses that too.
        self.advertised_demand = self.manager.demands(now_ms)
