"""Limits the request rate of cold backend servers.

A server that starts, or returns after a crash or an evacuation, tolerates a low rate over all VMs
until it is warm, and crashes well above it. One VM owns each cold server and sends it requests
below that rate. The other VMs send it none, so that the limit holds during network partitions.
"""

from collections.abc import Iterable

from berylbankd._internal.steering.hashing import hash_to_fraction

# Share of the tolerated rate that the owner uses, and bucket capacity as seconds of it. Two VMs may
# both consider themselves owner, and together must stay within one and a half times the rate.
OWNER_RATE_SHARE = 0.65
BUCKET_CAPACITY_S = 0.1


def find_owner(server_id: str, vms: Iterable[str]) -> str | None:
    """Return the VM that may send requests to a cold server."""
    return max(vms, key=lambda vm: hash_to_fraction(server_id, vm), default=None)


class ColdServerBucket:
    """Token bucket of one cold server, on the VM that owns it."""

    def __init__(self, now_ms: int) -> None:
        self.tokens = 1.0
        self.refilled_ms = now_ms

    def take(self, per_s: float, now_ms: int) -> bool:
        """Spend a token if there is one; ``per_s`` is the rate that the server tolerates."""
        capacity = max(1.0, per_s * BUCKET_CAPACITY_S)
        earned = per_s * OWNER_RATE_SHARE * (now_ms - self.refilled_ms) / 1000
        self.tokens = min(capacity, self.tokens + earned)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
