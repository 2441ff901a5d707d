"""Keeps cold backend servers below the rate that they tolerate.

Load pattern answered: servers that start, or return after a crash or an evacuation, and crash at a
rate well above what they tolerate, counted over all VMs. One VM owns each cold server and sends
below the rate; the others send nothing, so the bound holds when VMs can't talk.
"""

from collections.abc import Iterable

from berylbankd._internal.steering.placement import hash_fraction

# Part of the tolerated rate that the owner uses: two VMs may both think they own a server.
RATE_SHARE = 0.9
# Requests that may follow each other at once, as a part of a second's rate.
BURST_S = 0.25


def find_owner(server_id: str, vms: Iterable[str]) -> str | None:
    """Return the VM that may send to a cold server."""
    return max(vms, key=lambda vm: hash_fraction(server_id, vm), default=None)


class ColdServerBucket:
    """Tokens of one cold server at its owner."""

    def __init__(self, now_ms: int) -> None:
        self.tokens = 1.0
        self.refilled_ms = now_ms

    def take(self, per_s: float, now_ms: int) -> bool:
        """Spend a token if there is one."""
        capacity = max(1.0, per_s * BURST_S)
        earned = per_s * RATE_SHARE * (now_ms - self.refilled_ms) / 1000
        self.tokens = min(capacity, self.tokens + earned)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
