"""Holds organisations to their rates over all VMs together.

Load pattern answered: an organisation sends several times its rate, through any number of VMs,
while VMs come, go and lose each other. Each VM admits a share of the rate in proportion to the
demand that it sees; the shares of all VMs add up to one because all know the same demands.
"""

import math
from collections.abc import Iterable

from berylbankd._internal.facts.deployment import Bounds
from berylbankd._internal.facts.types import Organisation

# Demand is a running mean over about this time.
DEMAND_WINDOW_MS = 3_000
# Part of a rate that is split evenly; the rest follows demand. Requests come in clumps, so that a
# VM without any for a while still needs tokens for the next ones.
EVEN_PART = 0.08
# Part of the permitted excess that is granted; the rest covers shares that change while messages
# travel.
EXCESS_PART = 0.4
# A VM that has just started shares as if this many VMs existed, until it has heard the others.
STRANGERS = 12
SETTLE_MS = 1_000


class OrganisationQuota:
    """One organisation's tokens on one VM.

    ``share`` is this VM's part of the rate. It follows from the demands as all VMs were told them
    last, never from a demand that only this VM knows: so the shares add up while demand changes.
    """

    def __init__(self, started_ms: int, share: float) -> None:
        self.tokens = 0.0
        self.refilled_ms = started_ms
        self.share = share
        self.demand_per_s = 0.0
        self.counted_ms = started_ms
        self.rate_per_s = 0.0
        self.most = 0.0

    def note_arrival(self, now_ms: int) -> None:
        """Count a request of the organisation, admitted or not."""
        self.demand_per_s = self.demand_at(now_ms) + 1000 / DEMAND_WINDOW_MS
        self.counted_ms = now_ms

    def demand_at(self, now_ms: int) -> float:
        """Return the demand in requests a second."""
        return self.demand_per_s * math.exp(-(now_ms - self.counted_ms) / DEMAND_WINDOW_MS)

    def refill(self, now_ms: int) -> None:
        """Add the tokens of the time since the last refill."""
        earned = self.rate_per_s * self.share * (now_ms - self.refilled_ms) / 1000
        self.tokens = min(max(1.0, self.most), self.tokens + earned)
        self.refilled_ms = now_ms

    def take(self, now_ms: int) -> bool:
        """Spend a token if there is one."""
        self.refill(now_ms)
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
        self.known_vms = STRANGERS
        self.quotas: dict[str, OrganisationQuota] = {}

    def admit(self, organisation: Organisation, now_ms: int) -> bool:
        """Tell whether a request is inside the organisation's rate."""
        if organisation.rate_per_s <= 0:
            return True
        quota = self.quota(organisation.name)
        self._set_rate(quota, organisation)
        quota.note_arrival(now_ms)
        return quota.take(now_ms)

    def set_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Take the rates in force, so that tokens are there before an organisation's first request.

        Tokens above a lowered rate are dropped with the next refill.
        """
        for organisation in organisations:
            if organisation.rate_per_s > 0:
                self._set_rate(self.quota(organisation.name), organisation)

    def _set_rate(self, quota: OrganisationQuota, organisation: Organisation) -> None:
        quota.rate_per_s = organisation.rate_per_s
        quota.most = organisation.burst * quota.share + self.excess(organisation, quota.share)

    def quota(self, name: str) -> OrganisationQuota:
        """Return an organisation's tokens; a new one begins with an even share."""
        found = self.quotas.get(name)
        if found is None:
            found = self.quotas[name] = OrganisationQuota(self.started_ms, 1 / self.known_vms)
        return found

    def excess(self, organisation: Organisation, share: float) -> float:
        """Return this VM's part of what the bound permits above rate and burst in a window."""
        window_s = self.bounds.quota_window_ms / 1000
        allowed = organisation.rate_per_s * window_s + organisation.burst
        even = 1 / self.known_vms
        over = self.bounds.quota_overage * allowed * share + self.bounds.quota_slack * even
        return EXCESS_PART * over

    def demands(self, now_ms: int) -> dict[str, float]:
        """Return the demands to tell the other VMs."""
        return {name: quota.demand_at(now_ms) for name, quota in self.quotas.items()}

    def note_peers(
        self, told: dict[str, float], peers: dict[str, float], vms: int, known_vms: int, now_ms: int
    ) -> None:
        """Take the demands that all VMs know: what this VM told, and the sum of the others'.

        ``known_vms`` counts VMs that fell silent, as they may only be cut off: their part of every
        rate is left to them.
        """
        settled = now_ms - self.started_ms >= SETTLE_MS
        self.vms = vms
        self.known_vms = known_vms if settled else max(STRANGERS, known_vms)
        for name in set(self.quotas) | set(peers):
            quota = self.quota(name)
            quota.refill(now_ms)
            quota.share = self._share(told.get(name, 0.0), peers.get(name, 0.0))

    def _share(self, own: float, others: float) -> float:
        total = own + others
        by_demand = own / total if total > 0 else 1 / self.vms
        part = EVEN_PART / self.vms + (1 - EVEN_PART) * by_demand
        return min(1.0, self.vms / self.known_vms) * part
