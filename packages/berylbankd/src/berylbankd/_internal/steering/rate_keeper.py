"""Which VM keeps the tokens of an organisation, and what this VM keeps and knows of them.

Load pattern answered: VMs come and go while organisations send; the VMs of a region rank alike for
each organisation, so that they agree on the keeper without a message.
"""

from collections import defaultdict
from collections.abc import Iterable

from berylbankd._internal.facts.deployment import Deployment
from berylbankd._internal.facts.types import Configuration
from berylbankd._internal.peers.messages import Heartbeat, TokenGrant, TokenRequest
from berylbankd._internal.steering.quotas import QuotaBook, rank_owners


class RateKeeper:
    """One VM's part in the rates of all organisations.

    ``told`` is the demand of this region that the last heartbeat told, for what this VM keeps.
    """

    def __init__(self, deployment: Deployment, now_ms: int) -> None:
        self.vm = deployment.vm
        self.region = deployment.region
        self.book = QuotaBook(deployment.bounds, deployment.region, now_ms)
        self.near = [deployment.vm]
        self.ranks: dict[str, list[str]] = {}
        self.told: dict[str, float] = {}

    def set_near(self, vms: list[str]) -> None:
        """Take the VMs of this region that may keep tokens."""
        if vms != self.near:
            self.near = vms
            self.ranks.clear()

    def owners(self, organisation: str) -> list[str]:
        """Return the VMs of this region that keep an organisation's tokens, in order."""
        found = self.ranks.get(organisation)
        if found is None:
            found = self.ranks[organisation] = rank_owners(organisation, self.near)
        return found

    def grant(
        self, ask: TokenRequest, configuration: Configuration | None, now_ms: int
    ) -> TokenGrant:
        """Return how many tokens a VM that asks gets."""
        organisation = configuration.organisation(ask.organisation) if configuration else None
        if organisation is None:
            return TokenGrant(ask.number, 0, known=False)
        return TokenGrant(ask.number, self.book.grant(organisation, ask, now_ms))

    def update(
        self,
        configuration: Configuration | None,
        beats: Iterable[Heartbeat],
        known_vms: int,
        now_ms: int,
    ) -> None:
        """Bring shares up to date by what live VMs report; keep tokens of what is owned here."""
        beats = list(beats)
        reported: dict[str, dict[str, float]] = defaultdict(dict)
        others = ((beat.region, beat.organisations) for beat in beats)
        for region, figures in [(self.region, self.told.items()), *others]:
            for name, amount in figures:
                # Two VMs of a region may both report for a moment, when an owner changes.
                reported[name][region] = max(amount, reported[name].get(region, 0.0))
        regions = len({self.region, *(beat.region for beat in beats)})
        active = 1 + sum(1 for beat in beats if not beat.leaving)
        self.book.note_fleet(reported, regions, active, known_vms, now_ms)
        if configuration is not None:
            owned = [
                organisation
                for organisation in configuration.organisations
                if self.owners(organisation.name)[:1] == [self.vm]
            ]
            self.book.keep(owned, now_ms)
        # The others know the demand of the heartbeat before, so this VM shares by that too.
        self.told = self.book.demands(now_ms)
