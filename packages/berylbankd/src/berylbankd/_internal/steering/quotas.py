"""Holds organisations to their rates over all VMs together.

Load patterns answered: an organisation sends several times its rate through any number of VMs,
while VMs come, go and lose each other; and many VMs that each see an organisation only now and
then, where a fixed part of its rate for each VM is less than one request. Each region has a part
of a rate by the demand that all regions report. Within a region one VM, the first in rank for the
organisation, keeps the tokens; the others ask it for them, a few ahead where requests are frequent.
"""

import math
from collections.abc import Iterable, Mapping

from berylbankd._internal.facts.deployment import Bounds
from berylbankd._internal.facts.types import Organisation
from berylbankd._internal.peers.messages import TokenRequest
from berylbankd._internal.steering.placement import hash_unit

# Demand is a running mean over about this time.
DEMAND_WINDOW_MS = 3_000
# Part of a rate that is split evenly between regions; the rest follows demand.
EVEN_PART = 0.15
# Part of the permitted excess that is granted; the rest covers shares that change while messages
# travel, and owners that change.
EXCESS_PART = 0.4
# A VM that has just started shares as if this many VMs existed, until it has heard the others.
STRANGERS = 12
SETTLE_MS = 1_000
# A new owner begins with the tokens of this time: the owner before it may have spent the burst.
FIRST_TOKENS_MS = 600
# A VM fetches tokens ahead for this time, and drops what it has not used after the second.
AHEAD_MS = 200
KEEP_MS = 1_000
# Tokens are given ahead only while this part of the most that an owner keeps is there.
AHEAD_LEVEL = 0.5
# An organisation that nobody asked about for this time is forgotten by a VM that is not its owner.
FORGET_MS = 10_000
# VMs in the rank of an organisation that are asked for tokens.
OWNERS = 2


def rank_owners(organisation: str, vms: Iterable[str]) -> list[str]:
    """Return the VMs that keep an organisation's tokens, the first one unless it is silent."""
    ranked = sorted(vms, key=lambda vm: hash_unit("tokens", organisation, vm), reverse=True)
    return ranked[:OWNERS]


class Demand:
    """A running mean of requests a second."""

    def __init__(self, per_s: float, now_ms: int) -> None:
        self.per_s = per_s
        self.counted_ms = now_ms

    def note(self, requests: int, now_ms: int) -> None:
        """Count requests that arrived about now."""
        self.per_s = self.at(now_ms) + requests * 1000 / DEMAND_WINDOW_MS
        self.counted_ms = now_ms

    def at(self, now_ms: int) -> float:
        """Return the demand at a time."""
        return self.per_s * math.exp(-(now_ms - self.counted_ms) / DEMAND_WINDOW_MS)


class RegionalTokens:
    """One organisation's tokens for the requests of a region, at the VM that keeps them."""

    def __init__(self, rate_per_s: float, most: float, demand: Demand, now_ms: int) -> None:
        self.rate_per_s = rate_per_s
        self.most = most
        self.demand = demand
        self.tokens = min(most, 1.0 + rate_per_s * FIRST_TOKENS_MS / 1000)
        self.refilled_ms = self.asked_ms = now_ms

    def refill(self, now_ms: int) -> None:
        """Add the tokens of the time since the last refill."""
        earned = self.rate_per_s * (now_ms - self.refilled_ms) / 1000
        self.tokens = min(max(1.0, self.most), self.tokens + earned)
        self.refilled_ms = now_ms

    def take(self, ask: TokenRequest, now_ms: int) -> int:
        """Return how many of the tokens asked for are granted."""
        self.refill(now_ms)
        self.demand.note(ask.requests, now_ms)
        self.asked_ms = now_ms
        ample = self.tokens >= self.most * AHEAD_LEVEL
        granted = min(ask.tokens if ample else 1, int(self.tokens))
        self.tokens -= granted
        return granted


class TokenStock:
    """One organisation's tokens in hand on one VM."""

    def __init__(self, now_ms: int) -> None:
        self.tokens = 0
        self.dropped_ms = 0
        self.unreported = 0
        self.demand = Demand(0.0, now_ms)
        self.spare = 1.0
        self.spare_ms = now_ms

    def take(self, now_ms: int) -> bool:
        """Spend a token in hand if there is one."""
        if now_ms >= self.dropped_ms:
            self.tokens = 0
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def take_spare(self, per_s: float, now_ms: int) -> bool:
        """Spend from this VM's own small part, which is for times without any owner in reach."""
        self.spare = min(1.0, self.spare + per_s * (now_ms - self.spare_ms) / 1000)
        self.spare_ms = now_ms
        if self.spare < 1:
            return False
        self.spare -= 1
        return True


class QuotaBook:
    """The rates of all organisations on one VM, as one that asks and as one that is asked."""

    def __init__(self, bounds: Bounds, region: str, now_ms: int) -> None:
        self.bounds = bounds
        self.region = region
        self.started_ms = now_ms
        self.vms = 1
        self.known_vms = STRANGERS
        self.regions = 1
        self.kept: dict[str, RegionalTokens] = {}
        self.stocks: dict[str, TokenStock] = {}
        self.reported: Mapping[str, Mapping[str, float]] = {}

    # As a VM that has a request

    def take(self, organisation: Organisation, now_ms: int) -> bool:
        """Count a request, and spend a token in hand; False where one has to be asked for."""
        if organisation.rate_per_s <= 0:
            return True
        stock = self._stock(organisation.name, now_ms)
        stock.unreported += 1
        stock.demand.note(1, now_ms)
        return stock.take(now_ms)

    def make_ask(self, organisation: Organisation, now_ms: int) -> TokenRequest:
        """Return what to ask the organisation's owner for."""
        stock = self._stock(organisation.name, now_ms)
        ahead = int(stock.demand.at(now_ms) * AHEAD_MS / 1000)
        requests, stock.unreported = stock.unreported, 0
        return TokenRequest(organisation.name, 1 + ahead, requests)

    def put(self, organisation: Organisation, granted: int, now_ms: int) -> bool:
        """Spend one of the tokens granted and keep the rest; tell whether there was one."""
        if granted < 1:
            return False
        stock = self._stock(organisation.name, now_ms)
        stock.take(now_ms)
        stock.tokens += granted - 1
        stock.dropped_ms = now_ms + KEEP_MS
        return True

    def take_spare(self, organisation: Organisation, now_ms: int) -> bool:
        """Decide where no owner answers."""
        per_s = organisation.rate_per_s / self.known_vms
        return self._stock(organisation.name, now_ms).take_spare(per_s, now_ms)

    # As the owner

    def grant(self, organisation: Organisation, ask: TokenRequest, now_ms: int) -> int:
        """Return how many tokens a VM of the region gets."""
        return self._kept(organisation, now_ms).take(ask, now_ms)

    def keep(self, organisations: Iterable[Organisation], now_ms: int) -> None:
        """Keep tokens for the organisations that this VM owns; forget those long unasked."""
        owned = {item.name for item in organisations if item.rate_per_s > 0}
        for name, tokens in list(self.kept.items()):
            if name not in owned and now_ms - tokens.asked_ms >= FORGET_MS:
                del self.kept[name]
        for organisation in organisations:
            if organisation.rate_per_s > 0:
                self._kept(organisation, now_ms)

    def demands(self, now_ms: int) -> dict[str, float]:
        """Return the demand of this region to tell the other VMs."""
        return {name: tokens.demand.at(now_ms) for name, tokens in self.kept.items()}

    def note_fleet(
        self,
        reported: Mapping[str, Mapping[str, float]],
        regions: int,
        vms: int,
        known_vms: int,
        now_ms: int,
    ) -> None:
        """Take the demand by organisation and region that all VMs know, and the fleet's size.

        ``known_vms`` counts VMs that fell silent, as they may only be cut off: their part of every
        rate is left to them.
        """
        settled = now_ms - self.started_ms >= SETTLE_MS
        self.reported = reported
        self.regions = max(1, regions)
        self.vms = vms
        self.known_vms = known_vms if settled else max(STRANGERS, known_vms)

    def share(self, name: str) -> float:
        """Return this region's part of an organisation's rate."""
        demands = self.reported.get(name, {})
        own, total = demands.get(self.region, 0.0), sum(demands.values())
        by_demand = own / total if total > 0 else 1 / self.regions
        part = EVEN_PART / self.regions + (1 - EVEN_PART) * by_demand
        return min(1.0, self.vms / self.known_vms) * part

    # Parts

    def _kept(self, organisation: Organisation, now_ms: int) -> RegionalTokens:
        """Return an organisation's tokens with the rate and share in force."""
        share = self.share(organisation.name)
        rate = organisation.rate_per_s * share
        most = organisation.burst * share + self._excess(organisation, share)
        kept = self.kept.get(organisation.name)
        if kept is None:
            known = self.reported.get(organisation.name, {}).get(self.region, 0.0)
            kept = RegionalTokens(rate, most, Demand(known, now_ms), now_ms)
            self.kept[organisation.name] = kept
            return kept
        kept.refill(now_ms)
        kept.rate_per_s, kept.most = rate, most
        return kept

    def _excess(self, organisation: Organisation, share: float) -> float:
        """Return this region's part of what the bound permits above rate and burst in a window."""
        window_s = self.bounds.quota_window_ms / 1000
        allowed = organisation.rate_per_s * window_s + organisation.burst
        even = min(1.0, self.vms / self.known_vms) / self.regions
        over = self.bounds.quota_overage * allowed * share + self.bounds.quota_slack * even
        return EXCESS_PART * over

    def _stock(self, name: str, now_ms: int) -> TokenStock:
        found = self.stocks.get(name)
        if found is None:
            found = self.stocks[name] = TokenStock(now_ms)
        return found
