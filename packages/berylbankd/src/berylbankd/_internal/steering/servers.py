"""Backend servers as one VM sees them: the entry, the load, and how answers turned out."""

from berylbankd._internal.facts.types import BackendServer

# Weight of the newest answer in the running mean of a server's latency.
LATENCY_WEIGHT = 0.15
# Consecutive failures after which a server is left alone for a while.
FAILURES_TO_EJECT = 3
EJECT_MS = 1_000
EJECT_MOST_MS = 8_000
# A server whose address answers for another one is not asked again in this time.
GONE_MS = 10_000
# A report of load is ignored after this time: the server has long moved on.
REPORT_AGE_MS = 400
# An entry may have been written this long before it is read.
ENTRY_LAG_MS = 300


class ServerState:
    """One backend server: its newest entry and what this VM observed of it."""

    def __init__(self, entry: BackendServer, now_ms: int) -> None:
        self.entry = entry
        self.in_flight = 0
        self.peers_in_flight = 0
        self.reported_others = 0
        self.reported_ms = -REPORT_AGE_MS
        self.latency_ms = 0.0
        self.answers = 0
        self.failures = 0
        self.eject_ms = EJECT_MS
        self.ejected_until_ms = 0
        self.cold_until_ms = 0
        self.lapsed_ms: int | None = None
        self.note_entry(entry, now_ms)

    def note_entry(self, entry: BackendServer, now_ms: int) -> None:
        """Take a newer entry; a new incarnation starts with a clean record."""
        if entry.born_ms != self.entry.born_ms or entry.address != self.entry.address:
            self.failures, self.ejected_until_ms, self.eject_ms = 0, 0, EJECT_MS
            self.latency_ms, self.answers = 0.0, 0
        self.entry = entry
        self.lapsed_ms = None
        if entry.warmup_left_ms:
            self.cold_until_ms = now_ms + entry.warmup_left_ms + ENTRY_LAG_MS

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether the server tolerates only a low rate now."""
        return now_ms < self.cold_until_ms

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether recent failures keep requests away."""
        return now_ms < self.ejected_until_ms

    def load(self, now_ms: int) -> int:
        """Return how many requests the server holds, from all VMs as far as known."""
        fresh = now_ms - self.reported_ms < REPORT_AGE_MS
        others = self.reported_others if fresh else self.peers_in_flight
        return self.in_flight + others

    def note_report(self, running: int, waiting: int, now_ms: int) -> None:
        """Take the load that the server reported with an answer to this VM."""
        self.reported_others = max(0, running + waiting - self.in_flight)
        self.reported_ms = now_ms

    def note_success(self, latency_ms: float) -> None:
        """Record an answer."""
        self.answers += 1
        weight = max(LATENCY_WEIGHT, 1 / self.answers)
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.failures, self.eject_ms = 0, EJECT_MS

    def note_failure(self, now_ms: int) -> bool:
        """Record a failure; tell whether the server is ejected by it."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or self.is_ejected(now_ms):
            return False
        self.eject(now_ms)
        return True

    def note_unreached(self, now_ms: int) -> bool:
        """Record that no connection could be opened; tell whether the server is ejected by it."""
        self.failures = max(self.failures, FAILURES_TO_EJECT - 1)
        return self.note_failure(now_ms)

    def eject(self, now_ms: int) -> None:
        """Leave the server alone for a while, longer each time."""
        self.ejected_until_ms = now_ms + self.eject_ms
        self.eject_ms = min(EJECT_MOST_MS, self.eject_ms * 2)

    def eject_for_good(self, now_ms: int) -> None:
        """Leave the server alone until a newer entry: its address belongs to another one."""
        self.failures = FAILURES_TO_EJECT
        self.ejected_until_ms = now_ms + GONE_MS
