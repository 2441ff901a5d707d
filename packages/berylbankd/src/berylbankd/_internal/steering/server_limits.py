"""Divides the request rate that a backend server allows among the VMs of its region.

A server in need names the requests per second that it takes from all VMs together. Any number of
VMs may want to send to it, and some of them start, restart or fall silent meanwhile. A few VMs, the
holders, are therefore chosen by a ranking that is the same on all VMs, and each gets an equal part;
the others send nothing. A VM that does not hear of another one replaces it by a single further
holder, so that the parts of both stay within what the server tolerates. During a network partition
each part of the fleet has holders, which use the share of the limit that their part is of the
fleet.

VMs tell each other which limits they saw in responses, as those that send nothing see none.
"""

from collections.abc import Collection

from berylbankd._internal.steering.hashing import hash_to_fraction

# Share of the limit that the holders use together.
USED_LIMIT_SHARE = 0.95
MAX_HOLDERS = 4
# A holder gets at least this many requests per second, otherwise there are fewer holders.
MIN_HOLDER_RATE_PER_S = 0.75
# Bucket capacity, as seconds of a holder's rate; at least one request.
BUCKET_CAPACITY_S = 0.25
# A VM that becomes a holder of a known limit waits until the others have learned of it.
HANDOVER_MS = 1_500
# For this long a limit that a VM saw itself, or its end, is told to the others and counts for more
# than what they tell.
OBSERVATION_MS = 2_000
# A limit that no VM has seen for this long no longer holds.
LIMIT_TTL_MS = 30_000
NO_LIMIT = 0.0


class ServerLimit:
    """The limit of one backend server, and this VM's part of it.

    ``rate_per_s`` is the limit for all VMs together. ``learned_ms`` is when this VM learned of it,
    ``seen_ms`` when any VM last saw it, as far as known here, ``observed_ms`` when this VM itself
    did. ``tokens`` are the requests that it may send now; it is None while this VM is no holder.
    ``holders`` are chosen from ``vms``.
    """

    def __init__(self, rate_per_s: float, now_ms: int, *, observed: bool) -> None:
        self.rate_per_s = rate_per_s
        # A limit that others have told may be older, and its holders may be sending already.
        self.learned_ms = now_ms if observed else now_ms - HANDOVER_MS
        self.seen_ms = now_ms
        self.observed_ms = now_ms if observed else now_ms - OBSERVATION_MS
        self.tokens: float | None = None
        self.refilled_ms = now_ms
        self.vms: Collection[str] = ()
        self.fleet_share = 1.0
        self.holders: set[str] = set()

    def observe(self, rate_per_s: float, now_ms: int) -> None:
        """Record that a response to this VM named the limit."""
        self.change_rate(rate_per_s)
        self.seen_ms = self.observed_ms = now_ms

    def learn(self, rate_per_s: float, now_ms: int) -> None:
        """Record a limit that another VM saw, unless this VM has seen one itself recently."""
        self.seen_ms = now_ms
        if now_ms - self.observed_ms >= OBSERVATION_MS:
            self.change_rate(rate_per_s)

    def change_rate(self, rate_per_s: float) -> None:
        """Set the rate; the number of holders may change with it."""
        if rate_per_s != self.rate_per_s:
            self.rate_per_s = rate_per_s
            self.vms = ()

    def take(
        self, server_id: str, vm: str, vms: Collection[str], fleet_share: float, now_ms: int
    ) -> bool:
        """Spend a token if this VM is a holder and has one.

        ``vms`` are the VMs among which the ``fleet_share`` of the limit is divided.
        """
        if vms != self.vms or fleet_share != self.fleet_share:
            self.vms, self.fleet_share = vms, fleet_share
            self.holders = choose_holders(server_id, vms, self.rate_per_s * fleet_share)
        if vm not in self.holders:
            self.tokens = None
            return False
        if self.tokens is None:
            is_new = now_ms - self.learned_ms < HANDOVER_MS
            self.tokens = fleet_share if is_new else 0.0
            self.refilled_ms = now_ms if is_new else now_ms + HANDOVER_MS
        rate_per_s = self.rate_per_s * fleet_share * USED_LIMIT_SHARE / len(self.holders)
        if now_ms > self.refilled_ms:
            earned = rate_per_s * (now_ms - self.refilled_ms) / 1000
            self.tokens = min(max(1.0, rate_per_s * BUCKET_CAPACITY_S), self.tokens + earned)
            self.refilled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def choose_holders(server_id: str, vms: Collection[str], rate_per_s: float) -> set[str]:
    """Return the VMs that share a server's limit; there are as many as the rate allows."""
    count = max(1, min(MAX_HOLDERS, int(rate_per_s / MIN_HOLDER_RATE_PER_S)))
    ranked = sorted(vms, key=lambda vm: hash_to_fraction(server_id, vm), reverse=True)
    return set(ranked[:count])
