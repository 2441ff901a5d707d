"""Takes rate limit tokens for requests: from this VM's own tokens, or from the owner VM."""

from typing import Protocol

from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.models.types import Organisation
from berylbankd._internal.peers.messages import TokenGrant, TokenRequest
from berylbankd._internal.steering.quotas import PREFETCHED_TTL_MS
from berylbankd._internal.steering.steering import Steering

# One timeout per attempt: a lost datagram is sent once more. Within a region, replies arrive in a
# few milliseconds.
TOKEN_REQUEST_TIMEOUTS_S = (0.06, 0.1)
# An owner VM that did not reply in time is skipped for this long.
SILENT_OWNER_SKIP_MS = 1_000


class TokenChannel(Protocol):
    """Requests rate limit tokens from other VMs."""

    async def ask_tokens(
        self, host: str, request: TokenRequest, timeout_s: float
    ) -> TokenGrant | None:
        """Return the reply of the VM at ``host``, or None if it doesn't arrive in time."""


class RateLimiter:
    """Decides whether a request is within its organisation's rate limit.

    ``skip_owner_until_ms`` holds the owner VMs that did not reply recently.
    """

    def __init__(self, steering: Steering, channel: TokenChannel, clock: Clock) -> None:
        self.steering = steering
        self.channel = channel
        self.clock = clock
        self.skip_owner_until_ms: dict[str, int] = {}

    async def admit(self, organisation: Organisation) -> bool:
        """Take a token for a request; return False if the organisation is over its rate.

        If no owner VM answers, the token comes from this VM's own share of the rate.
        """
        quota_manager = self.steering.quotas.manager
        if quota_manager.take(organisation, self.clock.now_ms()):
            return True
        for owner in self.steering.quotas.owners(organisation.name):
            if self.clock.now_ms() < self.skip_owner_until_ms.get(owner, 0):
                continue
            grant = await self._request_tokens(owner, organisation)
            if grant is not None and grant.known:
                return quota_manager.accept_grant(organisation, grant.tokens, self.clock.now_ms())
            reason = "organisation not yet known there"
            if grant is None:
                self.skip_owner_until_ms[owner] = self.clock.now_ms() + SILENT_OWNER_SKIP_MS
                reason = "no reply in time"
            logger.info(
                "no rate limit tokens for organisation {} from owner VM {}: {}",
                organisation.name,
                owner,
                reason,
            )
        return quota_manager.take_fallback(organisation, self.clock.now_ms())

    async def _request_tokens(self, owner: str, organisation: Organisation) -> TokenGrant | None:
        now_ms = self.clock.now_ms()
        quotas = self.steering.quotas
        request = quotas.manager.make_token_request(organisation, now_ms)
        if owner == self.steering.deployment.vm:
            return quotas.grant(request, self.steering.routing_state.configuration, now_ms)
        host = self.steering.host_of(owner)
        if host is None:
            return None
        for timeout_s in TOKEN_REQUEST_TIMEOUTS_S:
            grant = await self.channel.ask_tokens(host, request, timeout_s)
            # A VM that was suspended meanwhile would spend tokens of an earlier time.
            if self.clock.now_ms() - now_ms >= PREFETCHED_TTL_MS:
                return None
            if grant is not None:
                return grant
        return None
