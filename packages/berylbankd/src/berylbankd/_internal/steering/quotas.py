"""Holds organisations to their rates over all VMs together.

Load patterns answered: an organisation sends several times its rate through any number of VMs,
while VMs come, go and lose each other; and many VMs that each see an organisation only now and
then, where a fixed part of its rate for each VM is less than one request. Each region has a part
of a rate by the demand that all regions report. Within a region one VM, the first in rank for the
organisation, keeps the tokens; the others ask it for them, a few ahead where requests are frequent.
"""

import math
from collections.abc import Iterable, Mapping

from berylbankd._internal.models.deployment import Bounds
from berylbankd._internal.models.types import Organisation
from berylbankd._internal.peers.messages import TokenAsk
from berylbankd._internal.steering.placement import hash_fraction

# Demand is a running mean over about this time.
DEMAND_WINDOW_MS = 3_000
# Part of a rate that is split evenly between regions; the rest follows demand.
EVEN_SHARE = 0.15
# Part of the permitted excess that is granted; the rest covers shares that change while messages
# travel, and owners that change.
GRANTED_EXCESS_SHARE = 0.4
# A VM that has just started shares as if this many VMs existed, until it has heard the others.
ASSUMED_VMS_AT_START = 12
DISCOVERY_MS = 1_000
# A new owner begins with the tokens of this time: the owner before it may have spent the burst.
INITIAL_TOKENS_MS = 600
# A VM fetches tokens ahead for this time, and drops what it has not used after the second.
PREFETCH_MS = 200
PREFETCHED_TTL_MS = 1_000
# Tokens are given ahead only while this part of the most that an owner keeps is there.
PREFETCH_MIN_FILL = 0.5
# An organisation that nobody asked about for this time is forgotten by a VM that is not its owner.
UNUSED_BUCKET_TTL_MS = 10_000
# VMs in the rank of an organisation that are asked for tokens.
OWNERS_PER_ORGANISATION = 2


def rank_owners(organisation: str, live_vms: Iterable[str]) -> list[str]:
    """Return the VMs that keep an organisation's tokens, the first one unless it is silent."""
    ranked = sorted(
        live_vms, key=lambda vm: hash_fraction("tokens", organisation, vm), reverse=True
    )
    return ranked[:OWNERS_PER_ORGANISATION]


class Demand:
    """A running mean of requests a second."""

    def __init__(self, per_s: float, now_ms: int) -> None:
        self.per_s = per_s
        self.updated_ms = now_ms

    def note(self, requests: int, now_ms: int) -> None:
        """Count requests that arrived about now."""
        self.per_s = self.at(now_ms) + requests * 1000 / DEMAND_WINDOW_MS
        self.updated_ms = now_ms

    def at(self, now_ms: int) -> float:
        """Return the demand at a time."""
        return self.per_s * math.exp(-(now_ms - self.updated_ms) / DEMAND_WINDOW_MS)


class RegionalBucket:
    """One organisation's tokens for the requests of a region, at the VM that keeps them."""

    def __init__(self, rate_per_s: float, capacity: float, demand: Demand, now_ms: int) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.demand = demand
        self.tokens = min(capacity, 1.0 + rate_per_s * INITIAL_TOKENS_MS / 1000)
        self.refilled_ms = self.last_request_ms = now_ms

    def refill(self, now_ms: int) -> None:
        """Add the tokens of the time since the last refill."""
        earned = self.rate_per_s * (now_ms - self.refilled_ms) / 1000
        self.tokens = min(max(1.0, self.capacity), self.tokens + earned)
        self.refilled_ms = now_ms

    def take(self, request: TokenAsk, now_ms: int) -> int:
        """Return how many of the tokens asked for are granted."""
        self.refill(now_ms)
        self.demand.note(request.requests, now_ms)
        self.last_request_ms = now_ms
        can_prefetch = self.tokens >= self.capacity * PREFETCH_MIN_FILL
        granted = min(request.tokens if can_prefetch else 1, int(self.tokens))
        self.tokens -= granted
        return granted


class LocalTokens:
    """One organisation's tokens in hand on one VM."""

    def __init__(self, now_ms: int) -> None:
        self.tokens = 0
        self.expires_ms = 0
        self.unreported_requests = 0
        self.demand = Demand(0.0, now_ms)
        self.fallback_tokens = 1.0
        self.fallback_refilled_ms = now_ms

    def take(self, now_ms: int) -> bool:
        """Spend a token in hand if there is one."""
        if now_ms >= self.expires_ms:
            self.tokens = 0
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def take_fallback(self, per_s: float, now_ms: int) -> bool:
        """Spend from this VM's own small part, which is for times without any owner in reach."""
        self.fallback_tokens = min(
            1.0, self.fallback_tokens + per_s * (now_ms - self.fallback_refilled_ms) / 1000
        )
        self.fallback_refilled_ms = now_ms
        if self.fallback_tokens < 1:
            return False
        self.fallback_tokens -= 1
        return True


class QuotaManager:
    """The rates of all organisations on one VM, as one that asks and as one that is asked."""

    def __init__(self, bounds: Bounds, region: str, now_ms: int) -> None:
        self.bounds = bounds
        self.region = region
        self.started_ms = now_ms
        self.live_vms = 1
        self.known_vms = ASSUMED_VMS_AT_START
        self.region_count = 1
        self.buckets: dict[str, RegionalBucket] = {}
        self.local_tokens: dict[str, LocalTokens] = {}
        self.reported_demand: Mapping[str, Mapping[str, float]] = {}

    # As a VM that has a request

    def take(self, organisation: Organisation, now_ms: int) -> bool:
        """Count a request, and spend a token in hand; False where one has to be asked for."""
        if organisation.rate_per_s <= 0:
            return True
        local = self._local_tokens(organisation.name, now_ms)
        local.unreported_requests += 1
        local.demand.note(1, now_ms)
        return local.take(now_ms)

    def make_token_request(self, organisation: Organisation, now_ms: int) -> TokenAsk:
        """Return what to ask the organisation's owner for."""
        local = self._local_tokens(organisation.name, now_ms)
        prefetched = int(local.demand.at(now_ms) * PREFETCH_MS / 1000)
        requests, local.unreported_requests = local.unreported_requests, 0
        return TokenAsk(organisation.name, 1 + prefetched, requests)

    def accept_grant(self, organisation: Organisation, granted: int, now_ms: int) -> bool:
        """Spend one of the tokens granted and keep the rest; tell whether there was one."""
        if granted < 1:
            return False
        local = self._local_tokens(organisation.name, now_ms)
        local.take(now_ms)
        local.tokens += granted - 1
        local.expires_ms = now_ms + PREFETCHED_TTL_MS
        return True

    def take_fallback(self, organisation: Organisation, now_ms: int) -> bool:
        """Decide where no owner answers."""
        per_s = organisation.rate_per_s / self.known_vms
        return self._local_tokens(organisation.name, now_ms).take_fallback(per_s, now_ms)

    # As the owner

    def grant(self, organisation: Organisation, request: TokenAsk, now_ms: int) -> int:
        """Return how many tokens a VM of the region gets."""
        return self._bucket(organisation, now_ms).take(request, now_ms)

    def update_owned(self, organisations: Iterable[Organisation], now_ms: int) -> None:
        """Keep tokens for the organisations that this VM owns; forget those long unasked."""
        owned = {item.name for item in organisations if item.rate_per_s > 0}
        for name, tokens in list(self.buckets.items()):
            if name not in owned and now_ms - tokens.last_request_ms >= UNUSED_BUCKET_TTL_MS:
                del self.buckets[name]
        for organisation in organisations:
            if organisation.rate_per_s > 0:
                self._bucket(organisation, now_ms)

    def demands(self, now_ms: int) -> dict[str, float]:
        """Return the demand of this region to tell the other VMs."""
        return {name: tokens.demand.at(now_ms) for name, tokens in self.buckets.items()}

    def update_fleet(
        self,
        reported_demand: Mapping[str, Mapping[str, float]],
        region_count: int,
        live_vms: int,
        known_vms: int,
        now_ms: int,
    ) -> None:
        """Take the demand by organisation and region that all VMs know, and the fleet's size.

        ``known_vms`` counts VMs that fell silent, as they may only be cut off: their part of every
        rate is left to them.
        """
        discovered = now_ms - self.started_ms >= DISCOVERY_MS
        self.reported_demand = reported_demand
        self.region_count = max(1, region_count)
        self.live_vms = live_vms
        self.known_vms = known_vms if discovered else max(ASSUMED_VMS_AT_START, known_vms)

    def regional_share(self, name: str) -> float:
        """Return this region's part of an organisation's rate."""
        demands = self.reported_demand.get(name, {})
        own_demand, total = demands.get(self.region, 0.0), sum(demands.values())
        by_demand = own_demand / total if total > 0 else 1 / self.region_count
        share = EVEN_SHARE / self.region_count + (1 - EVEN_SHARE) * by_demand
        return min(1.0, self.live_vms / self.known_vms) * share

    # Parts

    def _bucket(self, organisation: Organisation, now_ms: int) -> RegionalBucket:
        """Return an organisation's tokens with the rate and share in force."""
        share = self.regional_share(organisation.name)
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
        """Return this region's part of what the bound permits above rate and burst in a window."""
        window_s = self.bounds.quota_window_ms / 1000
        regular = organisation.rate_per_s * window_s + organisation.burst
        even_share = min(1.0, self.live_vms / self.known_vms) / self.region_count
        excess = self.bounds.quota_overage * regular * share + self.bounds.quota_slack * even_share
        return GRANTED_EXCESS_SHARE * excess

    def _local_tokens(self, name: str, now_ms: int) -> LocalTokens:
        found = self.local_tokens.get(name)
        if found is None:
            found = self.local_tokens[name] = LocalTokens(now_ms)
        return found
