"""Holds organisations to their rates over all VMs together.

Load pattern answered: an organisation sends several times its rate, through any number of VMs,
while VMs come, go and lose each other. Each VM admits a share of the rate in proportion to the
demand that it sees; the shares of all VMs add up to one because all know the same demands.
"""

import math

from berylbankd._internal.facts.deployment import Bounds
from berylbankd._internal.facts.types import Organisation

# Demand is a running mean over about this time.
DEMAND_WINDOW_MS = 3_000
# Part of a rate that is split evenly; the rest follows demand. Requests come in clumps, so that a
# VM without any for a while still needs tokens for the next ones.
EVEN_PART = 0.3
# Part of the permitted excess that is granted; the rest covers shares that change while messages
# travel.
EXCESS_PART = 0.6
# A VM that has just started shares as if this many VMs existed, until it has heard the others.
STRANGERS = 12
SETTLE_MS = 1_000


class OrganisationQuota:
    """One organisation's tokens on one VM."""

    def __init__(self, now_ms: int) -> None:
        self.tokens = 0.0
        self.refilled_ms = now_ms
        self.demand_per_s = 0.0
        self.peers_per_s = 0.0
        self.counted_ms = now_ms

    def note_arrival(self, now_ms: int) -> None:
        """Count a request of the organisation, admitted or not."""
        self.demand_per_s = self.demand_at(now_ms) + 1000 / DEMAND_WINDOW_MS
        self.counted_ms = now_ms

    def demand_at(self, now_ms: int) -> float:
        """Return the demand in requests a second."""
        return self.demand_per_s * math.exp(-(now_ms - self.counted_ms) / DEMAND_WINDOW_MS)

    def take(self, rate_per_s: float, most: float, now_ms: int) -> bool:
        """Spend a token if there is one; ``most`` is what the tokens may add up to."""
        earned = rate_per_s * (now_ms - self.refilled_ms) / 1000
        self.tokens = min(max(1.0, most), self.tokens + earned)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class QuotaBook:
    """The quotas of all organisations on one VM."""

    def __init__(self, bounds: Bounds, now_ms: int) -> None:
        self.bounds = bounds
        self.started_ms = now_ms
        self.vms = 1
        self.known_vms = 1
        self.quotas: dict[str, OrganisationQuota] = {}

    def admit(self, organisation: Organisation, now_ms: int) -> bool:
        """Tell whether a request is inside the organisation's rate."""
        if organisation.rate_per_s <= 0:
            return True
        quota = self.quotas.get(organisation.name)
        if quota is None:
            quota = self.quotas[organisation.name] = OrganisationQuota(self.started_ms)
        quota.note_arrival(now_ms)
        share = self.share(quota, now_ms)
        most = organisation.burst * share + self.excess(organisation, share)
        return quota.take(organisation.rate_per_s * share, most, now_ms)

    def excess(self, organisation: Organisation, share: float) -> float:
        """Return this VM's part of what the bound permits above rate and burst in a window."""
        window_s = self.bounds.quota_window_ms / 1000
        allowed = organisation.rate_per_s * window_s + organisation.burst
        even = 1 / max(self.vms, self.known_vms)
        over = self.bounds.quota_overage * allowed * share + self.bounds.quota_slack * even
        return EXCESS_PART * over

    def share(self, quota: OrganisationQuota, now_ms: int) -> float:
        """Return this VM's part of a rate.

        A VM that hears less than half of the VMs it knows may itself be cut off, so it keeps to
        an equal part.
        """
        if now_ms - self.started_ms < SETTLE_MS:
            return 1 / max(STRANGERS, self.known_vms)
        if self.vms * 2 < self.known_vms:
            return 1 / self.known_vms
        own = quota.demand_at(now_ms)
        total = own + quota.peers_per_s
        by_demand = own / total if total > 0 else 1 / self.vms
        return EVEN_PART / self.vms + (1 - EVEN_PART) * by_demand

    def note_peers(self, demands: dict[str, float], vms: int, known_vms: int) -> None:
        """Take the demand that all other VMs together report, by organisation."""
        self.vms, self.known_vms = vms, known_vms
        for quota in self.quotas.values():
            quota.peers_per_s = 0.0
        for name, demand in demands.items():
            known = self.quotas.get(name)
            if known is None:
                known = self.quotas[name] = OrganisationQuota(self.started_ms)
            known.peers_per_s = demand
