"""Enforces the request rates of organisations across all VMs.

An organisation may send several times its rate through any number of VMs, while VMs start, stop and
lose contact with each other. There can also be so many VMs that an even split of a rate would give
each VM less than one request. Each region therefore gets a share of the rate by the demand that
all regions report. Within a region one VM, ranked first for the organisation, owns the token
bucket; the other VMs request tokens from it, and prefetch a few where requests are frequent.
"""

import math
from collections.abc import Iterable, Mapping

from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.types import Organisation
from berylbankd._internal.peers.messages import TokenRequest
from berylbankd._internal.steering.membership import ASSUMED_VMS_AT_START
from berylbankd._internal.steering.placement import compute_weighted_rank

# Time constant of the exponentially decaying mean of demand.
DEMAND_WINDOW_MS = 3_000
# Share of a rate that is split evenly between regions; the rest is split by demand.
EVENLY_SPLIT_SHARE = 0.15
# Share of the permitted excess (``Bounds.quota_overage`` and ``quota_slack``) that is granted. The
# rest covers regional shares that change while messages are in transit, and changes of owner.
GRANTED_EXCESS_SHARE = 0.4
# A new owner starts with the tokens of this time: the previous owner may have granted the burst.
INITIAL_TOKENS_MS = 600
# A VM prefetches the tokens that it needs for this long, and discards those unused after the TTL.
PREFETCH_MS = 200
PREFETCHED_TTL_MS = 1_000
# Tokens are prefetched only while the bucket is filled to at least this ratio of its capacity.
PREFETCH_MIN_FILL_RATIO = 0.5
# A VM that no longer owns an organisation deletes its bucket after this long without a request.
UNUSED_BUCKET_TTL_MS = 10_000
# VMs that are asked for the tokens of an organisation, in order of rank. The second one grants only
# a share of the rate while it takes the owner to be live: the owner may only be cut off.
OWNERS_PER_ORGANISATION = 2
SUBSTITUTE_SHARE = 0.5


def rank_owners(organisation: str, capacities: Mapping[str, float]) -> list[str]:
    """Return the VMs to ask for an organisation's tokens, owner first.

    The second one is asked if the owner does not answer. ``capacities`` are those of the live VMs
    by name: a VM with a narrow link or few cores owns fewer organisations, as its answers are late.
    """
    ranked = sorted(
        capacities,
        key=lambda vm: compute_weighted_rank(capacities[vm], "tokens", organisation, vm),
    )
    return ranked[:OWNERS_PER_ORGANISATION]


class Demand:
    """An exponentially decaying mean of an organisation's requests per second."""

    def __init__(self, per_s: float, now_ms: int) -> None:
        self.per_s = per_s
        self.updated_ms = now_ms

    def record(self, requests: int, now_ms: int) -> None:
        """Count requests that have just arrived."""
        self.per_s = self.per_s_at(now_ms) + requests * 1000 / DEMAND_WINDOW_MS
        self.updated_ms = now_ms

    def per_s_at(self, now_ms: int) -> float:
        """Return the demand at a time, in requests per second."""
        return self.per_s * math.exp(-(now_ms - self.updated_ms) / DEMAND_WINDOW_MS)


class RegionalBucket:
    """An organisation's token bucket for one region, on the VM that owns it."""

    def __init__(self, rate_per_s: float, capacity: float, demand: Demand, now_ms: int) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.demand = demand
        self.tokens = min(capacity, 1.0 + rate_per_s * INITIAL_TOKENS_MS / 1000)
        self.refilled_ms = self.last_request_ms = now_ms

    def refill(self, now_ms: int) -> None:
        """Add the tokens earned since the last refill."""
        earned = self.rate_per_s * (now_ms - self.refilled_ms) / 1000
        self.tokens = min(max(1.0, self.capacity), self.tokens + earned)
        self.refilled_ms = now_ms

    def take(self, request: TokenRequest, now_ms: int) -> int:
        """Take up to the requested number of tokens; return how many were granted."""
        self.refill(now_ms)
        self.demand.record(request.requests, now_ms)
        self.last_request_ms = now_ms
        can_prefetch = self.tokens >= self.capacity * PREFETCH_MIN_FILL_RATIO
        granted = min(request.tokens if can_prefetch else 1, int(self.tokens))
        self.tokens -= granted
        return granted


class LocalTokens:
    """The tokens that one VM holds for an organisation, and the requests that it received."""

    def __init__(self, now_ms: int) -> None:
        self.tokens = 0
        self.expires_ms = 0
        self.unreported_requests = 0
        self.demand = Demand(0.0, now_ms)
        self.fallback_tokens = 1.0
        self.fallback_refilled_ms = now_ms

    def take(self, now_ms: int) -> bool:
        """Spend a held token, if there is one that has not expired."""
        if now_ms >= self.expires_ms:
            self.tokens = 0
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def take_fallback(self, per_s: float, now_ms: int) -> bool:
        """Spend a token of this VM's own bucket, which holds one and is refilled at ``per_s``.

        It is used while no owner is reachable.
        """
        self.fallback_tokens = min(
            1.0, self.fallback_tokens + per_s * (now_ms - self.fallback_refilled_ms) / 1000
        )
        self.fallback_refilled_ms = now_ms
        if self.fallback_tokens < 1:
            return False
        self.fallback_tokens -= 1
        return True


class QuotaManager:
    """The quotas of all organisations on one VM, both as a client and as an owner of buckets."""

    def __init__(self, bounds: Bounds, region: str) -> None:
        self.bounds = bounds
        self.region = region
        self.fleet_share = 1 / ASSUMED_VMS_AT_START
        self.possible_vms = ASSUMED_VMS_AT_START
        self.region_count = 1
        self.buckets: dict[str, RegionalBucket] = {}
        self.local_tokens: dict[str, LocalTokens] = {}
        self.reported_demand: Mapping[str, Mapping[str, float]] = {}

    # Client side

    def take(self, organisation: Organisation, now_ms: int) -> bool:
        """Count a request and spend a held token; return False if tokens must be requested."""
        if organisation.rate_per_s <= 0:
            return True
        local = self._local_tokens(organisation.name, now_ms)
        local.unreported_requests += 1
        local.demand.record(1, now_ms)
        return local.take(now_ms)

    def make_token_request(self, organisation: Organisation, now_ms: int) -> TokenRequest:
        """Return the token request to send to the organisation's owner."""
        local = self._local_tokens(organisation.name, now_ms)
        prefetched = int(local.demand.per_s_at(now_ms) * PREFETCH_MS / 1000)
        requests, local.unreported_requests = local.unreported_requests, 0
        return TokenRequest(organisation.name, 1 + prefetched, requests)

    def accept_grant(self, organisation: Organisation, granted: int, now_ms: int) -> bool:
        """Spend one of the granted tokens and hold the rest; return whether any was granted."""
        if granted < 1:
            return False
        local = self._local_tokens(organisation.name, now_ms)
        local.take(now_ms)
        local.tokens += granted - 1
        local.expires_ms = now_ms + PREFETCHED_TTL_MS
        return True

    def take_fallback(self, organisation: Organisation, now_ms: int) -> bool:
        """Spend a token of this VM's equal part of the rate, while no owner answers."""
        per_s = organisation.rate_per_s * min(self.fleet_share, 1 / self.possible_vms)
        return self._local_tokens(organisation.name, now_ms).take_fallback(per_s, now_ms)

    # Owner side

    def grant(
        self,
        organisation: Organisation,
        request: TokenRequest,
        now_ms: int,
        *,
        is_owner: bool = True,
    ) -> int:
        """Return the number of tokens granted to a VM of the region."""
        share = 1.0 if is_owner else SUBSTITUTE_SHARE
        return self._bucket(organisation, now_ms, share).take(request, now_ms)

    def update_owned(self, organisations: Iterable[Organisation], now_ms: int) -> None:
        """Create or update the buckets that this VM owns; delete unowned ones no longer in use."""
        owned = {item.name for item in organisations if item.rate_per_s > 0}
        for name, bucket in list(self.buckets.items()):
            if name not in owned and now_ms - bucket.last_request_ms >= UNUSED_BUCKET_TTL_MS:
                del self.buckets[name]
        for organisation in organisations:
            if organisation.rate_per_s > 0:
                self._bucket(organisation, now_ms)

    def demands(self, now_ms: int) -> dict[str, float]:
        """Return this region's demand by organisation, as reported to the other VMs."""
        return {name: bucket.demand.per_s_at(now_ms) for name, bucket in self.buckets.items()}

    def update_fleet(
        self,
        reported_demand: Mapping[str, Mapping[str, float]],
        region_count: int,
        fleet_share: float,
        possible_vms: int,
    ) -> None:
        """Store the demand by organisation and region that VMs have reported, and the fleet size.

        ``fleet_share`` is that of the VMs that this one hears, and ``possible_vms`` includes VMs
        that fell silent: they may only be partitioned and still admit requests, so their share of
        every rate is left unused.
        """
        self.reported_demand = reported_demand
        self.region_count = max(1, region_count)
        self.fleet_share = min(1.0, fleet_share)
        self.possible_vms = possible_vms

    def regional_share(self, name: str) -> float:
        """Return this region's share of an organisation's rate."""
        demands = self.reported_demand.get(name, {})
        own_demand, total_demand = demands.get(self.region, 0.0), sum(demands.values())
        share_by_demand = own_demand / total_demand if total_demand > 0 else 1 / self.region_count
        share = EVENLY_SPLIT_SHARE / self.region_count + (1 - EVENLY_SPLIT_SHARE) * share_by_demand
        return self.fleet_share * share

    # Helpers

    def _bucket(
        self, organisation: Organisation, now_ms: int, share_of_region: float = 1.0
    ) -> RegionalBucket:
        """Return an organisation's bucket, updated to the current rate and regional share."""
        share = share_of_region * self.regional_share(organisation.name)
        rate = organisation.rate_per_s * share
        capacity = organisation.burst * share + self._excess_allowance(organisation, share)
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            initial_demand = self.reported_demand.get(organisation.name, {}).get(self.region, 0.0)
            bucket = RegionalBucket(rate, capacity, Demand(initial_demand, now_ms), now_ms)
            self.buckets[organisation.name] = bucket
            return bucket
        bucket.refill(now_ms)
        bucket.rate_per_s, bucket.capacity = rate, capacity
        return bucket

    def _excess_allowance(self, organisation: Organisation, share: float) -> float:
        """Return this region's share of the excess over rate and burst that the bounds permit."""
        window_s = self.bounds.quota_window_ms / 1000
        regular = organisation.rate_per_s * window_s + organisation.burst
        even_share = self.fleet_share / self.region_count
        excess = self.bounds.quota_overage * regular * share + self.bounds.quota_slack * even_share
        return GRANTED_EXCESS_SHARE * excess

    def _local_tokens(self, name: str, now_ms: int) -> LocalTokens:
        found = self.local_tokens.get(name)
        if found is None:
            found = self.local_tokens[name] = LocalTokens(now_ms)
        return found
