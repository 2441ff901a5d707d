"""Gets the tokens of requests: from those in hand, or from the VM that keeps them."""

from typing import Protocol

from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.models.types import Organisation
from berylbankd._internal.peers.messages import TokenGrant, TokenRequest
from berylbankd._internal.steering.steering import Steering

# Answers come within a few milliseconds in a region; a lost datagram is repeated once.
ASK_TIMEOUTS_S = (0.06, 0.1)
# An owner that did not answer is passed over for this time.
SILENT_MS = 1_000


class TokenChannel(Protocol):
    """Asks other VMs."""

    async def ask_tokens(self, host: str, ask: TokenRequest, timeout_s: float) -> TokenGrant | None:
        """Return a VM's answer, None where there is none in time."""


class RateGate:
    """Decides whether a request is inside its organisation's rate."""

    def __init__(self, steering: Steering, channel: TokenChannel, clock: Clock) -> None:
        self.steering = steering
        self.channel = channel
        self.clock = clock
        self.silent_until_ms: dict[str, int] = {}

    async def admit(self, organisation: Organisation) -> bool:
        """Tell whether a request may run now."""
        book = self.steering.quotas.manager
        if book.take(organisation, self.clock.now_ms()):
            return True
        for owner in self.steering.quotas.owners(organisation.name):
            if self.clock.now_ms() < self.silent_until_ms.get(owner, 0):
                continue
            grant = await self._ask(owner, organisation)
            if grant is not None and grant.known:
                return book.accept_grant(organisation, grant.tokens, self.clock.now_ms())
            reason = "not known there yet"
            if grant is None:
                self.silent_until_ms[owner] = self.clock.now_ms() + SILENT_MS
                reason = "no answer"
            logger.info("no tokens of {} from {}: {}", organisation.name, owner, reason)
        return book.take_fallback(organisation, self.clock.now_ms())

    async def _ask(self, owner: str, organisation: Organisation) -> TokenGrant | None:
        now_ms = self.clock.now_ms()
        rates = self.steering.quotas
        ask = rates.manager.make_token_request(organisation, now_ms)
        if owner == self.steering.deployment.vm:
            return rates.grant(ask, self.steering.routing_state.configuration, now_ms)
        host = self.steering.host_of(owner)
        if host is None:
            return None
        for timeout_s in ASK_TIMEOUTS_S:
            grant = await self.channel.ask_tokens(host, ask, timeout_s)
            if grant is not None:
                return grant
        return None
