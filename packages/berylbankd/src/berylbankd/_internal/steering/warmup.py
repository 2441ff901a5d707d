"""Limits the request rate of cold backend servers.

A server that starts, or returns after a crash or an evacuation, tolerates a low rate over all VMs
until it is warm, and crashes well above it. One VM owns each cold server and sends it requests
below that rate; the other VMs send it none. During a network partition each part of the fleet has
an owner, which uses the share of the rate that its part is of the fleet.
"""

from collections.abc import Iterable

from berylbankd._internal.steering.hashing import hash_to_fraction

# Share of the tolerated rate that the owner uses, and bucket capacity as seconds of it. Two VMs may
# both consider themselves owner for a moment, and together must stay within one and a half times
# the rate.
OWNER_RATE_SHARE = 0.65
BUCKET_CAPACITY_S = 0.1
# Longest time for which a bucket that was not used earns tokens. All parts of a fleet together must
# not have saved up more than the server tolerates.
MAX_EARNING_MS = 1_000


def find_owner(server_id: str, vms: Iterable[str]) -> str | None:
    """Return the VM that may send requests to a cold server."""
    return max(vms, key=lambda vm: hash_to_fraction(server_id, vm), default=None)


class ColdServerBucket:
    """Token bucket of one cold server, on the VM that owns it."""

    def __init__(self, now_ms: int) -> None:
        self.tokens: float | None = None
        self.refilled_ms = now_ms

    def take(self, per_s: float, fleet_share: float, now_ms: int) -> bool:
        """Spend a token if there is one.

        ``per_s`` is the rate that the server tolerates, ``fleet_share`` the share of it that is for
        the VMs that this one hears.
        """
        per_s *= fleet_share
        elapsed_ms = now_ms - self.refilled_ms
        if self.tokens is None or elapsed_ms >= MAX_EARNING_MS:
            # All parts of a fleet together start with one token.
            self.tokens, elapsed_ms = fleet_share, min(elapsed_ms, MAX_EARNING_MS)
        capacity = max(1.0, per_s * BUCKET_CAPACITY_S)
        self.tokens = min(capacity, self.tokens + per_s * OWNER_RATE_SHARE * elapsed_ms / 1000)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
