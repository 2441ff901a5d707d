"""Takes rate limit tokens for requests: from this VM's own stock, or from their owner VM."""

from typing import Protocol

from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.models.types import Organisation
from berylbankd._internal.peers.messages import TokenGrant, TokenRequest
from berylbankd._internal.steering.steering import Steering

# Replies arrive within a few milliseconds in a region; a lost datagram is sent once more.
TOKEN_REQUEST_TIMEOUTS_S = (0.06, 0.1)
# An owner VM that did not reply isn't asked again for this long.
SKIP_SILENT_OWNER_MS = 1_000


class TokenChannel(Protocol):
    """Asks other VMs for rate limit tokens."""

    async def ask_tokens(self, host: str, ask: TokenRequest, timeout_s: float) -> TokenGrant | None:
        """Return a VM's reply, or None if none arrives in time."""


class RateLimiter:
    """Decides whether a request is within its organisation's rate."""

    def __init__(self, steering: Steering, channel: TokenChannel, clock: Clock) -> None:
        self.steering = steering
        self.channel = channel
        self.clock = clock
        self.skip_owner_until_ms: dict[str, int] = {}

    async def admit(self, organisation: Organisation) -> bool:
        """Take a token for a request; return False if the organisation is over its rate.

        If no owner VM grants tokens, the spare tokens of this VM are used.
        """
        book = self.steering.quotas.manager
        if book.take(organisation, self.clock.now_ms()):
            return True
        for owner in self.steering.quotas.owners(organisation.name):
            if self.clock.now_ms() < self.skip_owner_until_ms.get(owner, 0):
                continue
            grant = await self._request_tokens(owner, organisation)
            if grant is not None and grant.known:
                return book.accept_grant(organisation, grant.tokens, self.clock.now_ms())
            reason = "organisation not yet known there"
            if grant is None:
                self.skip_owner_until_ms[owner] = self.clock.now_ms() + SKIP_SILENT_OWNER_MS
                reason = "no reply in time"
            logger.info(
                "no rate limit tokens for organisation {} from owner VM {}: {}",
                organisation.name,
                owner,
                reason,
            )
        return book.take_fallback(organisation, self.clock.now_ms())

    async def _request_tokens(self, owner: str, organisation: Organisation) -> TokenGrant | None:
        now_ms = self.clock.now_ms()
        rates = self.steering.quotas
        ask = rates.manager.make_token_request(organisation, now_ms)
        if owner == self.steering.deployment.vm:
            return rates.grant(ask, self.steering.routing_state.configuration, now_ms)
        host = self.steering.host_of(owner)
        if host is None:
            return None
        for timeout_s in TOKEN_REQUEST_TIMEOUTS_S:
            grant = await self.channel.ask_tokens(host, ask, timeout_s)
            if grant is not None:
                return grant
        return None
